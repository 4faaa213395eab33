"""Admission of requests by the HTTP listener.

Determines from a request's raw bytes whether it is complete, which class it has, and which
thread shares that class may use; sends the short failure responses that need no thread.  The
classes are `operator`, `lookup` and the ranks of tasks, `rank0` (highest) to `rank2`.
"""

import json
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from configuration.schema import RANK
from routing.caller_api import LIMIT_BYTES as TASK_LIMIT_BYTES
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
# Part of the threads in the share of each class.
_SHARES = {"operator": 0.0625, "lookup": 0.25, "rank0": 0.375, "rank1": 0.1875, "rank2": 0.125}
# Thread shares that each class may use, in order of preference; never a higher class's share.
USABLE_SHARES = {
    "operator": ("operator",),
    "lookup": ("lookup", "rank2", "rank1"),
    "rank0": ("rank0", "rank2", "rank1"),
    "rank1": ("rank1", "rank2"),
    "rank2": ("rank2",),
}
# Order in which queued requests get threads; lower values first.
PRIORITIES = {"operator": 0, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 3}
# Retry-After, in seconds, of a response that refuses a request because no thread is free.
RETRY_AFTER_S = {"operator": 1, "lookup": 1, "rank0": 1, "rank1": 2, "rank2": 5}
_CLASS = re.compile(rb'"class"\s*:\s*"([a-z]{1,16})"')
_ROUTE = re.compile(rb"^POST /v1/route/([^ /?]{1,80})")


def thread_shares(threads):
    """Number of threads of each class, out of `threads`; at least one each."""
    return {name: max(1, int(share * threads)) for name, share in _SHARES.items()}


def parse_first_request(data, body_limit_bytes=BODY_LIMIT_BYTES):
    """The first request in the bytes that a connection has received."""
    return request_framing.parse_request(data, body_limit_bytes)


@dataclass(frozen=True)
class RequestPolicy:
    """Limits of an interface, applied before a request is handled.

    `body_limit_of(data)` is the largest body in bytes; `truncated_status` is the status for
    a request that ends before its body does: 408 where callers may retry it, since it has
    not run."""

    body_limit_of: Callable
    truncated_status: int


def _task_limit(data):
    """Body limit of the product's own interface, where tasks have a smaller one."""
    return TASK_LIMIT_BYTES if data.startswith(_TASK_START) else BODY_LIMIT_BYTES


PLATFORM_POLICY = RequestPolicy(lambda data: BODY_LIMIT_BYTES, HTTPStatus.REQUEST_TIMEOUT)
PRODUCT_POLICY = RequestPolicy(_task_limit, HTTPStatus.BAD_REQUEST)


def classify(data, rank_of):
    """Class of a request: operator, lookup, or rank of the task; `rank_of(route)` returns the
    rank of a named route.  A task without a known class has rank 1."""
    start = bytes(data[:200])
    if b" /operator/" in start:
        return "operator"
    if b" /v1/lookup/" in start:
        return "lookup"
    route = _ROUTE.match(start)
    if route:
        return f"rank{rank_of(route[1].decode('latin1'))}"
    found_class = _CLASS.search(data, 0, 1 << 16)
    return f"rank{RANK.get(found_class[1].decode(), 1) if found_class else 1}"


def send_malformed(sock, malformed):
    """Respond to a malformed or oversized request."""
    failure = failures.BodyMalformed(malformed.cause)
    if malformed.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        failure = failures.BodyOversized(malformed.limit_bytes)
    send_failure(sock, malformed.status, failure)


def send_failure(sock, status, failure, retry_s=None):
    """Send a short failure response without blocking; dropped if the socket isn't writable."""
    retry_after = f"Retry-After: {retry_s}\r\n" if retry_s else ""
    phrase = HTTPStatus(status).phrase
    data = json.dumps(failures.as_json(failure)).encode() + b"\n"
    try:
        sock.send(
            f"HTTP/1.1 {status} {phrase}\r\n{retry_after}Content-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data,
            socket.MSG_DONTWAIT,
        )
    except OSError:
        pass


def close_connection(sock):
    """Close a connection after reading and dropping pending input: the kernel would reset the
    connection on unread input, and the peer could lose the response."""
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
    """b"" if the peer has closed the connection, None if there is nothing to read; otherwise
    the next byte, which stays unread.  Polls first: with a timeout set on the socket, recv
    would block despite MSG_DONTWAIT if there were nothing to read."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) if poller.poll(0) else None
    except BlockingIOError:
        return None
    except OSError:
        return b""
