"""A loss of power at any step of writing the data folder.

Each file that was created, renamed or removed without a sync of its folder, and each write that
wasn't synced, may be kept or lost independently.  The state read afterwards must be the one
before or after the interrupted step: never an older one, and never a mixture."""

import itertools
import os
import shutil
import tempfile
from pathlib import Path

from replication import disk as disks
from replication import segment_format
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport.effects import Install, Save, Write
from transport.messages import Entry

BLOCK = segment_format.BLOCK_BYTES


REOPEN = "the process ends, and is started again"


class Killed(BaseException):
    """Ends the process at this point; a BaseException, so that no handler of errors goes on."""


def entry(index, term):
    return Entry(index, term, b"%d of %d" % (index, term))


def write(index, term, known=0):
    return Write((entry(index, term),), known=known)


def install(index, term, restart=False):
    head = index.to_bytes(8, "big") + term.to_bytes(8, "big")
    return Install(index, head + b"state", restart=restart)


class Model:
    """The expected content of the folder after complete effects: (promise, snapshot, entries)."""

    def __init__(self):
        self.promise, self.snapshot, self.entries = None, None, ()

    def do(self, effect):
        if effect is REOPEN:
            return self
        if isinstance(effect, Save):
            self.promise = effect.body
        elif isinstance(effect, Install):
            self.snapshot = effect.body
            kept = () if effect.restart else self.entries
            self.entries = tuple(e for e in kept if e.index > effect.index)
        else:
            first = effect.entries[0].index
            kept = tuple(e for e in self.entries if e.index < first)
            self.entries = kept + effect.entries
        return self

    def state(self):
        return (self.promise, self.snapshot, self.entries)


class Folder:
    """A folder that records unsynced names and writes; the process is killed after `killed_at`
    system calls."""

    def __init__(self, test, killed_at):
        self.path = Path(tempfile.mkdtemp())
        test.addCleanup(shutil.rmtree, self.path, True)
        self.calls, self.killed_at = 0, killed_at
        self.names, self.writes = [], {}
        self.real = {n: getattr(os, n) for n in ("fsync", "fdatasync", "rename", "pwrite", "open")}
        self.real_unlink = Path.unlink

    def __enter__(self):
        for name in self.real:
            setattr(os, name, getattr(self, "_" + name))
        folder = self

        def unlink(path, missing_ok=False):
            folder._step()
            if path.exists():
                folder.names.append(("unlink", path.name, path.read_bytes()))
            folder.real_unlink(path, missing_ok=missing_ok)

        Path.unlink = unlink
        return self

    def __exit__(self, kind, *_):
        for name, real in self.real.items():
            setattr(os, name, real)
        Path.unlink = self.real_unlink
        return kind is Killed

    def _step(self):
        self.calls += 1
        if self.killed_at is not None and self.calls > self.killed_at:
            raise Killed()

    def _open(self, path, flags, *mode, **more):
        if flags & os.O_CREAT:
            self._step()
            self.names.append(("make", Path(path).name, b""))
        return self.real["open"](path, flags, *mode, **more)

    def _rename(self, old, new):
        self._step()
        self.names.append(("rename", (Path(old).name, Path(new).name), Path(old).read_bytes()))
        self.real["rename"](old, new)

    def _pwrite(self, handle, data, at):
        self._step()
        self.writes.setdefault(os.fstat(handle).st_ino, []).append((at, len(data)))
        return self.real["pwrite"](handle, data, at)

    def _fdatasync(self, handle):
        self._step()
        self.real["fdatasync"](handle)
        self.writes.pop(os.fstat(handle).st_ino, None)

    def _fsync(self, handle):
        self._step()
        self.real["fsync"](handle)
        if os.path.isdir(f"/proc/self/fd/{handle}"):
            self.names = []
        self.writes.pop(os.fstat(handle).st_ino, None)

    def after_losses(self):
        """Yield a copy of the folder for each possible result of a loss of power now."""
        writes = [(n, w) for n, found in self.writes.items() for w in found]
        for lost in itertools.product((False, True), repeat=len(self.names) + len(writes)):
            copy = Path(tempfile.mkdtemp())
            try:
                self._copy(copy, lost[: len(self.names)], writes, lost[len(self.names) :])
                yield copy
            finally:
                shutil.rmtree(copy)

    def _copy(self, copy, lost_names, writes, lost_writes):
        by_inode = {p.stat().st_ino: p.name for p in self.path.iterdir()}
        for path in self.path.iterdir():
            shutil.copy(path, copy / path.name)
        for (inode, (at, size)), lost in zip(writes, lost_writes):
            if lost and inode in by_inode:
                with open(copy / by_inode[inode], "r+b") as out:
                    out.seek(at)
                    out.write(bytes(size))
        for (kind, name, body), lost in reversed(list(zip(self.names, lost_names))):
            if not lost:
                continue
            if kind == "make":
                (copy / name).unlink(missing_ok=True)
            elif kind == "unlink":
                (copy / name).write_bytes(body)
            else:
                (copy / name[1]).unlink(missing_ok=True)
                (copy / name[0]).write_bytes(body)


