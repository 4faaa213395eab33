"""JSON values that are kept as text, so that a large one isn't held decoded while it waits."""

import json
from dataclasses import dataclass

__all__ = ["JsonText", "encode", "of"]


@dataclass(frozen=True)
class JsonText:
    """The text of a JSON value, as bytes that are known to be valid."""

    data: bytes


def of(value):
    """The JsonText of a value."""
    return JsonText(json.dumps(value).encode())


def encode(body):
    """The bytes of a JSON object whose values may be JsonTexts."""
    fields = (
        json.dumps(name).encode() + b": " + _encoded_value(value) for name, value in body.items()
    )
    return b"{" + b", ".join(fields) + b"}"


def _encoded_value(value):
    return (value if isinstance(value, JsonText) else of(value)).data
