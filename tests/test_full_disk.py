"""Writes to a disk that is full for a while.

Guards against a depot whose process ends because the disk is full, and again at each restart until
it no longer is.
"""

import errno
import os
import shutil
import tempfile
from pathlib import Path

from replication import disk as disks
from replication import versioned_files
from replication.full_disk import SpaceWait
from testtools import TestCase
from testtools.matchers import Equals
from transport.effects import Install, Save, Write
from transport.messages import Entry

ENTRIES = tuple(Entry(index, 1, bytes([index]) * 3000) for index in range(1, 6))
PART_BYTES = 100


class FullDisk:
    """A disk that takes nothing until `sleep` has been called `times` times; `calls` counts what
    it refused.  Every other refused write has taken a part of its bytes."""

    def __init__(self, test, times, error=errno.ENOSPC):
        self._left, self._error, self.refused, self.waited = times, error, 0, []
        self._pwrite, self._open, self._fsync = os.pwrite, os.open, os.fsync
        test.patch(os, "pwrite", self._on_pwrite)
        test.patch(os, "open", self._on_open)
        test.patch(versioned_files.os, "fsync", self._on_fsync)
        self.with_space = SpaceWait(self.waited.append, lambda: False, self)

    def monotonic(self):
        return float(self.refused)

    def sleep(self, _pause_s):
        self._left -= 1

    def _check(self):
        if self._left > 0:
            self.refused += 1
            raise OSError(self._error, os.strerror(self._error))

    def _on_pwrite(self, handle, data, offset):
        if self._left > 0 and self.refused % 2:
            self._pwrite(handle, data[:PART_BYTES], offset)
        self._check()
        return self._pwrite(handle, data, offset)

    def _on_open(self, path, flags, *more):
        if flags & os.O_CREAT:
            self._check()
        return self._open(path, flags, *more)

    def _on_fsync(self, handle):
        self._check()
        return self._fsync(handle)


class Waits(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        disks.Disk(self.folder, 1 << 20).close()

    def opened(self, with_space=lambda write: write()):
        disk = disks.Disk(self.folder, 1 << 20, with_space)
        self.addCleanup(disk.close)
        return disk

    def written(self, effects, times):
        """What a disk holds after these effects, if it is full before each of them."""
        disk = self.opened(lambda write: self.full.with_space(write))
        for effect in effects:
            self.full = FullDisk(self, times)
            disk.write(effect)
            self.assertThat(self.full.refused, Equals(times))
            self.assertThat(self.full.waited[0], Equals(0.0))
            self.assertThat(len(self.full.waited), Equals(2))
        disk.close()
        return self.opened().loaded

    def test_each_kind_of_write_is_whole_once_there_is_space(self):
        snapshot = b"\0" * 7 + b"\2" + b"body"
        for times in (1, 2, 7):
            with self.subTest(times):
                loaded = self.written(
                    [
                        Write(ENTRIES[:3], known=0),
                        Save("promise", b"a vote"),
                        Write(ENTRIES[3:], known=3),
                        Install(2, snapshot),
                    ],
                    times,
                )
                self.assertThat(loaded.files["promise"], Equals(b"a vote"))
                self.assertThat(loaded.files["view"], Equals(snapshot))
                self.assertThat(tuple(loaded.entries), Equals(ENTRIES[2:]))
            for path in self.folder.iterdir():
                path.unlink()

    def test_other_errors_fail(self):
        disk = self.opened(lambda write: full.with_space(write))
        full = FullDisk(self, 1, errno.EIO)
        self.assertRaises(OSError, disk.write, Write(ENTRIES, known=0))
        self.assertThat(full.waited, Equals([]))

    def test_a_write_that_is_to_fail_does_not_wait(self):
        disk = self.opened(SpaceWait(lambda waited_s: full.waited.append(waited_s), lambda: True))
        full = FullDisk(self, 1)
        self.assertRaises(OSError, disk.write, Save("promise", b"a vote"))
        self.assertThat(full.waited, Equals([]))

    def test_a_folder_that_fails_to_open_is_unlocked(self):
        self.patch(disks, "load", lambda folder, name: 1 / 0)
        self.assertRaises(ZeroDivisionError, disks.Disk, self.folder, 1 << 20)
        self.patch(disks, "load", versioned_files.load)
        self.opened()
