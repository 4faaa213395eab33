"""Frames on a connection between processes.

A frame is a fixed header (magic, kind, size, checksum) and a body encoded by `codec`, which is
compressed if it is long and compressing shortens it.  `receive` adds received bytes to a buffer
and returns the messages that are complete.  An invalid frame is returned as a BrokenFrame; the
caller then only closes the connection.
"""

import dataclasses
import struct
import zlib

from transport import codec, compression, messages

__all__ = ["FrameBuffer", "BrokenFrame", "pack", "receive", "LIMIT_BYTES"]

LIMIT_BYTES = 32 << 20
_MAGIC = b"PHW1"
_HEADER = struct.Struct(">4sHII")
# This bit of a frame's kind is set if the body is compressed.
_COMPRESSED = 1 << 15


@dataclasses.dataclass(frozen=True)
class BrokenFrame:
    """An invalid frame.

    `cause` is "magic", "oversized", "kind" (an unknown message), "checksum" or "body".
    """

    cause: str


@dataclasses.dataclass
class FrameBuffer:
    """The bytes of a connection that are not yet a complete frame."""

    pending: bytearray = dataclasses.field(default_factory=bytearray)


def pack(message):
    """The bytes of the frame that carries a message."""
    body = codec.to_bytes(message)
    kind = messages.KIND_OF[type(message)]
    compressed = compression.compress(body)
    if compressed is not None:
        body, kind = compressed, kind | _COMPRESSED
    return _HEADER.pack(_MAGIC, kind, len(body), zlib.crc32(body)) + body


def receive(buffer, data):
    """Add received bytes to a FrameBuffer; returns (complete messages, BrokenFrame or None)."""
    buffer.pending += data
    found = []
    while len(buffer.pending) >= _HEADER.size:
        magic, kind, size, crc = _HEADER.unpack_from(buffer.pending)
        if magic != _MAGIC:
            return found, BrokenFrame("magic")
        if size > LIMIT_BYTES:
            return found, BrokenFrame("oversized")
        message_type = messages.TYPE_OF.get(kind & ~_COMPRESSED)
        if message_type is None:
            return found, BrokenFrame("kind")
        end = _HEADER.size + size
        if len(buffer.pending) < end:
            break
        body = bytes(buffer.pending[_HEADER.size : end])
        if zlib.crc32(body) != crc:
            return found, BrokenFrame("checksum")
        try:
            if kind & _COMPRESSED:
                body = compression.decompress(body, LIMIT_BYTES)
            found.append(codec.from_bytes(message_type, body))
        except (codec.DecodeError, compression.DecompressionError):
            return found, BrokenFrame("body")
        del buffer.pending[:end]
    return found, None
