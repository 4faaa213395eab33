"""A data folder in memory: small files, log segments, and what a loss of power leaves.

It follows the steps of the real folder: a small file is replaced whole, a log write
claims its blocks in order and is synced later, an installed snapshot first replaces
the snapshot file and then removes segments one by one.  `read` says what should be
read back; a start reads the same segments by the product's own rules (`reread`).
"""

import functools
import itertools
from dataclasses import dataclass, field, replace
from typing import ClassVar

from replication import disk as disks
from replication import segment_format
from replication.group import PersistentState, read_snapshot_file
from transport.codec import from_bytes

__all__ = ["Slot", "Storage", "Untrusted", "read", "reread"]

# Log writes after which a new segment is begun: few, so that holes lie in and between.
_SLOTS_PER_SEGMENT = 3


class Untrusted(Exception):
    """The folder can't be read back: a start from it is refused."""


@dataclass(frozen=True)
class Slot:
    """One log write: its place among all, its segment, and whether it is synced.  A lost
    one is a hole: nothing after it in its segment is read."""

    WRITTEN_ONCE: ClassVar[bool] = True

    number: int
    segment: int
    entries: tuple
    known: int
    overwrites: bool = False
    synced: bool = False
    lost: bool = False


@dataclass
class Storage:
    """`slots` in the order they were claimed; `tops` has each segment's last index, and
    segments before `first` are void."""

    files: dict = field(default_factory=dict)
    slots: tuple = ()
    count: int = 0
    segment: int = 0
    in_segment: int = _SLOTS_PER_SEGMENT
    last: int = 0
    tops: dict = field(default_factory=dict)
    first: int = 0
    orphans: tuple = ()
    read_back: tuple = (-1, (), ())

    def save(self, name, body):
        self.files[name] = body

    def claim(self, entries, known):
        """A log write begins; no segment ends while one that overwrites is under way."""
        full = self.in_segment >= _SLOTS_PER_SEGMENT
        busy = any(s.overwrites and s.segment == self.segment for s in self.under_way())
        if full and not (busy and self.segment in self.tops):
            self.segment, self.in_segment = self.segment + 1, 0
        self.count += 1
        self.in_segment += 1
        overwrites = entries[0].index <= self.last
        self.last = entries[-1].index
        self.tops[self.segment] = max(self.last, self.tops.get(self.segment, 0))
        self.slots += (Slot(self.count, self.segment, entries, known, overwrites),)

    def under_way(self):
        return [s for s in self.slots if not s.synced and not s.lost]

    def pending(self):
        """Writes under way; those whose segment was removed complete all the same."""
        return self.under_way() + list(self.orphans)

    def sync(self, number):
        """A log write completes; returns its last entry."""
        done = next(s for s in self.pending() if s.number == number)
        self.slots = tuple(replace(s, synced=True) if s.number == number else s for s in self.slots)
        self.orphans = tuple(s for s in self.orphans if s.number != number)
        return done.entries[-1]

    def install(self, index, body, restart, torn=""):
        """Replace the snapshot, then remove the segments that it covers, oldest first.  A
        loss of power meanwhile leaves some of them: `torn` says whether none, the first
        or the last is gone."""
        covered = []
        for segment in sorted(self.tops):
            if not restart and (segment == self.segment or self.tops[segment] > index):
                break
            covered.append(segment)
        self.save("view", body)
        self.first = min((n for n in self.tops if n not in covered), default=self.segment + 1)
        gone = {"": covered, "none": [], "first": covered[:1], "last": covered[-1:]}[torn]
        self.orphans += tuple(s for s in self.under_way() if s.segment in gone)
        self._remove(gone)
        if restart:
            self.in_segment, self.last = _SLOTS_PER_SEGMENT, index

    def _remove(self, segments):
        self.slots = tuple(s for s in self.slots if s.segment not in segments)
        self.tops = {n: top for n, top in self.tops.items() if n not in segments}

    def power_loss(self, kept):
        """Only synced writes and those in `kept` are left; then the folder is opened."""
        self.slots = _left(self.slots, kept)
        self.orphans = ()
        self.in_segment = _SLOTS_PER_SEGMENT

    def opened(self, last):
        """The folder was read back up to `last`: void segments are removed."""
        self._remove([n for n in self.tops if n < self.first])
        self.tops = dict.fromkeys(self.tops, last)
        self.segment = max([*self.tops, self.first - 1, 0])
        self.last = last

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
            kept = read(_left(self.slots, ()), self.view_index(), self.first)
            self.read_back = (self.view_index(), self.slots, kept)
        return kept


def _left(slots, kept):
    """The writes as a loss of power leaves them."""
    return tuple(
        s if s.synced or s.lost else replace(s, synced=s.number in kept, lost=s.number not in kept)
        for s in slots
    )


@functools.lru_cache(maxsize=4096)
def _promise(body):
    return from_bytes(PersistentState, body)


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


def reread(slots, after, first=0):
    """The same by the product's own reader, from the bytes of the segments."""
    made = []
    for number in sorted({s.segment for s in slots}):
        data = b"".join(_written(s) for s in slots if s.segment == number)
        made.append(_Segment(number, data))
    try:
        return disks.load_entries(_Folder(tuple(made)), after, first)
    except disks.DiskError as refused:
        raise Untrusted(str(refused.failure)) from refused


def _written(slot):
    data = b"".join(_packed(e, slot.known) for e in slot.entries)
    return bytes(len(data)) if slot.lost else data


def read(slots, after, first=0):
    """What should be read after `after`: segments in order, each up to its first hole,
    later writings of an index winning.  A segment that doesn't follow what is before it,
    and was written when no more was known synced, was never told of."""
    log = []
    for segment in sorted({s.segment for s in slots if s.segment >= first}):
        found = list(itertools.takewhile(lambda s: not s.lost, _in(slots, segment)))
        last = after + len(log)
        if found and found[0].entries[0].index > last + 1 and found[-1].known <= last:
            continue
        for entry in (e for slot in found for e in slot.entries):
            at = entry.index - after - 1
            if at > len(log):
                raise Untrusted("missing entries")
            del log[max(0, at) :]
            if at >= 0:
                log.append(entry)
    return log


def _in(slots, segment):
    return [s for s in slots if s.segment == segment]
