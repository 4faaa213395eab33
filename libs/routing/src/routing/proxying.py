"""Passes a caller's request on to an engine, and its response back.

`stream` yields events as they happen: ("head", ResponseHead), ("data", bytes)..., ("idle", None),
and last ("end", AttemptEnd).  curl reads the request's body from a reader that can't be rewound,
so it never repeats a request on another connection by itself.
"""

import io
import time

import pycurl

from routing import response_framing
from routing.connect_timeout import TIMED_OUT, ConnectTimeout
from routing.engine_calls import NO_END, AttemptEnd, end_of_transfer
from routing.response_reader import ResponseReader

__all__ = ["stream", "call"]

_MAX_POLL_S = 0.25
_MAX_RESPONSE_BYTES = 8 << 20
_NO_TIMEOUT_MS = 1e12
# Prefixes of the pool's addresses for connections that carry reports and orders.  They keep these
# connections apart from each other and from those of callers' requests, since the responses to
# reports and orders carry no id.
_REPORT_PREFIX, _ORDER_PREFIX = "report ", "order "
_SAFE_METHODS = ("GET", "HEAD")
# The first status that reports no success.
_FIRST_UNSUCCESSFUL_STATUS = 300


def _prepare(curl, request, timeout_ms):
    """Set up a curl handle for one request."""
    base, target = _split_url(request.url)
    curl.setopt(pycurl.URL, base)
    curl.setopt(pycurl.REQUEST_TARGET, target.encode("latin1"))
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)
    headers = [*request.headers, "Expect:", "User-Agent:"]
    if not any(h.lower().startswith("accept:") for h in request.headers):
        headers.append("Accept:")
    if request.body:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(request.body))
        curl.setopt(pycurl.READFUNCTION, io.BytesIO(request.body).read)
        if not any(h.lower().startswith("content-type:") for h in request.headers):
            headers.append("Content-Type:")
    elif request.method == "POST":
        headers.append("Content-Length: 0")
    elif request.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.HTTPHEADER, [header.encode("latin1") for header in headers])


def _split_url(url):
    """(scheme and address, target).  The caller's target is sent as it is and never parsed as a
    URL."""
    end = url.find("/", url.find("://") + 3)
    return (url, "/") if end < 0 else (url[:end], url[end:])


def stream(pool, base, request, timeout_ms, connect_ms, fresh, silent_ms=None):
    """Yield the events of one attempt; closing the generator aborts it.  If no head has come after
    `silent_ms`, ("silent", None) is yielded once.  `base` is the address under which the
    connection is pooled afterwards, or None.  With `fresh`, no pooled connection is used."""
    connection, kept = pool.acquire(base, fresh)
    ended = yield from _exchange(
        pool, base, connection, kept, request, timeout_ms, connect_ms, silent_ms
    )
    if kept and not ended.request_sent:
        # The engine had closed the pooled connection before anything was sent: use a new one.
        ended = yield from _exchange(
            pool, base, pool.open(), False, request, timeout_ms, connect_ms, silent_ms
        )
    yield "end", ended


def _exchange(pool, base, connection, kept, request, timeout_ms, connect_ms, silent_ms):
    """One request on one connection: yields events and returns the AttemptEnd."""
    reader, added, keep = ResponseReader(kept), False, False
    curl, multi = connection.curl, connection.multi
    try:
        _prepare(curl, request, timeout_ms)
        _bind(curl, reader, kept)
        multi.add_handle(curl)
        added = True
        connect_timeout = ConnectTimeout(curl, connect_ms)
        ended = yield from _transfer(
            curl, multi, reader, request.method, connect_timeout, silent_ms
        )
        fd = curl.getinfo(pycurl.LASTSOCKET)
        whole = bool(ended.code) and _sent_whole(curl, request)
        keep = base is not None and whole and response_framing.is_reusable(reader.head) and fd >= 0
        return ended
    finally:
        if added:
            multi.remove_handle(curl)
        if keep:
            pool.release(base, connection, fd, response_framing.keep_alive_s(reader.head))
        else:
            connection.close()


def _bind(curl, reader, kept):
    """Have curl pass the response to the reader.  curl must not replace a pooled connection by
    a new one: it would repeat a request without a body if the pooled one broke before a
    response."""
    reader.bind(curl)
    if kept:
        curl.setopt(pycurl.OPENSOCKETFUNCTION, lambda purpose, address: pycurl.SOCKET_BAD)
    else:
        curl.setopt(pycurl.FRESH_CONNECT, 1)


def _transfer(curl, multi, reader, method, connect_timeout, silent_ms):
    """Yield the events of a transfer; returns its AttemptEnd."""
    head = None
    silence_end_s = time.monotonic() + (silent_ms if silent_ms else _NO_TIMEOUT_MS) / 1000
    while True:
        connect_timeout.before_poll()
        _, active = multi.perform()
        if head is None and reader.head is not None and not reader.is_malformed:
            head = reader.head
            if _is_endless_success(method, head):
                return AttemptEnd(0, b"", True, NO_END)
            yield "head", head
        while reader.chunks:
            yield "data", reader.chunks.pop(0)
        _, good, bad = multi.info_read()
        if good or bad:
            return end_of_transfer(curl, reader, method, bad[0][1] if bad else 0)
        if connect_timeout.has_expired():
            return AttemptEnd(0, b"", False, TIMED_OUT)
        if not active:
            continue
        now_s = time.monotonic()
        if head is None and now_s >= silence_end_s:
            silence_end_s = float("inf")
            yield "silent", None
        wait_s = (
            min(_MAX_POLL_S, max(0.001, silence_end_s - now_s)) if head is None else _MAX_POLL_S
        )
        multi.select(connect_timeout.wait_s(wait_s))
        yield "idle", None


def _is_endless_success(method, head):
    """Whether a response reports a success that can never be known to be complete.  None of it is
    passed on: if the field that tells the length is spoilt, what follows isn't the body."""
    return head.code < _FIRST_UNSUCCESSFUL_STATUS and not response_framing.is_delimited(
        method, head
    )


def _sent_whole(curl, request):
    """Whether the whole body of the request was written to the socket.  An engine may respond
    before it has read a long body, keep the connection and read on; a request sent on it next
    would be read as the rest of that body."""
    return curl.getinfo(pycurl.SIZE_UPLOAD_T) == len(request.body)


def call(pool, request, timeout_ms, not_after_ms=None):
    """Make a request of this node itself (a report or an order) and read its response whole.  It
    isn't sent after `not_after_ms`.  The responses carry no id, so these requests share no
    connections with callers' requests, where an unexpected response may still arrive, nor orders
    with reports."""
    if not_after_ms is not None and time.monotonic() * 1000 > not_after_ms:
        return AttemptEnd(0, b"", False, "late")
    base = (_REPORT_PREFIX if request.method in _SAFE_METHODS else _ORDER_PREFIX) + _split_url(
        request.url
    )[0]
    chunks, head, ended = [], None, AttemptEnd(0, b"", False, "none")
    for kind, value in stream(pool, base, request, timeout_ms, timeout_ms / 2, False):
        if kind == "head":
            head = value
        elif kind == "data":
            chunks.append(value)
            if sum(map(len, chunks)) > _MAX_RESPONSE_BYTES:
                return AttemptEnd(0, b"", True, "oversized")
        elif kind == "end":
            ended = value
    return AttemptEnd(ended.code, b"".join(chunks), ended.request_sent, ended.cause, head)
