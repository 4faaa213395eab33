"""The format of a segment file of the log.

An entry is a header, its body and zero padding to the next 4 KiB block, so two writes in
flight never share a block.  Each header also records up to which index the log was known to
be synced when it was written.  This distinguishes a torn tail, which was never acknowledged
and is cut off, from damage in the middle, after which the disk isn't trusted.
"""

import struct
import zlib
from dataclasses import dataclass

from transport.messages import Entry

__all__ = ["BLOCK_BYTES", "Scan", "pack", "scan"]

BLOCK_BYTES = 4096
_MAGIC = b"PHL1"
_HEADER = struct.Struct(">4sQQQII")
_HEADER_CRC = struct.Struct(">I")
_HEADER_BYTES = _HEADER.size + _HEADER_CRC.size


@dataclass(frozen=True)
class Scan:
    """The result of reading a segment: its complete entries up to the first hole.

    `torn`: there is data after the last complete entry.  `damaged`: entries that were synced
    are missing.  `known`: the index up to which the log was known to be synced when the last
    entry was written."""

    entries: tuple
    torn: bool
    damaged: bool
    known: int = 0


def pack(entry, known):
    """Encode an entry; `known` is the index up to which the log is known to be synced."""
    crc = zlib.crc32(entry.body)
    header = _HEADER.pack(_MAGIC, entry.index, entry.term, known, len(entry.body), crc)
    data = header + _HEADER_CRC.pack(zlib.crc32(header)) + entry.body
    return data + bytes(-len(data) % BLOCK_BYTES)


def _read_entry(data, offset):
    """Return (entry, known, offset of the next block), or None if there is no complete entry."""
    if data[offset : offset + len(_MAGIC)] != _MAGIC or len(data) < offset + _HEADER_BYTES:
        return None
    _, index, term, known, size, crc = _HEADER.unpack_from(data, offset)
    (header_crc,) = _HEADER_CRC.unpack_from(data, offset + _HEADER.size)
    if zlib.crc32(data[offset : offset + _HEADER.size]) != header_crc:
        return None
    first, end = offset + _HEADER_BYTES, offset + _HEADER_BYTES + size
    body = data[first:end]
    if len(body) != size or zlib.crc32(body) != crc:
        return None
    return Entry(index, term, body), known, end + -end % BLOCK_BYTES


def scan(data, last=0):
    """Read a segment; `last` is the index of the last entry in the segments before it."""
    entries, offset, known = [], 0, 0
    while offset < len(data):
        parsed = _read_entry(data, offset)
        if parsed is None:
            break
        entry, known, offset = parsed
        entries.append(entry)
    if not data[offset:].strip(b"\0"):
        return Scan(tuple(entries), False, False, known)
    last = entries[-1].index if entries else last
    for block in range(offset, len(data), BLOCK_BYTES):
        parsed = _read_entry(data, block)
        if parsed and parsed[1] > last and parsed[0].index > last + 1:
            return Scan(tuple(entries), True, True, known)
    return Scan(tuple(entries), True, False, known)
