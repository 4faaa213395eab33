"""HTTP calls to engines, each on a new connection that is closed afterwards, so that no bytes of
one response can be read as part of another."""

import time
from dataclasses import dataclass, replace

import pycurl

from routing import response_framing
from routing.connect_timeout import TIMED_OUT, ConnectTimeout, has_sent_request
from routing.response_reader import MALFORMED, ResponseReader

__all__ = ["ABANDONED", "NO_END", "AttemptEnd", "call", "end_of_transfer", "stream"]

_MAX_POLL_S = 0.25
_MAX_RESPONSE_BYTES = 8 << 20
# The cause of an attempt whose response is no longer awaited.
ABANDONED = "abandoned"
# The cause of an attempt whose response may be cut off: its end can't be recognised.
NO_END = "no end"


@dataclass(frozen=True)
class AttemptEnd:
    """How an attempt ended.  `code` is the status, 0 if there was no complete response;
    `request_sent`: whether at least one byte of the request was sent; `head` is the head of
    the response to a call, None if there was none."""

    code: int
    data: bytes
    request_sent: bool
    cause: str = ""
    head: object = None


def end_of_transfer(curl, reader, method, error):
    """The AttemptEnd of a transfer that curl has ended with `error`, its code, or 0 if it found
    none.  `reader`: the ResponseReader of the transfer."""
    if error or reader.is_malformed:
        cause = MALFORMED if reader.is_malformed else str(error)
        return AttemptEnd(0, b"", has_sent_request(curl), cause)
    if reader.head is None or not response_framing.is_delimited(method, reader.head):
        return AttemptEnd(0, b"", True, NO_END)
    return AttemptEnd(reader.head.code, b"", True)


def _curl(request, timeout_ms, reader, headers=()):
    """A curl handle for one request on a new connection, which passes the response to `reader`."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    if request.method == "POST":
        curl.setopt(pycurl.POSTFIELDS, request.body)
        headers = ["Content-Type: application/json", "Expect:", *headers]
    if headers:
        curl.setopt(pycurl.HTTPHEADER, list(headers))
    reader.bind(curl)
    return curl


def call(
    request,
    timeout_ms,
    connect_ms=500,
    not_after_ms=None,
    headers=(),
    is_abandoned=lambda: False,
):
    """Make a request and read its response whole.  It isn't sent after `not_after_ms`, and its
    response isn't awaited any more once `is_abandoned()`."""
    reader = ResponseReader(max_body_bytes=_MAX_RESPONSE_BYTES)
    curl = _curl(request, timeout_ms, reader, headers)
    if not_after_ms is not None and time.monotonic() * 1000 > not_after_ms:
        curl.close()
        return AttemptEnd(0, b"", False, "late")
    transfer = _transfer(curl, reader, request.method, connect_ms)
    ended = _end_unless_abandoned(transfer, is_abandoned)
    return replace(ended, data=b"".join(reader.chunks) if ended.code else b"")


def _end_unless_abandoned(transfer, is_abandoned):
    """The AttemptEnd of a transfer; it is broken off once `is_abandoned()`."""
    for ended in transfer:
        if ended is not None:
            return ended
        if is_abandoned():
            transfer.close()
            break
    return AttemptEnd(0, b"", True, ABANDONED)


def _transfer(curl, reader, method, connect_ms):
    """Carry out a transfer: yields None after each poll of the socket, then the AttemptEnd."""
    multi = pycurl.CurlMulti()
    multi.add_handle(curl)
    connect_timeout, ended = ConnectTimeout(curl, connect_ms), None
    try:
        while ended is None:
            connect_timeout.before_poll()
            _, active = multi.perform()
            _, good, bad = multi.info_read()
            if good or bad:
                ended = end_of_transfer(curl, reader, method, bad[0][1] if bad else 0)
            elif connect_timeout.has_expired():
                ended = AttemptEnd(0, b"", False, TIMED_OUT)
            elif active:
                yield None
                multi.select(connect_timeout.wait_s(_MAX_POLL_S))
        yield ended
    finally:
        multi.remove_handle(curl)
        multi.close()
        curl.close()


def stream(request, timeout_ms, connect_ms=500):
    """Yield ("head", code), ("data", bytes)..., ("idle", None)..., then ("end", AttemptEnd).

    Nothing is read from the engine while the consumer of this generator takes no events, so a slow
    caller slows down its own stream and nothing is buffered here.
    """
    reader, has_head = ResponseReader(), False
    curl = _curl(request, timeout_ms, reader)
    for ended in _transfer(curl, reader, request.method, connect_ms):
        if not has_head and reader.head is not None and not reader.is_malformed:
            has_head = True
            yield "head", reader.head.code
        while reader.chunks:
            yield "data", reader.chunks.pop(0)
        yield ("idle", None) if ended is None else ("end", ended)
