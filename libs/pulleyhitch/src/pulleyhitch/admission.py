"""What the door makes of a request before anybody has read it: whether it is
whole, of what kind it is, and whose threads that kind may use."""

import re
import socket

from configuration.schema import RANK

__all__ = ["parts", "whole", "kind", "answer", "shut", "peek", "MAY_USE", "ORDER", "PATIENCE_S"]

_HEAD_BYTES = 32 << 10
_BODY_BYTES = {"operator": 8 << 20}
_SHARES = {"operator": 0.0625, "lookup": 0.25, "rank0": 0.375, "rank1": 0.1875, "rank2": 0.125}
MAY_USE = {
    "operator": ("operator",),
    "lookup": ("lookup", "rank2", "rank1"),
    "rank0": ("rank0", "rank2", "rank1"),
    "rank1": ("rank1", "rank2"),
    "rank2": ("rank2",),
}
ORDER = {"operator": 0, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 3}
PATIENCE_S = {"operator": 1, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 5}
_LENGTH = re.compile(rb"\r\ncontent-length:\s*(\d{1,12})\s*\r\n", re.I)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding:\s*chunked\s*\r\n", re.I)
_CLASS = re.compile(rb'"class"\s*:\s*"([a-z]{1,16})"')
_ROUTE = re.compile(rb"^POST /v1/route/([^ /?]{1,80})")


def parts(threads):
    return {name: max(1, int(share * threads)) for name, share in _SHARES.items()}


def whole(data):
    """Whether head and body are all here, or so large that it no longer matters."""
    end = data.find(b"\r\n\r\n", 0, _HEAD_BYTES + 4)
    if end < 0:
        return len(data) > _HEAD_BYTES
    most = _BODY_BYTES["operator"]
    if _CHUNKED.search(data, 0, end + 2):
        return len(data) > most or _chunks_end(data, end + 4)
    told = _LENGTH.search(data, 0, end + 2)
    length = int(told[1]) if told else 0
    return length > most or len(data) - end - 4 >= length


def _chunks_end(data, at):
    """Whether a chunked body that begins at `at` has its last chunk here; one that
    can't be read is taken as whole, and refused by whoever reads it."""
    while True:
        end = data.find(b"\r\n", at, at + 64)
        if end < 0:
            return len(data) - at >= 64
        try:
            size = int(bytes(data[at:end]).partition(b";")[0], 16)
        except ValueError:
            return True
        if size == 0:
            return data.find(b"\r\n\r\n", end) >= 0
        at = end + 2 + size + 2
        if at > len(data):
            return False


def kind(data, rank_of):
    """operator, lookup or the rank of a task's class; `rank_of` knows routes."""
    line = bytes(data[:200])
    if b" /operator/" in line:
        return "operator"
    if b" /v1/lookup/" in line:
        return "lookup"
    route = _ROUTE.match(line)
    if route:
        return f"rank{rank_of(route[1].decode('latin1'))}"
    told = _CLASS.search(data, 0, 1 << 16)
    return f"rank{RANK.get(told[1].decode(), 1) if told else 1}"


def answer(sock, status, body, retry_s=None):
    """A short answer from the door itself, without waiting for anybody."""
    again = f"Retry-After: {retry_s}\r\n" if retry_s else ""
    words = {503: "Service Unavailable", 408: "Request Timeout"}[status]
    data = body.encode() + b"\n"
    try:
        sock.send(
            f"HTTP/1.1 {status} {words}\r\n{again}Content-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data,
            socket.MSG_DONTWAIT,
        )
    except OSError:
        pass


def shut(sock):
    """Close so that what was answered arrives, even if not all was read."""
    try:
        sock.setblocking(False)
        sock.shutdown(socket.SHUT_WR)
        for _ in range(64):
            if not sock.recv(1 << 16):
                break
    except OSError:
        pass
    sock.close()


def peek(sock):
    """b"" once the other end has closed; None or data otherwise."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
