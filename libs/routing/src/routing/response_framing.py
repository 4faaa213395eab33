"""Framing of an engine's HTTP response: where its body ends, and whether its connection may carry
another request."""

__all__ = ["has_no_body", "is_delimited", "keep_alive_s", "is_reusable"]

_MAX_DIGITS = 9
_WITHOUT_BODY = (204, 304)


def has_no_body(method, head):
    """Whether a response to a request of this method has no body, whatever its fields say."""
    return method == "HEAD" or head.code in _WITHOUT_BODY


def is_delimited(method, head):
    """Whether the end of the response can be recognised.  A body that runs until the connection
    closes looks the same whether it is complete or cut off."""
    return has_no_body(method, head) or _tells_length(head)


def _tells_length(head):
    """Whether a head tells the length of a body, in bytes or as chunks, the only coding that
    response_head.parse takes."""
    return head.get("content-length") is not None or head.get("transfer-encoding") is not None


def _header_tokens(head, name):
    """The comma-separated tokens of a list header, in lower case."""
    values = ",".join(v for n, v in head.headers if n.lower() == name)
    return [item.strip().lower() for item in values.split(",") if item.strip()]


def is_reusable(head):
    """Whether the connection may be kept after this response: no `Connection: close`, and a body
    of known length or in chunks."""
    return "close" not in _header_tokens(head, "connection") and _tells_length(head)


def keep_alive_s(head):
    """The idle timeout that the engine announces in `Keep-Alive`, in seconds; None if it announces
    none."""
    for item in head.get("keep-alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return int(value[:_MAX_DIGITS])
    return None
