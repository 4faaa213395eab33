"""The data folder of a depot: small state files and the segments of the log.

Small files are replaced as a whole (`versioned_files`); log segments are appended to in
whole blocks.  A lock file makes sure that only one process uses the folder.
"""

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
from replication.folder_lock import FolderLock
from replication.versioned_files import (
    TEMPORARY_SUFFIX,
    DiskError,
    load,
    save,
    sync_file,
    sync_folder,
)
from replication.whole_writes import write_whole

__all__ = ["Disk", "DiskError", "Loaded"]

_SEGMENT = re.compile(r"log\.(\d{12})$")
# The header of a snapshot file: a magic number and the number of the first valid segment.
# Older segments are invalid from the moment the file is in place, even if they are removed
# later, or if a loss of power restores them.
_SNAPSHOT = struct.Struct(">4sQ")
_SNAPSHOT_MAGIC = b"PHS2"


class Loaded:
    """The content of the folder when it was opened: files by name, and log entries."""

    def __init__(self, files, entries):
        self.files, self.entries = files, entries


def _segments(folder):
    """Return (number, path) of each segment of the log, in the order they were written."""
    segments = [(_SEGMENT.match(path.name), path) for path in folder.iterdir()]
    return sorted((int(match[1]), path) for match, path in segments if match)


def load_entries(folder, after, first_segment=0):
    """Return the complete entries after index `after`; the last write of an index is used.

    Data that a killed process wrote but didn't sync can be read now, but would be gone after
    a loss of power, so each segment is synced before its entries are used.  Two writes in
    flight may lie in two segments: if the first is lost, the second was never acknowledged
    and is skipped; entries written after the next start follow in a later segment."""
    log: list = []
    for number, path in _segments(folder):
        if number < first_segment:
            continue
        sync_file(path)
        last = after + len(log)
        scanned = segment_format.scan(path.read_bytes(), last)
        if scanned.damaged:
            raise DiskError(failures.DiskUntrusted(path.name, "hole in the middle"))
        if scanned.entries and scanned.entries[0].index > last + 1 and scanned.known <= last:
            continue
        for entry in scanned.entries:
            _place_entry(log, after, entry)
    return log


def _place_entry(log, after, entry):
    """Put an entry at its index; it replaces the entry there and all later ones."""
    position = entry.index - after - 1
    if position > len(log):
        raise DiskError(failures.DiskUntrusted("log", "missing entries"))
    del log[max(0, position) :]
    if position >= 0:
        log.append(entry)


def _open_snapshot(data):
    """Return (body, number of the first valid segment) of a snapshot file, or (None, 0)."""
    if not data or not data.startswith(_SNAPSHOT_MAGIC):
        return data, 0
    return data[_SNAPSHOT.size :], _SNAPSHOT.unpack_from(data)[1]


@dataclass(eq=False)
class _Segment:
    """A segment file.  `last_index` is the highest index written to it, `pending` counts its
    reserved writes that aren't done, and `overwriting` holds the offsets of those among them
    that replace earlier entries."""

    number: int
    path: Path
    last_index: int
    handle: int | None = None
    pending: int = 0
    overwriting: set = field(default_factory=set)


class _Reservation(NamedTuple):
    """The file handle and offset reserved for a write, and its data."""

    handle: int
    offset: int
    data: bytes


def _write(reservation):
    write_whole(reservation.handle, reservation.data, reservation.offset)