class Losses(TestCase):
    def open(self, folder, segment_bytes=2 * BLOCK - 1):
        return disks.Disk(folder, segment_bytes)

    def read(self, folder):
        disk = self.open(folder)
        disk._lock.close()
        files = disk.loaded.files
        return (files["promise"], files["view"], tuple(disk.loaded.entries))

    def run_until(self, effects, killed_at):
        """Carry out effects until the kill; returns (folder, number of completed effects)."""
        done, disk = 0, None
        folder = Folder(self, killed_at)
        with folder:
            disk = self.open(folder.path)
            for effect in effects:
                if effect is REOPEN:
                    disk._lock.close()
                    disk = self.open(folder.path)
                else:
                    disk.write(effect)
                done += 1
        if disk is not None:
            disk._lock.close()
        return folder, done

    def check(self, effects):
        """Lose power before each system call, with every possible result."""
        states = [Model().state()]
        model = Model()
        for effect in effects:
            states.append(model.do(effect).state())
        complete, _ = self.run_until(effects, None)
        seen = 0
        for killed_at in range(complete.calls + 1):
            folder, done = self.run_until(effects, killed_at)
            for copy in folder.after_losses():
                seen += 1
                found = self.read(copy)
                self.assertIn(found, states[done : done + 2], f"call {killed_at}")
                self.assertThat(self.read(copy), Equals(found), "read again")
        self.assertThat(seen, GreaterThan(complete.calls))

    def test_versions_of_a_small_file(self):
        self.check([Save("promise", b"%d" % n) for n in range(4)])

    def test_entries_and_snapshots(self):
        effects = [write(i, 1, i - 1) for i in range(1, 8)]
        effects += [install(4, 1), write(8, 1, 7), install(7, 1), write(9, 2, 8)]
        self.check(effects)

    def test_a_snapshot_that_replaces_a_conflicting_log(self):
        effects = [write(i, 1, 2) for i in range(1, 8)]
        effects += [install(5, 2, restart=True), write(6, 3, 5), write(7, 3, 6)]
        self.check(effects)

    def test_a_snapshot_over_replaced_entries(self):
        """Segments with replaced entries are removed before those that replaced them."""
        effects = [write(i, 1, 2) for i in range(1, 9)]
        effects += [write(i, 2, i - 1) for i in range(4, 7)]
        effects += [REOPEN, install(6, 2), write(7, 3, 6), REOPEN, install(7, 3)]
        self.check(effects)

    def test_entries_written_after_a_hole_are_read(self):
        """If the first of two writes in flight, in two segments, is lost, both are void; entries
        written after the next start are read at the start after it."""
        folder = Folder(self, None).path
        disk = self.open(folder, segment_bytes=0)
        disk.write(Write((entry(1, 1), entry(2, 1)), known=0))
        disk.reserve(write(3, 1, 2))
        disk.write_reserved(disk.reserve(write(4, 1, 2)))
        disk._lock.close()
        self.assertThat([e.index for e in self.read(folder)[2]], Equals([1, 2]))
        disk = self.open(folder)
        for index in (3, 4, 5):
            disk.write(write(index, 2, index - 1))
        disk._lock.close()
        self.assertThat(
            [(e.index, e.term) for e in self.read(folder)[2]],
            Equals([(1, 1), (2, 1), (3, 2), (4, 2), (5, 2)]),
        )

    def test_a_hole_at_the_start_of_a_segment(self):
        """The first write of a segment is lost, the next one kept: neither was acknowledged."""
        folder = Folder(self, None).path
        disk = self.open(folder)
        for index in (1, 2, 3, 4):
            disk.write(write(index, 1, index - 1))
        disk.reserve(write(5, 1, 4))
        disk.write_reserved(disk.reserve(write(6, 1, 4)))
        disk._lock.close()
        self.assertThat([e.index for e in self.read(folder)[2]], Equals([1, 2, 3, 4]))

    def test_replaced_entries_never_precede_new_ones(self):
        """A write that replaces entries is lost, and the next one, in its own segment, is kept: it
        mustn't be read as the successor of the entries that the lost write replaced."""
        folder = Folder(self, None).path
        disk = self.open(folder, segment_bytes=0)
        for index in range(1, 6):
            disk.write(write(index, 1, 2))
        disk.reserve(write(4, 2, 3))
        disk.write_reserved(disk.reserve(write(5, 2, 3)))
        disk._lock.close()
        terms = [(e.index, e.term) for e in self.read(folder)[2]]
        self.assertThat(terms, Equals([(i, 1) for i in range(1, 6)]))

    def test_removed_segments_take_no_space(self):
        """The handles of removed segments are closed, even if a write was in flight."""
        folder = Folder(self, None).path
        disk = self.open(folder, segment_bytes=0)
        for index in range(1, 40):
            reservation = disk.reserve(write(index, 1, index - 1))
            if index % 3 == 0:
                disk.write(install(index, 1, restart=True))
            disk.write_reserved(reservation)
            if index % 2 == 0:
                disk.write(install(index - 1, 1))
        links = [path for path in Path("/proc/self/fd").iterdir() if path.is_symlink()]
        held = [os.readlink(path) for path in links]
        held = [path for path in held if path.startswith(str(folder)) and "log." in path]
        self.assertThat(len(held) <= 1, Equals(True), held)
