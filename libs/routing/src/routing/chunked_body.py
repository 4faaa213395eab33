"""Checks the framing of a chunked body while it arrives (RFC 9112, section 7.1).

curl decodes the body.  It takes the digits that a size line begins with for the size, whatever
follows them, and lines that end in LF alone: if a size is spoilt to 0, what remains of the body may
be read as a trailer, and a body that was cut looks complete.
"""

import re

from routing import http_grammar

__all__ = ["ChunkedBodyCheck"]

_SIZE_LINE = re.compile(http_grammar.CHUNK_SIZE_LINE)
_DATA_END = re.compile(rb"\r\n")
_TRAILER_LINE = re.compile(http_grammar.FIELD_LINE + rb"|\r\n")
# Longest line of a size or a trailer field.
_MAX_LINE_BYTES = 32 << 10


class ChunkedBodyCheck:
    """`feed` gets the bytes of the body as they are received, and nothing of the head.  Bytes after
    the body's end are ignored."""

    def __init__(self):
        self.is_malformed = False
        self.is_complete = False
        self._expected = _SIZE_LINE
        self._data_left_bytes = 0
        self._unfinished_line = b""

    def feed(self, data):
        """Check the next bytes."""
        data, at = self._unfinished_line + data, 0
        self._unfinished_line = b""
        while at < len(data) and not (self.is_malformed or self.is_complete):
            if self._data_left_bytes:
                skipped = min(self._data_left_bytes, len(data) - at)
                self._data_left_bytes -= skipped
                at += skipped
            else:
                at = self._check_line(data, at)

    def _check_line(self, data, at):
        """Check what begins at `at` and isn't data of a chunk; returns where it ends."""
        line = self._expected.match(data, at)
        if line is None:
            self._unfinished_line = data[at:]
            self.is_malformed = not self._may_be_continued(self._unfinished_line)
            return len(data)
        if self._expected is _SIZE_LINE:
            self._data_left_bytes = int(line[1], 16)
            self._expected = _DATA_END if self._data_left_bytes else _TRAILER_LINE
        elif self._expected is _DATA_END:
            self._expected = _SIZE_LINE
        else:
            self.is_complete = line[0] == b"\r\n"
        return line.end()

    def _may_be_continued(self, line):
        """Whether the rest of a line may still arrive."""
        if self._expected is _DATA_END:
            return line == b"\r"
        return b"\n" not in line and len(line) <= _MAX_LINE_BYTES
