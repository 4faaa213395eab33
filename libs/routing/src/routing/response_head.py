"""Heads of engines' HTTP/1.1 responses (RFC 9110, section 5; RFC 9112, sections 2 to 7).

curl frames a response's body, and everything else is decided by the head that is parsed here.
curl is lenient, so a head that two parsers might read differently is refused here, and the
attempt has failed: a status line or field line that doesn't follow the grammar, or ends in another
way than by CR LF, and a body whose length is told in more than one way, or by a value that is no
length.
"""

import re
from dataclasses import dataclass

from routing import http_grammar

__all__ = ["FIRST_FINAL_STATUS", "ResponseHead", "parse"]

# The first status of a final response; those below are interim.
FIRST_FINAL_STATUS = 200
_NO_CONTENT = 204
_LINE_END = "\r\n"
_BLANKS = " \t"
_STATUS_LINE = rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: (" + http_grammar.TEXT + rb"))?\r\n"
_HEAD = re.compile(_STATUS_LINE + rb"((?:" + http_grammar.FIELD_LINE + rb")*)\r\n")
_LENGTH = re.compile(http_grammar.LENGTH)


@dataclass(frozen=True)
class ResponseHead:
    """The head of an engine's final response.  `kept`: the connection came from the pool, so
    the response may belong to an earlier request."""

    code: int
    reason: str
    headers: tuple
    kept: bool = False

    def get(self, name, default=None):
        """The first header of a name, which is given in lower case."""
        return next((v for n, v in self.headers if n.lower() == name), default)


def parse(data, kept=False):
    """The ResponseHead in the bytes of a whole head, None if it is malformed."""
    match = _HEAD.fullmatch(data)
    if match is None:
        return None
    minor_version, status, reason, lines = match.groups(b"")
    fields = [line.partition(":") for line in lines.decode("latin1").split(_LINE_END)[:-1]]
    headers = tuple((name, value.strip(_BLANKS)) for name, _, value in fields)
    head = ResponseHead(int(status), reason.decode("latin1").strip(_BLANKS), headers, kept)
    return head if _has_clear_length(head, minor_version) else None


def _has_clear_length(head, minor_version):
    """Whether the length of the body is told at most once, as a length or as chunks, and not for a
    response that can't be framed so (RFC 9112, sections 6.1 and 6.3)."""
    lengths = [value for name, value in head.headers if name.lower() == "content-length"]
    codings = [value for name, value in head.headers if name.lower() == "transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        return False
    has_no_body = head.code < FIRST_FINAL_STATUS or head.code == _NO_CONTENT
    if codings:
        return codings[0].lower() == "chunked" and minor_version == b"1" and not has_no_body
    if not lengths:
        return True
    if _LENGTH.fullmatch(lengths[0].encode("latin1")) is None:
        return False
    return not has_no_body or int(lengths[0]) == 0
