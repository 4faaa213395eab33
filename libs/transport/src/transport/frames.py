"""Frames on a connection.

A frame is a fixed header (magic, form, kind, size, checksum) and a body that
`codec` understands.  `feed` takes whatever bytes arrived and gives back the
whole messages among them; a broken frame is a typed failure, and the connection
that carried it is closed by the caller, nothing else.
"""

import dataclasses
import struct
import zlib

from transport import codec, messages

__all__ = ["Intake", "Broken", "pack", "feed", "LIMIT_BYTES"]

LIMIT_BYTES = 32 << 20
_MAGIC = b"PHW1"
_HEADER = struct.Struct(">4sHII")


@dataclasses.dataclass(frozen=True)
class Broken:
    """A frame that cannot be trusted; `cause` is one of a closed set."""

    cause: str


@dataclasses.dataclass
class Intake:
    waiting: bytearray = dataclasses.field(default_factory=bytearray)


def pack(message):
    body = codec.to_bytes(message)
    kind = messages.KIND_OF[type(message)]
    return _HEADER.pack(_MAGIC, kind, len(body), zlib.crc32(body)) + body


def feed(intake, data):
    """Return (messages, Broken or None)."""
    intake.waiting += data
    found = []
    while len(intake.waiting) >= _HEADER.size:
        magic, kind, size, crc = _HEADER.unpack_from(intake.waiting)
        if magic != _MAGIC:
            return found, Broken("magic")
        if size > LIMIT_BYTES:
            return found, Broken("oversized")
        if kind not in messages.TYPE_OF:
            return found, Broken("kind")
        end = _HEADER.size + size
        if len(intake.waiting) < end:
            break
        body = bytes(intake.waiting[_HEADER.size : end])
        if zlib.crc32(body) != crc:
            return found, Broken("checksum")
        try:
            found.append(codec.from_bytes(messages.TYPE_OF[kind], body))
        except codec.BadBody:
            return found, Broken("body")
        del intake.waiting[:end]
    return found, None
