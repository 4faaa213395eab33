"""How log entries lie in a segment file.

An entry is a header, its body and zero padding to the next 4 KiB block, so
two writes in flight never share a block.  Each header also says up to where
the log was known synced when it was written: that tells a torn tail (never
acknowledged, cut off) from damage in the middle (the disk is not trusted).
"""

import struct
import zlib
from dataclasses import dataclass

from transport.messages import Entry

__all__ = ["BLOCK_BYTES", "Scan", "pack", "scan"]

BLOCK_BYTES = 4096
_MAGIC = b"PHL1"
_HEAD = struct.Struct(">4sQQQII")
_HEAD_CRC = struct.Struct(">I")
_HEAD_BYTES = _HEAD.size + _HEAD_CRC.size


@dataclass(frozen=True)
class Scan:
    entries: tuple
    torn: bool
    damaged: bool
    known: int = 0


def pack(entry, known):
    crc = zlib.crc32(entry.body)
    head = _HEAD.pack(_MAGIC, entry.index, entry.term, known, len(entry.body), crc)
    data = head + _HEAD_CRC.pack(zlib.crc32(head)) + entry.body
    return data + bytes(-len(data) % BLOCK_BYTES)


def _entry_at(data, at):
    """Return (entry, known, end), or None where no whole entry lies."""
    if data[at : at + len(_MAGIC)] != _MAGIC or len(data) < at + _HEAD_BYTES:
        return None
    _, index, term, known, size, crc = _HEAD.unpack_from(data, at)
    (head_crc,) = _HEAD_CRC.unpack_from(data, at + _HEAD.size)
    if zlib.crc32(data[at : at + _HEAD.size]) != head_crc:
        return None
    first, end = at + _HEAD_BYTES, at + _HEAD_BYTES + size
    body = data[first:end]
    if len(body) != size or zlib.crc32(body) != crc:
        return None
    return Entry(index, term, body), known, end + -end % BLOCK_BYTES


def scan(data, last=0):
    """Read a segment: its whole entries in order, up to the first hole; `known` is
    up to where the log was known synced when its last entry was written, and `last`
    the last entry of the segments before."""
    entries, at, known = [], 0, 0
    while at < len(data):
        found = _entry_at(data, at)
        if found is None:
            break
        entry, known, at = found
        entries.append(entry)
    if not data[at:].strip(b"\0"):
        return Scan(tuple(entries), False, False, known)
    last = entries[-1].index if entries else last
    for block in range(at, len(data), BLOCK_BYTES):
        found = _entry_at(data, block)
        if found and found[1] > last and found[0].index > last + 1:
            return Scan(tuple(entries), True, True, known)
    return Scan(tuple(entries), True, False, known)
