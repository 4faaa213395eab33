"""What the door makes of a request before anybody has read it: whether it is
whole, of what kind it is, and whose threads that kind may use."""

import json
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from configuration.schema import RANK
from routing.callers import LIMIT_BYTES as TASK_LIMIT_BYTES
from transport import failures

from pulleyhitch import request_framing

__all__ = [
    "thread_shares",
    "parse_first_request",
    "PLATFORM_POLICY",
    "PRODUCT_POLICY",
    "RequestPolicy",
    "BODY_LIMIT_BYTES",
    "classify",
    "send_failure",
    "send_malformed",
    "close_connection",
    "peek",
    "USABLE_SHARES",
    "PRIORITIES",
    "RETRY_AFTER_S",
]

BODY_LIMIT_BYTES = 8 << 20
_TASK_START = b"POST /v1/"
_SHARES = {"operator": 0.0625, "lookup": 0.25, "rank0": 0.375, "rank1": 0.1875, "rank2": 0.125}
USABLE_SHARES = {
    "operator": ("operator",),
    "lookup": ("lookup", "rank2", "rank1"),
    "rank0": ("rank0", "rank2", "rank1"),
    "rank1": ("rank1", "rank2"),
    "rank2": ("rank2",),
}
PRIORITIES = {"operator": 0, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 3}
RETRY_AFTER_S = {"operator": 1, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 5}
_CLASS = re.compile(rb'"class"\s*:\s*"([a-z]{1,16})"')
_ROUTE = re.compile(rb"^POST /v1/route/([^ /?]{1,80})")


def thread_shares(threads):
    return {name: max(1, int(share * threads)) for name, share in _SHARES.items()}


def parse_first_request(data, body_limit_bytes=BODY_LIMIT_BYTES):
    """The first request in what a connection has sent."""
    return request_framing.parse_request(data, body_limit_bytes)


@dataclass(frozen=True)
class RequestPolicy:
    """What an interface asks of a request before anybody reads it.

    `body_limit_of(data)` is the most bytes a body may have; `cut_short_status` answers a
    request that ends before its body does: 408 where callers may send it again, since
    it has not run."""

    body_limit_of: Callable
    cut_short_status: int


def _task_limit(data):
    """Tasks on the product's own interface are small."""
    return TASK_LIMIT_BYTES if data.startswith(_TASK_START) else BODY_LIMIT_BYTES


PLATFORM_POLICY = RequestPolicy(lambda data: BODY_LIMIT_BYTES, HTTPStatus.REQUEST_TIMEOUT)
PRODUCT_POLICY = RequestPolicy(_task_limit, HTTPStatus.BAD_REQUEST)


def classify(data, rank_of):
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


def send_malformed(sock, malformed):
    """What no request may look like is told so."""
    failure = failures.BodyMalformed(malformed.cause)
    if malformed.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        failure = failures.BodyOversized(malformed.limit_bytes)
    send_failure(sock, malformed.status, failure)


def send_failure(sock, status, failure, retry_s=None):
    """A short answer from the door itself, without waiting for anybody."""
    again = f"Retry-After: {retry_s}\r\n" if retry_s else ""
    words = HTTPStatus(status).phrase
    data = json.dumps(failures.as_json(failure)).encode() + b"\n"
    try:
        sock.send(
            f"HTTP/1.1 {status} {words}\r\n{again}Content-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data,
            socket.MSG_DONTWAIT,
        )
    except OSError:
        pass


def close_connection(sock):
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
    """b"" once the other end has closed; None or data otherwise.  It never waits: a socket
    with a time limit would, in spite of its flags, if there were nothing to read."""
    ready = select.poll()
    ready.register(sock, select.POLLIN)
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) if ready.poll(0) else None
    except BlockingIOError:
        return None
    except OSError:
        return b""
