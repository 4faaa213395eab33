"""Framing of HTTP/1.1 requests: where a request ends in a byte stream (RFC 9112, sections 2 to 7).

The parser is strict, to prevent request smuggling: a request with an ambiguous length, a
malformed head, or a line that other parsers may read differently is refused and never forwarded.
"""

import re
from dataclasses import dataclass, field

from routing import http_grammar

__all__ = ["Complete", "Incomplete", "Malformed", "parse_request", "HEAD_LIMIT_BYTES"]

HEAD_LIMIT_BYTES = 32 << 10
# Longest size line of a chunk, including chunk extensions.
_SIZE_LINE_LIMIT_BYTES = 256
_HEAD_END = b"\r\n\r\n"
_FIELD = http_grammar.TOKEN + rb":[^\r\n\0]*\r\n"
_HEAD = re.compile(
    http_grammar.TOKEN + rb" [!-~\x80-\xff]+ HTTP/1\.[01]\r\n(?:" + _FIELD + rb")*\r\n"
)
_TRAILERS = re.compile(rb"(?:" + _FIELD + rb")*\r\n")
_FRAMING_FIELD = re.compile(rb"\r\n(content-length|transfer-encoding|host):[ \t]*([^\r]*)", re.I)
_LENGTH = re.compile(http_grammar.LENGTH)
_SIZE_LINE = re.compile(http_grammar.CHUNK_SIZE_LINE)


@dataclass(frozen=True)
class Incomplete:
    """The request is not complete yet.  `expected_bytes`: its whole size, 0 if that isn't known."""

    expected_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True)
class Complete:
    """One complete request; bytes after it are ignored."""

    head: bytes
    body: bytes


@dataclass(frozen=True)
class Malformed:
    """A request that must be refused: status, cause, and the limit if it exceeds one."""

    status: int
    cause: str
    limit_bytes: int = 0


def parse_request(data, body_limit_bytes):
    """The first request in `data`: Complete, Incomplete or Malformed."""
    end = data.find(_HEAD_END, 0, HEAD_LIMIT_BYTES + len(_HEAD_END))
    if end < 0:
        return Malformed(431, "head") if len(data) > HEAD_LIMIT_BYTES else Incomplete()
    end += len(_HEAD_END)
    head = bytes(data[:end])
    if not _HEAD.fullmatch(head):
        return Malformed(400, "head")
    length = _body_length(head)
    if isinstance(length, Malformed):
        return length
    if length is None:
        return _chunked(data, end, head, body_limit_bytes)
    if length > body_limit_bytes:
        return Malformed(413, "body", body_limit_bytes)
    if len(data) < end + length:
        return Incomplete(end + length)
    return Complete(head, bytes(memoryview(data)[end : end + length]))


def _body_length(head):
    """Length of the body in bytes, None if it is chunked, or Malformed."""
    values = {b"content-length": [], b"transfer-encoding": [], b"host": []}
    for name, value in _FRAMING_FIELD.findall(head):
        values[name.lower()].append(value.strip(b" \t"))
    lengths, codings = values[b"content-length"], values[b"transfer-encoding"]
    if len(lengths) + len(codings) > 1 or len(values[b"host"]) > 1:
        return Malformed(400, "a field that stands twice")
    if codings:
        return None if codings[0].lower() == b"chunked" else Malformed(400, "transfer-encoding")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        return Malformed(400, "content-length")
    return int(lengths[0]) if lengths else 0


def _chunked(data, at, head, body_limit_bytes):
    """Parse a chunked body that begins at `at`."""
    spans, size = [], 0
    while True:
        line = _SIZE_LINE.match(data, at, at + _SIZE_LINE_LIMIT_BYTES)
        if line is None:
            return _no_size_line(data, at)
        count, at = int(line[1], 16), line.end()
        if count == 0:
            return _trailers(data, at, head, spans)
        size += count
        if size > body_limit_bytes:
            return Malformed(413, "body", body_limit_bytes)
        if len(data) < at + count + 2:
            return Incomplete()
        if data[at + count : at + count + 2] != b"\r\n":
            return Malformed(400, "chunk")
        spans.append((at, at + count))
        at += count + 2


def _no_size_line(data, at):
    """Malformed if there is no valid size line, Incomplete if one may still arrive."""
    rest = bytes(data[at : at + _SIZE_LINE_LIMIT_BYTES])
    if b"\n" in rest or len(rest) == _SIZE_LINE_LIMIT_BYTES:
        return Malformed(400, "chunk size")
    return Incomplete()


def _trailers(data, at, head, spans):
    """Parse the trailer section, which is not forwarded."""
    if _TRAILERS.match(data, at):
        view = memoryview(data)
        return Complete(head, b"".join(view[start:end] for start, end in spans))
    if len(data) - at > HEAD_LIMIT_BYTES or data.find(_HEAD_END, at) >= 0:
        return Malformed(400, "trailers")
    return Incomplete()
