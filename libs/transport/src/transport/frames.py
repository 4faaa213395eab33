"""Frames on a connection.

A frame is a fixed header (magic, form, kind, size, checksum) and a body that
`codec` understands, compressed if it is long and that makes it shorter.  `feed`
takes whatever bytes arrived and gives back the whole messages among them; a broken
frame is a typed failure, and the connection that carried it is closed by the
caller, nothing else.
"""

import dataclasses
import struct
import zlib

from transport import codec, compression, messages

__all__ = ["FrameBuffer", "BrokenFrame", "pack", "feed", "LIMIT_BYTES"]

LIMIT_BYTES = 32 << 20
_MAGIC = b"PHW1"
_HEADER = struct.Struct(">4sHII")
# Set in a frame's kind if its body is compressed.
_COMPRESSED = 1 << 15


@dataclasses.dataclass(frozen=True)
class BrokenFrame:
    """A frame that cannot be trusted; `cause` is one of a closed set."""

    cause: str


@dataclasses.dataclass
class FrameBuffer:
    waiting: bytearray = dataclasses.field(default_factory=bytearray)


def pack(message):
    body = codec.to_bytes(message)
    kind = messages.KIND_OF[type(message)]
    shorter = compression.compress(body)
    if shorter is not None:
        body, kind = shorter, kind | _COMPRESSED
    return _HEADER.pack(_MAGIC, kind, len(body), zlib.crc32(body)) + body


def feed(intake, data):
    """Return (messages, BrokenFrame or None)."""
    intake.waiting += data
    found = []
    while len(intake.waiting) >= _HEADER.size:
        magic, kind, size, crc = _HEADER.unpack_from(intake.waiting)
        if magic != _MAGIC:
            return found, BrokenFrame("magic")
        if size > LIMIT_BYTES:
            return found, BrokenFrame("oversized")
        known = messages.TYPE_OF.get(kind & ~_COMPRESSED)
        if known is None:
            return found, BrokenFrame("kind")
        end = _HEADER.size + size
        if len(intake.waiting) < end:
            break
        body = bytes(intake.waiting[_HEADER.size : end])
        if zlib.crc32(body) != crc:
            return found, BrokenFrame("checksum")
        try:
            if kind & _COMPRESSED:
                body = compression.decompress(body, LIMIT_BYTES)
            found.append(codec.from_bytes(known, body))
        except (codec.DecodeError, compression.DecompressionError):
            return found, BrokenFrame("body")
        del intake.waiting[:end]
    return found, None
