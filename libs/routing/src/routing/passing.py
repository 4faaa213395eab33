"""A leg that passes a caller's request on to an engine, and its answer back.

`stream` yields what comes, as it comes: ("head", Head), ("data", bytes)...,
("idle", None), and last ("end", Ended).  The request's body is handed to curl by
a reader that can't be rewound, so that curl never sends it a second time by
itself on another connection.
"""

import io
import time
from dataclasses import dataclass

import pycurl

from routing.legs import Ended

__all__ = ["Head", "stream", "call"]

_WAIT_S = 0.25
_LIMIT_BYTES = 8 << 20
_DIGITS = 9


@dataclass(frozen=True)
class Head:
    code: int
    reason: str
    headers: tuple

    def get(self, name, missing=None):
        """The first header of a name given in small letters."""
        return next((v for n, v in self.headers if n.lower() == name), missing)


def _head(lines):
    """A Head of the header lines of the last answer begun."""
    words = lines[0].split(None, 2)
    pairs = tuple(
        (n.strip(), v.strip()) for n, s, v in (line.partition(":") for line in lines[1:]) if s
    )
    return Head(int(words[1]), words[2].strip() if len(words) > 2 else "", pairs)


def _prepare(curl, ask, timeout_ms, connect_ms):
    curl.setopt(pycurl.URL, ask.url)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(min(connect_ms, timeout_ms))))
    curl.setopt(pycurl.CUSTOMREQUEST, ask.method)
    headers = [*ask.headers, "Expect:", "User-Agent:"]
    if not any(h.lower().startswith("accept:") for h in ask.headers):
        headers.append("Accept:")
    if ask.body:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(ask.body))
        curl.setopt(pycurl.READFUNCTION, io.BytesIO(ask.body).read)
        if not any(h.lower().startswith("content-type:") for h in ask.headers):
            headers.append("Content-Type:")
    elif ask.method == "POST":
        headers.append("Content-Length: 0")
    elif ask.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.HTTPHEADER, headers)


def stream(pool, base, ask, timeout_ms, connect_ms, fresh, silent_ms=None):
    """The events of one leg; closing the generator breaks the leg off.  After
    `silent_ms` without a head comes ("silent", None), once."""
    lines, chunks, ends = [], [], []

    def on_header(line):
        text = line.decode("latin1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            lines.clear()
        if text:
            lines.append(text)
        else:
            ends.append(True)

    pipe, kept = pool.take(base, fresh)
    curl, multi = pipe.curl, pipe.multi
    _prepare(curl, ask, timeout_ms, connect_ms)
    if not ask.body:
        curl.setopt(pycurl.FRESH_CONNECT, 0 if kept else 1)
    curl.setopt(pycurl.HEADERFUNCTION, on_header)
    curl.setopt(pycurl.WRITEFUNCTION, chunks.append)
    multi.add_handle(curl)
    head, ended = None, None
    silent_s = time.monotonic() + (silent_ms if silent_ms else 1e9) / 1000
    try:
        while ended is None:
            _, active = multi.perform()
            if head is None and ends and lines:
                made = _head(lines)
                if made.code >= 200:
                    head = made
                    yield "head", head
                ends.clear()
            while chunks:
                yield "data", chunks.pop(0)
            _, good, bad = multi.info_read()
            if good:
                ended = Ended(head.code if head else 0, b"", True)
            elif bad:
                ended = Ended(0, b"", _begun(curl), str(bad[0][1]))
            elif active:
                now_s = time.monotonic()
                if head is None and now_s >= silent_s:
                    silent_s = float("inf")
                    yield "silent", None
                multi.select(
                    min(_WAIT_S, max(0.001, silent_s - now_s)) if head is None else _WAIT_S
                )
                yield "idle", None
        fd = curl.getinfo(pycurl.LASTSOCKET)
        multi.remove_handle(curl)
        if head is not None and ended.code and _keeps(head):
            pool.give(base, pipe, fd, _keep_s(head))
            pipe = None
        yield "end", ended
    finally:
        if pipe is not None:
            if ended is None:
                multi.remove_handle(curl)
            pipe.close()


def _begun(curl):
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0


def _keeps(head):
    return head.get("connection", "").lower() != "close" and (
        head.get("content-length") is not None
        or "chunked" in head.get("transfer-encoding", "").lower()
    )


def _keep_s(head):
    """The seconds for which the engine keeps an idle pipe, None if it didn't say."""
    for word in head.get("keep-alive", "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return int(value[:_DIGITS])
    return None


def call(pool, ask, timeout_ms, not_after_ms=None):
    """One call of ours, whole answer; refuses by itself when it is too late."""
    if not_after_ms is not None and time.monotonic() * 1000 > not_after_ms:
        return Ended(0, b"", False, "late")
    base = "/".join(ask.url.split("/", 3)[:3])
    chunks, ended = [], Ended(0, b"", False, "none")
    for kind, value in stream(pool, base, ask, timeout_ms, timeout_ms / 2, False):
        if kind == "data":
            chunks.append(value)
            if sum(map(len, chunks)) > _LIMIT_BYTES:
                return Ended(0, b"", True, "oversized")
        elif kind == "end":
            ended = value
    return Ended(ended.code, b"".join(chunks), ended.begun, ended.cause)
