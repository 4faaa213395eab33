"""Grammar of HTTP/1.1 messages, as patterns over bytes (RFC 9110, sections 5 and 8.6; RFC 9112,
sections 5 and 7.1)."""

__all__ = ["TOKEN", "TEXT", "FIELD_LINE", "LENGTH", "CHUNK_SIZE_LINE"]

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The value of a field, or a reason.
TEXT = rb"[\t -~\x80-\xff]*"
FIELD_LINE = TOKEN + rb":" + TEXT + rb"\r\n"
# The value of Content-Length, in bytes.
LENGTH = rb"[0-9]{1,12}"
# The line before a chunk: its size in bytes, and extensions.
CHUNK_SIZE_LINE = rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n\0]*)?\r\n"
