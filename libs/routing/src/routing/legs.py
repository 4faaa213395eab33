"""Carrying out engine calls with pycurl.  Each call has its own pipe, closed
after it, so that nothing of one answer can reach another."""

import time
from dataclasses import dataclass

import pycurl

__all__ = ["Ended", "call", "stream"]

_WAIT_S = 0.25
_LIMIT_BYTES = 8 << 20


@dataclass(frozen=True)
class Ended:
    """`code` 0: no whole answer.  `begun`: at least a byte of it was sent.  `head`: of the
    answer to a call, None if none came."""

    code: int
    data: bytes
    begun: bool
    cause: str = ""
    head: object = None


def _curl(ask, timeout_ms, connect_ms, headers=()):
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, ask.url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(min(connect_ms, timeout_ms))))
    if ask.method == "POST":
        curl.setopt(pycurl.POSTFIELDS, ask.body)
        headers = ["Content-Type: application/json", "Expect:", *headers]
    if headers:
        curl.setopt(pycurl.HTTPHEADER, list(headers))
    return curl


def _begun(curl):
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0


def call(ask, timeout_ms, connect_ms=500, not_after_ms=None, headers=()):
    """One call, whole answer; refuses by itself when it is already too late."""
    chunks, size = [], 0

    def keep(data):
        nonlocal size
        size += len(data)
        chunks.append(data)
        return len(data) if size <= _LIMIT_BYTES else 0

    curl = _curl(ask, timeout_ms, connect_ms, headers)
    curl.setopt(pycurl.WRITEFUNCTION, keep)
    try:
        if not_after_ms is not None and time.monotonic() * 1000 > not_after_ms:
            return Ended(0, b"", False, "late")
        curl.perform()
        return Ended(curl.getinfo(pycurl.RESPONSE_CODE), b"".join(chunks), True)
    except pycurl.error as failed:
        return Ended(0, b"", _begun(curl), str(failed.args[0]))
    finally:
        curl.close()


def stream(ask, timeout_ms, connect_ms=500):
    """Yield ("head", code), ("data", bytes)..., then ("end", Ended).

    Nothing is read from the engine while the caller is not taking pieces, so
    a slow caller holds its own stream back and nothing piles up here.
    """
    chunks = []
    curl = _curl(ask, timeout_ms, connect_ms)
    curl.setopt(pycurl.WRITEFUNCTION, lambda data: chunks.append(data))
    multi = pycurl.CurlMulti()
    multi.add_handle(curl)
    told, ended = False, None
    try:
        while ended is None:
            _, active = multi.perform()
            if not told and chunks:
                told = True
                yield "head", curl.getinfo(pycurl.RESPONSE_CODE)
            while chunks:
                yield "data", chunks.pop(0)
            _, good, bad = multi.info_read()
            if good:
                ended = Ended(curl.getinfo(pycurl.RESPONSE_CODE), b"", True)
            elif bad:
                ended = Ended(0, b"", _begun(curl), str(bad[0][1]))
            elif active:
                multi.select(_WAIT_S)
                yield "idle", None
        yield "end", ended
    finally:
        multi.remove_handle(curl)
        multi.close()
        curl.close()
