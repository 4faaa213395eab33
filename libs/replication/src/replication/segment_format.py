"""How log entries lie in a segment file.

An entry is a header, its body and zero padding to the next 4 KiB block, so
two writes in flight never share a block.  Each header also says up to where
the log was known synced when it was written: that tells a torn tail (never
acknowledged, cut off) from damage in the middle (the disk is not trusted).
"""

import zlib
from dataclasses import dataclass

import construct as c
from transport.messages import Entry

__all__ = ["BLOCK_BYTES", "Scan", "pack", "scan"]

BLOCK_BYTES = 4096
_HEAD = c.Struct(
    "magic" / c.Const(b"PHL1"),
    "index" / c.Int64ub,
    "term" / c.Int64ub,
    "known" / c.Int64ub,
    "size" / c.Int32ub,
    "crc" / c.Int32ub,
    "headCrc" / c.Int32ub,
).compile()
_HEAD_BYTES = 40


@dataclass(frozen=True)
class Scan:
    entries: tuple
    torn: bool
    damaged: bool
    known: int = 0


def pack(entry, known):
    fields = {
        "index": entry.index,
        "term": entry.term,
        "known": known,
        "size": len(entry.body),
        "crc": zlib.crc32(entry.body),
    }
    bare = _HEAD.build({**fields, "headCrc": 0})
    head = _HEAD.build({**fields, "headCrc": zlib.crc32(bare[:36])})
    data = head + entry.body
    return data + bytes(-len(data) % BLOCK_BYTES)


def _entry_at(data, at):
    """Return (entry, known, end), or None where no whole entry lies."""
    if data[at : at + 4] != b"PHL1" or len(data) < at + _HEAD_BYTES:
        return None
    head = _HEAD.parse(data[at : at + _HEAD_BYTES])
    if zlib.crc32(data[at : at + 36]) != head.headCrc:
        return None
    body = data[at + _HEAD_BYTES : at + _HEAD_BYTES + head.size]
    if len(body) != head.size or zlib.crc32(body) != head.crc:
        return None
    end = at + _HEAD_BYTES + head.size
    return Entry(head.index, head.term, body), head.known, end + -end % BLOCK_BYTES


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
