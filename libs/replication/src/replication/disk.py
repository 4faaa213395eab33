"""The data folder of a depot: versions of small files, and log segments.

A small file is written aside, synced, renamed to its next version and the
folder synced; the old version goes only then.  Log segments are appended to
block by block instead, which the shared batch needs.  The folder belongs to
one process at a time.
"""

import fcntl
import os
import re
import struct
import threading
import time
import zlib
from pathlib import Path

from transport import failures

from replication import segment_format

__all__ = ["Disk", "DiskFailed", "Loaded"]

_SEGMENT = re.compile(r"log\.(\d{12})$")


class DiskFailed(Exception):
    def __init__(self, failure):
        super().__init__(failure.tag)
        self.failure = failure


class Loaded:
    """What a folder held when it was opened: files by name, view, entries."""

    def __init__(self, files, entries):
        self.files, self.entries = files, entries


def _sync_folder(folder):
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _sync_file(path):
    handle = os.open(path, os.O_RDWR)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _versions(folder, name):
    found = {}
    for path in folder.glob(name + ".v*"):
        tail = path.name[len(name) + 2 :]
        if tail.isdigit():
            found[int(tail)] = path
    return found


def save(folder, name, body):
    old = _versions(folder, name)
    number = max(old, default=0) + 1
    aside = folder / f"{name}.aside"
    with open(aside, "wb") as out:
        out.write(struct.pack(">I", zlib.crc32(body)) + body)
        out.flush()
        os.fsync(out.fileno())
    os.rename(aside, folder / f"{name}.v{number:08d}")
    _sync_folder(folder)
    for path in old.values():
        path.unlink()


def load(folder, name):
    found = _versions(folder, name)
    if not found:
        return None
    path = found[max(found)]
    data = path.read_bytes()
    if len(data) < 4 or struct.unpack(">I", data[:4])[0] != zlib.crc32(data[4:]):
        raise DiskFailed(failures.DiskUntrusted(path.name, "checksum"))
    return data[4:]


def load_entries(folder, after):
    """Every whole entry after `after`, later writings of an index winning.

    What a killed process wrote and didn't sync is there to be read, but gone with
    the next loss of power, so it is synced before anybody counts on it.  Two writes
    in flight may lie in two segments: if the first is lost, the second was never
    told of, and is cut off."""
    log = {}
    for path in sorted(p for p in folder.iterdir() if _SEGMENT.match(p.name)):
        _sync_file(path)
        found = segment_format.scan(path.read_bytes())
        if found.damaged:
            raise DiskFailed(failures.DiskUntrusted(path.name, "hole in the middle"))
        last = max(max(log, default=0), after)
        if found.entries and found.entries[0].index > last + 1 and found.known <= last:
            break
        for entry in found.entries:
            for index in [i for i in log if i >= entry.index]:
                del log[index]
            log[entry.index] = entry
    kept = [log[i] for i in sorted(log) if i > after]
    if kept and [e.index for e in kept] != list(range(after + 1, after + 1 + len(kept))):
        raise DiskFailed(failures.DiskUntrusted("log", "missing entries"))
    return kept


class Disk:
    """`write` is the one public method besides the loaded state: it carries
    out Save, Install and Write effects, each synced before it returns."""

    def __init__(self, folder, segment_bytes):
        self._folder = Path(folder)
        self._segment_bytes = segment_bytes
        self._guard = threading.Lock()
        self._handle, self._at, self._tops = None, 0, {}
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(self._folder / "lock", "w", encoding="ascii")
        except OSError as failed:
            raise DiskFailed(failures.FolderUnwritable(str(folder), failed.strerror)) from failed
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failed:
            raise DiskFailed(failures.FolderInUse(str(folder))) from failed
        _sync_folder(self._folder)
        files = {n: load(self._folder, n) for n in ("promise", "view", "identity")}
        after = struct.unpack(">Q", files["view"][:8])[0] if files["view"] else 0
        self.loaded = Loaded(files, load_entries(self._folder, after))
        self._number = max(
            (
                int(_SEGMENT.match(p.name)[1])
                for p in self._folder.iterdir()
                if _SEGMENT.match(p.name)
            ),
            default=0,
        )
        top = self.loaded.entries[-1].index if self.loaded.entries else after
        for path in self._folder.iterdir():
            if _SEGMENT.match(path.name):
                self._tops[path] = top

    def write(self, effect):
        """Do one effect and return how long its sync took."""
        start_ms = time.monotonic() * 1000
        kind = type(effect).__name__
        if kind == "Save":
            save(self._folder, effect.name, effect.body)
        elif kind == "Install":
            self._install(effect)
        else:
            self._append(self.reserve(effect))
        return time.monotonic() * 1000 - start_ms

    def reserve(self, effect):
        """Claim the blocks for a Write, in the order effects were given."""
        data = b"".join(segment_format.pack(e, effect.known) for e in effect.entries)
        with self._guard:
            if self._handle is None or self._at > self._segment_bytes:
                self._roll()
            claim = (self._handle, self._at, data)
            self._at += len(data)
            self._tops[self._path] = max(self._tops[self._path], effect.entries[-1].index)
        return claim

    def put(self, claim):
        start_ms = time.monotonic() * 1000
        self._append(claim)
        return time.monotonic() * 1000 - start_ms

    def _append(self, claim):
        handle, at, data = claim
        os.pwrite(handle, data, at)
        os.fdatasync(handle)

    def _roll(self):
        self._number += 1
        self._path = self._folder / f"log.{self._number:012d}"
        self._handle = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o644)
        _sync_folder(self._folder)
        self._at = 0
        self._tops[self._path] = 0

    def _install(self, effect):
        save(self._folder, "view", effect.body)
        with self._guard:
            current = getattr(self, "_path", None)
            for path, top in list(self._tops.items()):
                if (effect.restart or top <= effect.index) and path != current:
                    path.unlink(missing_ok=True)
                    del self._tops[path]
            if effect.restart and current is not None:
                self._handle = None
                current.unlink(missing_ok=True)
                self._tops.pop(current, None)
                del self._path
        _sync_folder(self._folder)
