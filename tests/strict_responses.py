"""A strict parser of one HTTP/1.1 response, written plainly from RFC 9112, as a model of the
product's reader of responses."""

from dataclasses import dataclass

TOKEN_BYTES = set(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
TEXT_BYTES = {ord("\t"), *range(0x20, 0x7F), *range(0x80, 0x100)}
DIGITS = set(b"0123456789")
HEX_DIGITS = set(b"0123456789abcdefABCDEF")
MAX_LENGTH_DIGITS, MAX_SIZE_DIGITS = 12, 8
NO_CONTENT, NOT_MODIFIED, SWITCHING_PROTOCOLS, FIRST_FINAL_STATUS = 204, 304, 101, 200


class NotAResponse(Exception):
    """The bytes are no complete response whose end can be recognised."""


@dataclass(frozen=True)
class Response:
    """A final response; `fields` has pairs of text."""

    code: int
    reason: str
    fields: tuple
    body: bytes


@dataclass(frozen=True)
class Head:
    version: bytes
    code: int
    reason: str
    fields: tuple

    def values(self, name):
        return [value for found, value in self.fields if found.lower() == name]


class Cursor:
    """Reads from bytes, from the first to the last."""

    def __init__(self, data):
        self.data, self.at = data, 0

    def line(self):
        """The next line without its end, which must be CR LF."""
        end = self.data.find(b"\r\n", self.at)
        require(end >= 0)
        line = self.data[self.at : end]
        require(b"\r" not in line and b"\n" not in line)
        self.at = end + 2
        return line

    def take(self, count):
        require(self.at + count <= len(self.data))
        self.at += count
        return self.data[self.at - count : self.at]


def require(condition):
    if not condition:
        raise NotAResponse


def parse(data, method="GET"):
    """The final Response at the beginning of `data`, or None.  What comes after it is ignored."""
    try:
        return read_response(Cursor(data), method)
    except NotAResponse:
        return None


def read_response(cursor, method):
    head = read_head(cursor)
    while head.code < FIRST_FINAL_STATUS:
        require(head.code != SWITCHING_PROTOCOLS)
        head = read_head(cursor)
    body = read_body(cursor, head, method)
    return Response(head.code, head.reason, head.fields, body)


def read_head(cursor):
    version, code, reason = read_status_line(cursor.line())
    fields = []
    while line := cursor.line():
        if line[:1] in (b" ", b"\t"):
            # A folded line belongs to the value before it (RFC 9112, section 5.2).
            require(fields and set(line) <= TEXT_BYTES)
            name, value = fields.pop()
            fields.append((name, f"{value} {trimmed(line)}".strip(" \t")))
        else:
            fields.append(read_field(line))
    head = Head(version, code, reason, tuple(fields))
    check_length(head)
    return head


def read_status_line(line):
    version, code, reason = line[:8], line[9:12], line[12:]
    require(version in (b"HTTP/1.0", b"HTTP/1.1"))
    require(line[8:9] == b" " and len(code) == 3 and set(code) <= DIGITS)
    require(100 <= int(code) <= 599)
    require(reason == b"" or reason[:1] == b" ")
    require(set(reason) <= TEXT_BYTES)
    return version, int(code), trimmed(reason)


def read_field(line):
    name, colon, value = line.partition(b":")
    require(colon and name and set(name) <= TOKEN_BYTES and set(value) <= TEXT_BYTES)
    return name.decode("latin1"), trimmed(value)


def trimmed(value):
    return value.decode("latin1").strip(" \t")


def check_length(head):
    """A length that is told twice, or in a way that is not allowed, is an error; of what RFC 9112,
    section 6.3, lets a recipient choose, this parser refuses all."""
    lengths, codings = head.values("content-length"), head.values("transfer-encoding")
    require(len(lengths) + len(codings) <= 1)
    never_has_body = head.code < FIRST_FINAL_STATUS or head.code == NO_CONTENT
    for coding in codings:
        require(coding.lower() == "chunked" and head.version == b"HTTP/1.1")
        require(not never_has_body)
    for length in lengths:
        require(0 < len(length) <= MAX_LENGTH_DIGITS and set(length.encode("latin1")) <= DIGITS)
        require(not never_has_body or int(length) == 0)


def read_body(cursor, head, method):
    if method == "HEAD" or head.code in (NO_CONTENT, NOT_MODIFIED):
        return b""
    if head.values("transfer-encoding"):
        return read_chunks(cursor)
    require(head.values("content-length"))
    return cursor.take(int(head.values("content-length")[0]))


def read_chunks(cursor):
    body = b""
    while True:
        size, _, extension = cursor.line().partition(b";")
        size = size.rstrip(b" \t")
        require(0 < len(size) <= MAX_SIZE_DIGITS and set(size) <= HEX_DIGITS)
        require(0 not in extension)
        if int(size, 16) == 0:
            break
        body += cursor.take(int(size, 16))
        require(cursor.take(2) == b"\r\n")
    while line := cursor.line():
        read_field(line)
    return body
