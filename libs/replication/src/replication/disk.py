"""The data folder of a depot: versions of small files, and log segments.

Small files are versions (`versioned_files`).  Log segments are appended to block by
block instead, which the shared batch needs.  The folder belongs to one process at a
time.
"""

import fcntl
import os
import re
import struct
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from transport import failures

from replication import segment_format
from replication.versioned_files import (
    TEMPORARY_SUFFIX,
    DiskError,
    load,
    save,
    sync_file,
    sync_folder,
)

__all__ = ["Disk", "DiskError", "Loaded"]

_SEGMENT = re.compile(r"log\.(\d{12})$")
# A snapshot's file begins with this and the number of the first segment that counts:
# older ones are void from the moment the file is in place, whenever they are removed,
# and also if a loss of power brings them back.
_SNAPSHOT = struct.Struct(">4sQ")
_SNAPSHOT_MAGIC = b"PHS2"


class Loaded:
    """What a folder held when it was opened: files by name, snapshot, entries."""

    def __init__(self, files, entries):
        self.files, self.entries = files, entries


def _segments(folder):
    """The log's segments in the order they were written: (number, path)."""
    found = [(_SEGMENT.match(path.name), path) for path in folder.iterdir()]
    return sorted((int(match[1]), path) for match, path in found if match)


def load_entries(folder, after, first_segment=0):
    """Every whole entry after `after`, later writings of an index winning.

    What a killed process wrote and didn't sync is there to be read, but gone with
    the next loss of power, so it is synced before anybody counts on it.  Two writes
    in flight may lie in two segments: if the first is lost, the second was never
    told of, and is passed over; what was written after the next start follows it."""
    log: list = []
    for number, path in _segments(folder):
        if number < first_segment:
            continue
        sync_file(path)
        last = after + len(log)
        found = segment_format.scan(path.read_bytes(), last)
        if found.damaged:
            raise DiskError(failures.DiskUntrusted(path.name, "hole in the middle"))
        if found.entries and found.entries[0].index > last + 1 and found.known <= last:
            continue
        for entry in found.entries:
            _lay(log, after, entry)
    return log


def _lay(log, after, entry):
    """Put an entry in its place, in place of all that was there and later."""
    at = entry.index - after - 1
    if at > len(log):
        raise DiskError(failures.DiskUntrusted("log", "missing entries"))
    del log[max(0, at) :]
    if at >= 0:
        log.append(entry)


def _open_snapshot(data):
    """(body, first segment that counts) of a snapshot's file, or (None, 0)."""
    if not data or not data.startswith(_SNAPSHOT_MAGIC):
        return data, 0
    return data[_SNAPSHOT.size :], _SNAPSHOT.unpack_from(data)[1]


@dataclass(eq=False)
class _Segment:
    """A file of the log: `top` is the last index written to it, `pending` counts the
    writes that were claimed and aren't done, and `overwriting` has the places of those
    among them that make earlier entries void."""

    number: int
    path: Path
    top: int
    handle: int | None = None
    pending: int = 0
    overwriting: set = field(default_factory=set)


class _Claim(NamedTuple):
    """Where a write goes."""

    handle: int
    at: int
    data: bytes


