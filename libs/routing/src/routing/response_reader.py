"""Reads the response of one transfer from what curl receives, and checks it.

curl frames the body by its own reading of the bytes, which is lenient.  A response is refused if
its head or the framing of its chunks doesn't follow the grammar, so that curl's reading of what is
left is the only one.
"""

import pycurl

from routing import response_head
from routing.chunked_body import ChunkedBodyCheck

__all__ = ["MALFORMED", "ResponseReader"]

# The cause of an attempt whose response was malformed.
MALFORMED = "malformed response"
# What a callback returns so that curl breaks the transfer off.
_BREAK_OFF = 0
# No request asks for another protocol.
_SWITCHING_PROTOCOLS = 101


class ResponseReader:
    """Collects the response of one transfer.  `head` is the final response's, None until it is
    complete; `chunks` has the pieces of the body that haven't been taken yet.  Interim responses
    and trailers are checked and dropped.  `kept`: as in ResponseHead.  A transfer whose body is
    longer than `max_body_bytes`, if that is given, is broken off."""

    def __init__(self, kept=False, max_body_bytes=None):
        self.chunks: list[bytes] = []
        self.head: response_head.ResponseHead | None = None
        self.is_malformed = False
        self._kept = kept
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._lines: list[bytes] = []
        self._chunked_body: ChunkedBodyCheck | None = None

    def bind(self, curl):
        """Have a curl handle pass the response to this reader."""
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        # Tells of the body as it was received, before its chunks are decoded.
        curl.setopt(pycurl.DEBUGFUNCTION, self._on_debug)
        curl.setopt(pycurl.VERBOSE, 1)

    def _on_header(self, line):
        """Read a line of a head or a trailer.  Returns what curl expects: None, or _BREAK_OFF once
        the response turns out to be malformed."""
        if self.head is not None:
            return None
        if line[:1] not in (b"\r", b"\n"):
            self._lines.append(line)
            return None
        self.is_malformed = not self._end_head(line)
        return _BREAK_OFF if self.is_malformed else None

    def _end_head(self, line):
        """Parse the head that ends with an empty line; returns whether it is well-formed."""
        head = response_head.parse(b"".join(self._lines) + line, self._kept)
        self._lines = []
        if head is None or head.code == _SWITCHING_PROTOCOLS:
            return False
        if head.code >= response_head.FIRST_FINAL_STATUS:
            self.head = head
            if head.get("transfer-encoding") is not None:
                self._chunked_body = ChunkedBodyCheck()
        return True

    def _on_debug(self, kind, data):
        """Check the framing of received bytes of the body."""
        if kind == pycurl.INFOTYPE_DATA_IN and self._chunked_body is not None:
            self._chunked_body.feed(data)
            self.is_malformed = self._chunked_body.is_malformed

    def _on_data(self, data):
        """Keep a piece of the decoded body.  Returns what curl expects, as `_on_header` does."""
        self._body_bytes += len(data)
        is_oversized = self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes
        if self.is_malformed or is_oversized:
            return _BREAK_OFF
        self.chunks.append(data)
        return None
