"""How a stand-in engine misbehaves on one request: it breaks off, answers for another
request, twice, late or in bytes that are no answer."""

import socket
import struct
import time
from enum import Enum, auto

__all__ = ["BROKEN_STAMP", "Fault", "NOT_RUN", "deliver", "reset"]

# What the stamp of an answer with a broken head begins with.
BROKEN_STAMP = "broken."
_RESET = struct.pack("ii", 1, 0)
# Between two parts of an answer, so that they arrive one by one.
_PART_S = 0.01
# Longer than a leg may be silent before another is weighed, shorter than a deadline.
_SILENT_S = 0.3
# How long a silent engine holds its connection if nobody ends it.
_HUNG_S = 0.6


class Fault(Enum):
    """What an engine does with a request; all but those in NOT_RUN have run it."""

    FULL = auto()
    MOVED = auto()
    RATE = auto()
    RESET_UNRUN = auto()
    RESET = auto()
    CLOSE = auto()
    RESET_IN_HEAD = auto()
    CLOSE_IN_HEAD = auto()
    RESET_IN_BODY = auto()
    CLOSE_IN_BODY = auto()
    TWICE = auto()
    TWICE_LATE = auto()
    STRAY_BYTES = auto()
    OTHERS = auto()
    NAMELESS = auto()
    PREVIOUS = auto()
    INTERIM = auto()
    SILENT = auto()
    SILENT_THEN = auto()
    UNMARKED_END = auto()
    BOTH_LENGTHS = auto()
    GARBAGE = auto()
    FAILURE = auto()
    BARE_PROMISE = auto()
    SPOILT_LENGTH = auto()
    NO_FIELD = auto()
    SPOILT_NAME = auto()
    CONTROL_IN_NAME = auto()
    STATUS_ZERO = auto()
    STATUS_BEYOND = auto()
    SPOILT_TRAILER = auto()


NOT_RUN = {Fault.FULL: 503, Fault.MOVED: 421, Fault.RATE: 429}


# The line that breaks the head of an answer.
_BROKEN_LINES = {
    Fault.SPOILT_LENGTH: b"Content-Length: 99999999999999999999999",
    Fault.NO_FIELD: b": no field",
    Fault.SPOILT_NAME: b"Transfer-Encoding : chunked",
    Fault.CONTROL_IN_NAME: b"X-A\x01: 1",
}
# The status line that breaks the head of an answer.
_BROKEN_STATUS_LINES = {
    Fault.STATUS_ZERO: b"HTTP/1.1 000 Told",
    Fault.STATUS_BEYOND: b"HTTP/1.1 600 Told",
}


def reset(handler):
    """End a handler's connection with a reset."""
    handler.close_connection = True
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    handler.connection.close()


def _close(handler):
    handler.close_connection = True
    handler.connection.shutdown(socket.SHUT_RDWR)


def _with_head(good, line=None, without=(), more=()):
    """The answer with another status line, without some headers and with some more."""
    head, _, body = good.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    kept = [h for h in lines[1:] if h.partition(b":")[0].lower() not in without]
    return b"\r\n".join([line or lines[0], *kept, *more]) + b"\r\n\r\n" + body


