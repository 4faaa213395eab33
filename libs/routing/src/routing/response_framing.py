"""Where an engine's answer ends, and whether its connection may carry another request."""

__all__ = ["is_delimited", "keep_alive_s", "is_reusable"]

_MAX_DIGITS = 9
_WITHOUT_BODY = (204, 304)


def is_delimited(method, head):
    """Whether an answer tells where it ends: one that runs to the end of its
    connection looks the same whole and cut off."""
    return (
        method == "HEAD"
        or head.code in _WITHOUT_BODY
        or head.get("content-length") is not None
        or _header_tokens(head, "transfer-encoding")[-1:] == ["chunked"]
    )


def _header_tokens(head, name):
    """The words of a list header, in small letters."""
    values = ",".join(v for n, v in head.headers if n.lower() == name)
    return [word.strip().lower() for word in values.split(",") if word.strip()]


def is_reusable(head):
    return "close" not in _header_tokens(head, "connection") and (
        head.get("content-length") is not None
        or "chunked" in _header_tokens(head, "transfer-encoding")
    )


def keep_alive_s(head):
    """The seconds for which the engine keeps an idle pipe, None if it didn't say."""
    for word in head.get("keep-alive", "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return int(value[:_MAX_DIGITS])
    return None