class Disk:
    """`write` is the one public method besides the loaded state: it carries
    out Save, Install and Write effects, each synced before it returns."""

    def __init__(self, folder, segment_bytes):
        self._folder = Path(folder)
        self._segment_bytes = segment_bytes
        self._guard = threading.Lock()
        self._current, self._at, self._open = None, 0, {}
        self._take_folder()
        sync_folder(self._folder)
        for left_over in self._folder.glob("*" + TEMPORARY_SUFFIX):
            left_over.unlink()
        files = {n: load(self._folder, n) for n in ("promise", "view", "identity")}
        files["view"], first = _open_snapshot(files["view"])
        after = struct.unpack(">Q", files["view"][:8])[0] if files["view"] else 0
        self.loaded = Loaded(files, load_entries(self._folder, after, first))
        found = _segments(self._folder)
        self._number = max([number for number, _ in found] + [first - 1, 0])
        self._last = after + len(self.loaded.entries)
        self._segments = [_Segment(number, path, self._last) for number, path in found]
        self._remove([s for s in self._segments if s.number < first])

    def _take_folder(self):
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(self._folder / "lock", "w", encoding="ascii")
        except OSError as failed:
            raise DiskError(
                failures.FolderUnwritable(str(self._folder), str(failed.strerror))
            ) from failed
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failed:
            raise DiskError(failures.FolderInUse(str(self._folder))) from failed

    def write(self, effect):
        """Do one effect and return how long its sync took."""
        start_ms = time.monotonic() * 1000
        kind = type(effect).__name__
        if kind == "Save":
            save(self._folder, effect.name, effect.body)
        elif kind == "Install":
            self._install(effect)
        else:
            self.put(self.reserve(effect))
        return time.monotonic() * 1000 - start_ms

    def reserve(self, effect):
        """Claim the blocks for a Write, in the order effects were given."""
        data = b"".join(segment_format.pack(e, effect.known) for e in effect.entries)
        with self._guard:
            segment = self._current
            if segment is None or (self._at > self._segment_bytes and not segment.overwriting):
                segment = self._roll()
            claim = _Claim(segment.handle, self._at, data)
            segment.pending += 1
            if effect.entries[0].index <= self._last:
                segment.overwriting.add(self._at)
            self._at += len(data)
            self._last = effect.entries[-1].index
            segment.top = max(segment.top, self._last)
        return claim

    def put(self, claim):
        """Write what was claimed, and return how long its sync took."""
        start_ms = time.monotonic() * 1000
        try:
            os.pwrite(claim.handle, claim.data, claim.at)
            os.fdatasync(claim.handle)
        finally:
            with self._guard:
                segment = self._open[claim.handle]
                segment.pending -= 1
                segment.overwriting.discard(claim.at)
                self._close_if_done(segment)
        return time.monotonic() * 1000 - start_ms

    def _close_if_done(self, segment):
        """A removed file takes its space as long as it is open."""
        if segment is not self._current and not segment.pending and segment.handle is not None:
            del self._open[segment.handle]
            os.close(segment.handle)
            segment.handle = None

    def _roll(self):
        """Begin a new segment and return it.  Never while a write that makes earlier entries
        void is under way: if that were lost and the next, in a new file, kept, the void
        entries would be read as if the kept ones followed them."""
        before = self._current
        number = self._number + 1
        path = self._folder / f"log.{number:012d}"
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o644)
        self._number, self._at = number, 0
        self._current = self._open[handle] = _Segment(number, path, 0, handle)
        self._segments.append(self._current)
        sync_folder(self._folder)
        if before is not None:
            self._close_if_done(before)
        return self._current

    def close(self):
        """Give the folder back, for another to open."""
        self._lock.close()

    def _install(self, effect):
        """Save a snapshot; the segments that it covers go from the oldest on, so that a
        later writing of an entry never goes before an earlier one."""
        covered = []
        with self._guard:
            for segment in self._segments:
                if not effect.restart and (segment is self._current or segment.top > effect.index):
                    break
                covered.append(segment)
            rest = [s.number for s in self._segments if s not in covered]
            first = rest[0] if rest else self._number + 1
        head = _SNAPSHOT.pack(_SNAPSHOT_MAGIC, first)
        save(self._folder, "view", head + effect.body)
        with self._guard:
            if effect.restart:
                self._current, self._last = None, effect.index
            self._remove(covered)
        sync_folder(self._folder)

    def _remove(self, segments):
        for segment in segments:
            segment.path.unlink(missing_ok=True)
            self._segments.remove(segment)
            self._close_if_done(segment)