def _chunked(good):
    """The answer with its body in one chunk and the length of half of it as well."""
    head, _, body = good.partition(b"\r\n\r\n")
    plain = _with_head(head + b"\r\n\r\n", without=(b"content-length", b"transfer-encoding"))
    told = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % (len(body) // 2)
    return plain[:-2] + told + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def _broken(fault, good):
    """The answer with its body in one chunk, the length of half of it as well if no other is told,
    and a head that is broken."""
    head, _, body = good.partition(b"\r\n\r\n")
    stamp = next(h for h in head.split(b"\r\n") if h.lower().startswith(b"x-postmark:"))
    marked = b"X-Postmark: " + BROKEN_STAMP.encode() + stamp.partition(b":")[2].strip()
    line = _BROKEN_LINES.get(fault, b"X-Broken: 1")
    told = (b"content-length", b"transfer-encoding", b"x-postmark")
    framing = [] if fault is Fault.SPOILT_LENGTH else [b"Content-Length: %d" % (len(body) // 2)]
    first = _BROKEN_STATUS_LINES.get(fault)
    broken = _with_head(head + b"\r\n\r\n", first, without=told, more=(line, *framing, marked))
    return broken + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def _cut_with_trailer(good):
    """The answer with half of its body, in one chunk, and a trailer that is broken."""
    head, _, body = good.partition(b"\r\n\r\n")
    half = body[: len(body) // 2]
    framing = (b"content-length", b"transfer-encoding")
    coding = (b"Transfer-Encoding: chunked",)
    chunked = _with_head(head + b"\r\n\r\n", without=framing, more=coding)
    return chunked + b"%x\r\n%s\r\n0\r\nX Sum: 1\r\n\r\n" % (len(half), half)


def _cut(handler, good, fault):
    """Part of the answer, then the end of the connection."""
    head = good.find(b"\r\n\r\n") + 4
    in_head = fault in (Fault.RESET_IN_HEAD, Fault.CLOSE_IN_HEAD)
    end = head // 2 if in_head else head + (len(good) - head) // 2
    if fault not in (Fault.RESET, Fault.CLOSE):
        handler.wfile.write(good[:end])
        time.sleep(_PART_S)
    if fault in (Fault.RESET, Fault.RESET_IN_HEAD, Fault.RESET_IN_BODY):
        reset(handler)
    else:
        _close(handler)


def _hang(handler):
    """Say nothing until the other end has gone."""
    handler.connection.settimeout(_HUNG_S)
    handler.connection.recv(1)
    handler.close_connection = True


def _interim(handler, good):
    """Two interim answers; the second comes with half of the head."""
    head = good.find(b"\r\n\r\n") // 2
    handler.wfile.write(b"HTTP/1.1 103 Early\r\nX-Try-Id: none\r\n\r\n")
    time.sleep(_PART_S)
    handler.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n" + good[:head])
    time.sleep(_PART_S)
    handler.wfile.write(good[head:])


def deliver(handler, fault, good, previous):
    """Give the answer `good` as the fault has it; `previous` is one to another request."""
    if fault in _CUTS:
        _cut(handler, good, fault)
    elif fault is Fault.TWICE_LATE:
        handler.wfile.write(good)
        time.sleep(_PART_S)
        handler.wfile.write(good)
    elif fault is Fault.SILENT:
        _hang(handler)
    elif fault is Fault.INTERIM:
        _interim(handler, good)
    elif fault is Fault.SILENT_THEN:
        time.sleep(_SILENT_S)
        handler.wfile.write(good)
    else:
        handler.wfile.write(_changed(fault, good, previous))
        if fault in (Fault.UNMARKED_END, Fault.GARBAGE, Fault.SPOILT_TRAILER, *_BROKEN):
            _close(handler)


_BROKEN = (
    *_BROKEN_LINES,
    *_BROKEN_STATUS_LINES,
)
_CUTS = (
    Fault.RESET,
    Fault.CLOSE,
    Fault.RESET_IN_HEAD,
    Fault.CLOSE_IN_HEAD,
    Fault.RESET_IN_BODY,
    Fault.CLOSE_IN_BODY,
)


def _changed(fault, good, previous):
    """The bytes in place of a good answer."""
    framing = (b"content-length", b"transfer-encoding")
    if fault is Fault.TWICE:
        return good + good
    if fault is Fault.STRAY_BYTES:
        return good + b"HTTP/1.1 200 OK\r\nContent-Le"
    if fault is Fault.OTHERS:
        return _with_head(good, without=(b"x-try-id",), more=(b"X-Try-Id: another",))
    if fault is Fault.NAMELESS:
        return _with_head(good, without=(b"x-try-id",))
    if fault is Fault.PREVIOUS:
        return (previous or b"") + good
    if fault is Fault.UNMARKED_END:
        return _with_head(good, without=framing)[:-1]
    if fault is Fault.BOTH_LENGTHS:
        return _chunked(good)
    if fault is Fault.SPOILT_TRAILER:
        return _cut_with_trailer(good)
    if fault in _BROKEN:
        return _broken(fault, good)
    if fault is Fault.FAILURE:
        return _with_head(good, line=b"HTTP/1.1 500 Failed")
    if fault is Fault.BARE_PROMISE:
        return _with_head(good, line=b"HTTP/1.1 503 Unavailable")
    return b"no answer at all\r\n\r\n"