class Disk:
    """An open data folder; `loaded` is its content at the start, and `previous_end` why the
    process before this one ended, as FolderLock has it.

    `write` carries out a Save, Install or Write effect and returns once it is synced.
    `reserve` and `write_reserved` split a Write, so that several can be in flight.
    `with_space(write)` calls what needs space on the disk: a SpaceWait, or by default just once.
    """

    def __init__(self, folder, segment_bytes, with_space=lambda write: write()):
        self._folder = Path(folder)
        self._segment_bytes, self._with_space = segment_bytes, with_space
        self._mutex = threading.Lock()
        self._current, self._offset, self._open = None, 0, {}
        self._lock = FolderLock(self._folder)
        self.previous_end = self._lock.previous_end
        try:
            self._load()
        except BaseException:
            self._lock.close()
            raise

    def _load(self):
        """Read what the folder holds, and remove what earlier processes left behind."""
        sync_folder(self._folder)
        for leftover in self._folder.glob("*" + TEMPORARY_SUFFIX):
            leftover.unlink()
        files = {n: load(self._folder, n) for n in ("promise", "view", "identity")}
        files["view"], first = _open_snapshot(files["view"])
        after = struct.unpack(">Q", files["view"][:8])[0] if files["view"] else 0
        self.loaded = Loaded(files, load_entries(self._folder, after, first))
        segments = _segments(self._folder)
        self._number = max([number for number, _ in segments] + [first - 1, 0])
        self._last = after + len(self.loaded.entries)
        self._segments = [_Segment(number, path, self._last) for number, path in segments]
        self._remove([s for s in self._segments if s.number < first])

    def record_end(self, cause):
        """Leave the cause of this process's end to the next one that uses the folder."""
        self._lock.record_end(cause)

    def write(self, effect):
        """Carry out an effect and return how long it took, in ms."""
        start_ms = time.monotonic() * 1000
        kind = type(effect).__name__
        if kind == "Save":
            self._with_space(lambda: save(self._folder, effect.name, effect.body))
        elif kind == "Install":
            self._install(effect)
        else:
            self.write_reserved(self.reserve(effect))
        return time.monotonic() * 1000 - start_ms

    def reserve(self, effect):
        """Reserve blocks for a Write; calls must be in the order of the effects."""
        data = b"".join(segment_format.pack(e, effect.known) for e in effect.entries)
        with self._mutex:
            segment = self._current
            if segment is None or (self._offset > self._segment_bytes and not segment.overwriting):
                segment = self._start_segment()
            reservation = _Reservation(segment.handle, self._offset, data)
            segment.pending += 1
            if effect.entries[0].index <= self._last:
                segment.overwriting.add(self._offset)
            self._offset += len(data)
            self._last = effect.entries[-1].index
            segment.last_index = max(segment.last_index, self._last)
        return reservation

    def write_reserved(self, reservation):
        """Write and sync reserved data; return how long it took, in ms."""
        start_ms = time.monotonic() * 1000
        try:
            self._with_space(lambda: _write(reservation))
            os.fdatasync(reservation.handle)
        finally:
            with self._mutex:
                segment = self._open[reservation.handle]
                segment.pending -= 1
                segment.overwriting.discard(reservation.offset)
                self._close_if_unused(segment)
        return time.monotonic() * 1000 - start_ms

    def _close_if_unused(self, segment):
        """Close a segment that gets no more writes: an open file keeps its disk space."""
        if segment is not self._current and not segment.pending and segment.handle is not None:
            del self._open[segment.handle]
            os.close(segment.handle)
            segment.handle = None

    def _start_segment(self):
        """Start a new segment and return it.  Not called while a write that replaces earlier
        entries is in flight: if that were lost and a later one, in a new file, kept, the
        replaced entries would be read as the predecessors of the kept ones."""
        previous = self._current
        number = self._number + 1
        path = self._folder / f"log.{number:012d}"
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL
        handle = self._with_space(lambda: os.open(path, flags, 0o644))
        self._number, self._offset = number, 0
        self._current = self._open[handle] = _Segment(number, path, 0, handle)
        self._segments.append(self._current)
        self._with_space(lambda: sync_folder(self._folder))
        if previous is not None:
            self._close_if_unused(previous)
        return self._current

    def close(self):
        """Release the lock on the folder."""
        self._lock.close()

    def _install(self, effect):
        """Save a snapshot and remove the segments that it covers, oldest first, so that a
        replaced entry never outlasts the entry that replaced it."""
        covered = []
        with self._mutex:
            for segment in self._segments:
                if not effect.restart and (
                    segment is self._current or segment.last_index > effect.index
                ):
                    break
                covered.append(segment)
            remaining = [s.number for s in self._segments if s not in covered]
            first = remaining[0] if remaining else self._number + 1
        header = _SNAPSHOT.pack(_SNAPSHOT_MAGIC, first)
        self._with_space(lambda: save(self._folder, "view", header + effect.body))
        with self._mutex:
            if effect.restart:
                self._current, self._last = None, effect.index
            self._remove(covered)
        sync_folder(self._folder)

    def _remove(self, segments):
        for segment in segments:
            segment.path.unlink(missing_ok=True)
            self._segments.remove(segment)
            self._close_if_unused(segment)
