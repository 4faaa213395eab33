"""Frames on a pipe.

A frame is a fixed header (magic, form, kind, size, checksum) and a body that
`codec` understands.  `feed` takes whatever bytes arrived and gives back the
whole messages among them; a broken frame is a typed failure, and the pipe
that carried it is closed by the caller, nothing else.
"""

import dataclasses
import zlib

import construct as c

from transport import codec, messages

__all__ = ["Intake", "Broken", "pack", "feed", "LIMIT_BYTES"]

LIMIT_BYTES = 32 << 20
_HEADER = c.Struct(
    "magic" / c.Const(b"PHW1"), "kind" / c.Int16ub, "size" / c.Int32ub, "crc" / c.Int32ub
).compile()
_HEADER_BYTES = 14


@dataclasses.dataclass(frozen=True)
class Broken:
    """A frame that cannot be trusted; `cause` is one of a closed set."""

    cause: str


@dataclasses.dataclass
class Intake:
    waiting: bytearray = dataclasses.field(default_factory=bytearray)


def pack(message):
    body = codec.to_bytes(message)
    return (
        _HEADER.build(
            {"kind": messages.KIND_OF[type(message)], "size": len(body), "crc": zlib.crc32(body)}
        )
        + body
    )


def feed(intake, data):
    """Return (messages, Broken or None)."""
    intake.waiting += data
    found = []
    while len(intake.waiting) >= _HEADER_BYTES:
        try:
            head = _HEADER.parse(bytes(intake.waiting[:_HEADER_BYTES]))
        except c.ConstructError:
            return found, Broken("magic")
        if head.size > LIMIT_BYTES:
            return found, Broken("oversized")
        if head.kind not in messages.TYPE_OF:
            return found, Broken("kind")
        end = _HEADER_BYTES + head.size
        if len(intake.waiting) < end:
            break
        body = bytes(intake.waiting[_HEADER_BYTES:end])
        if zlib.crc32(body) != head.crc:
            return found, Broken("checksum")
        try:
            found.append(codec.from_bytes(messages.TYPE_OF[head.kind], body))
        except codec.BadBody:
            return found, Broken("body")
        del intake.waiting[:end]
    return found, None
