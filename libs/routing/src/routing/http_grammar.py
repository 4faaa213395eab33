"""Grammar of HTTP/1.1 messages that requests and responses share, as patterns over bytes
(RFC 9110, sections 5 and 8.6)."""

__all__ = ["TOKEN", "LENGTH"]

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The value of Content-Length, in bytes.
LENGTH = rb"[0-9]{1,12}"
