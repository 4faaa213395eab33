"""A data folder in memory: small files, log segments, and what a loss of power leaves.

It follows the steps of the real folder: a small file is replaced whole, a log write
claims its blocks in order and is synced later, an installed snapshot first replaces
the snapshot file and then removes segments one by one.  `read` says what should be
read back; a start reads the same segments by the product's own rules (`reread`).
"""

import functools
from dataclasses import dataclass, field, replace
from typing import ClassVar

from replication import disk as disks
from replication import segment_format
from replication.group import Promise, read_snapshot_file
from transport.codec import from_bytes

__all__ = ["Slot", "Storage", "Untrusted", "read", "reread"]

# Log writes after which a new segment is begun: few, so that holes lie in and between.
_SLOTS_PER_SEGMENT = 3


class Untrusted(Exception):
    """The folder can't be read back: a start from it is refused."""


@dataclass(frozen=True)
class Slot:
    """One log write: its place among all, its segment, and whether it is synced."""

    WRITTEN_ONCE: ClassVar[bool] = True

    number: int
    segment: int
    entries: tuple
    known: int
    synced: bool = False


@dataclass
class Storage:
    """`slots` in the order they were claimed; a slot not yet synced may be lost."""

    files: dict = field(default_factory=dict)
    slots: tuple = ()
    count: int = 0
    segment: int = 0
    in_segment: int = _SLOTS_PER_SEGMENT
    orphans: tuple = ()
    read_back: tuple = (-1, (), ())

    def save(self, name, body):
        self.files[name] = body

    def claim(self, entries, known):
        """A log write begins."""
        if self.in_segment >= _SLOTS_PER_SEGMENT:
            self.segment, self.in_segment = self.segment + 1, 0
        self.count += 1
        self.in_segment += 1
        self.slots += (Slot(self.count, self.segment, entries, known),)

    def pending(self):
        """Writes under way; those whose segment was removed complete all the same."""
        return [s for s in self.slots if not s.synced] + list(self.orphans)

    def sync(self, number):
        """A log write completes; returns its last entry."""
        for slot in self.pending():
            if slot.number == number:
                done = slot
        self.slots = tuple(replace(s, synced=True) if s.number == number else s for s in self.slots)
        self.orphans = tuple(s for s in self.orphans if s.number != number)
        return done.entries[-1]

    def segments(self):
        return sorted({s.segment for s in self.slots})

    def install(self, index, body, restart, torn=""):
        """Replace the snapshot, then remove segments.  A loss of power meanwhile leaves
        some of them: `torn` says whether none, the first or the last is gone."""
        self.save("view", body)
        doomed = [
            n for n in self.segments() if restart or (n != self.segment and self._top(n) <= index)
        ]
        doomed = {"": doomed, "none": [], "first": doomed[:1], "last": doomed[-1:]}[torn]
        self.orphans += tuple(s for s in self.slots if s.segment in doomed and not s.synced)
        self.slots = tuple(s for s in self.slots if s.segment not in doomed)
        if restart:
            self.in_segment = _SLOTS_PER_SEGMENT

    def _top(self, segment):
        return max(s.entries[-1].index for s in self.slots if s.segment == segment)

    def power_loss(self, kept):
        """Only synced writes and those in `kept` are left."""
        self.slots = _left(self.slots, kept)
        self.orphans = ()
        self.in_segment = _SLOTS_PER_SEGMENT

    def promise(self):
        kept = self.files.get("promise")
        return _promise(kept) if kept else None

    def view_index(self):
        kept = self.files.get("view")
        return read_snapshot_file(kept)[0] if kept else 0

    def durable(self):
        """What would be read back if every write under way were lost now."""
        at, slots, kept = self.read_back
        if at != self.view_index() or slots is not self.slots:
            kept = read(_left(self.slots, ()), self.view_index())
            self.read_back = (self.view_index(), self.slots, kept)
        return kept


def _left(slots, kept):
    """Writes that can be read after a loss of power: a lost one leaves a hole, and
    nothing after it in its segment is read."""
    left, holes = [], set()
    for slot in slots:
        if not slot.synced and slot.number not in kept:
            holes.add(slot.segment)
        elif slot.segment not in holes:
            left.append(slot if slot.synced else replace(slot, synced=True))
    return tuple(left)


@functools.lru_cache(maxsize=4096)
def _promise(body):
    return from_bytes(Promise, body)


@dataclass(frozen=True)
class _Segment:
    """What the product's reader needs of a segment file."""

    number: int
    data: bytes

    @property
    def name(self):
        return f"log.{self.number:012d}"

    def __lt__(self, other):
        return self.number < other.number

    def read_bytes(self):
        return self.data


@dataclass(frozen=True)
class _Folder:
    segments: tuple

    def iterdir(self):
        return iter(self.segments)


@functools.lru_cache(maxsize=4096)
def _packed(entry, known):
    return segment_format.pack(entry, known)


def reread(slots, after):
    """The same by the product's own reader, from the bytes of the segments."""
    made = []
    for number in sorted({s.segment for s in slots}):
        here = [s for s in slots if s.segment == number]
        data = b"".join(_packed(e, s.known) for s in here for e in s.entries)
        made.append(_Segment(number, data))
    try:
        return disks.load_entries(_Folder(tuple(made)), after)
    except disks.DiskFailed as refused:
        raise Untrusted(str(refused.failure)) from refused


def read(slots, after):
    """AppendEntries after `after`: segments in order, later writings of an index winning."""
    log = []
    for segment in sorted({s.segment for s in slots}):
        found = [s for s in slots if s.segment == segment]
        last = max(log[-1].index if log else 0, after)
        if found[0].entries[0].index > last + 1 and found[0].known <= last:
            continue
        for slot in found:
            for entry in slot.entries:
                while log and log[-1].index >= entry.index:
                    log.pop()
                log.append(entry)
    kept = [e for e in log if e.index > after]
    for first, entry in enumerate(kept, after + 1):
        if entry.index != first:
            raise Untrusted("missing entries")
    return kept
