"""Where an engine's answer ends, and whether its connection may carry another request."""

__all__ = ["delimited", "keep_s", "keeps"]

_DIGITS = 9
_WITHOUT_BODY = (204, 304)


def delimited(method, head):
    """Whether an answer tells where it ends: one that runs to the end of its
    connection looks the same whole and cut off."""
    return (
        method == "HEAD"
        or head.code in _WITHOUT_BODY
        or head.get("content-length") is not None
        or _tokens(head, "transfer-encoding")[-1:] == ["chunked"]
    )


def _tokens(head, name):
    """The words of a list header, in small letters."""
    values = ",".join(v for n, v in head.headers if n.lower() == name)
    return [word.strip().lower() for word in values.split(",") if word.strip()]


def keeps(head):
    return "close" not in _tokens(head, "connection") and (
        head.get("content-length") is not None or "chunked" in _tokens(head, "transfer-encoding")
    )


def keep_s(head):
    """The seconds for which the engine keeps an idle pipe, None if it didn't say."""
    for word in head.get("keep-alive", "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return int(value[:_DIGITS])
    return None
