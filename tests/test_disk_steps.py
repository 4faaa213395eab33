"""A depot is killed at each step of saving a file: written, synced, renamed, folder synced, old
version removed.  Afterwards the old or the new version is there and complete, and a save that
returned is never lost."""

import os
import shutil
import tempfile
from pathlib import Path

from replication import disk as disks
from testtools import TestCase
from testtools.matchers import Equals
from transport.effects import Save


class Killed(BaseException):
    """Ends the process at this point; a BaseException, so that no handler of errors goes on."""


class SaveSteps(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def promise(self):
        disk = disks.Disk(self.folder, 1 << 20)
        disk._lock.close()
        return disk.loaded.files["promise"]

    def save(self, body, killed_at):
        """Save, with a kill before the given system call; returns (calls made, completed)."""
        calls, steps = [], {}

        def counted(name, real):
            def call(*args, **more):
                calls.append(name)
                if len(calls) - 1 == killed_at:
                    raise Killed(name)
                return real(*args, **more)

            return call

        for owner, name in ((os, "fsync"), (os, "rename"), (Path, "unlink")):
            steps[owner, name] = getattr(owner, name)
            setattr(owner, name, counted(name, steps[owner, name]))
        disk = None
        try:
            disk = disks.Disk(self.folder, 1 << 20)
            disk.write(Save("promise", body))
            return calls, True
        except Killed:
            return calls, False
        finally:
            for (owner, name), real in steps.items():
                setattr(owner, name, real)
            if disk is not None:
                disk._lock.close()

    def test_every_step(self):
        self.save(b"first", None)
        all_calls, done = self.save(b"second", None)
        self.assertTrue(done)
        self.assertThat(all_calls, Equals(["fsync", "fsync", "rename", "fsync", "unlink"]))
        seen = set()
        for number, killed_at in enumerate(range(len(all_calls))):
            before, body = self.promise(), f"try {number}".encode()
            _, done = self.save(body, killed_at)
            self.assertFalse(done)
            found = self.promise()
            self.assertIn(found, (before, body))
            seen.add(found == body)
            if killed_at >= 3:
                self.assertThat(found, Equals(body), "renamed is kept")
        self.assertThat(seen, Equals({True, False}))

    def test_an_unsynced_version_is_detected(self):
        """A rename that reached the disk before the file's bytes did is detected."""
        self.save(b"first", None)
        (path,) = self.folder.glob("promise.v*")
        newer = self.folder / "promise.v00000099"
        newer.write_bytes(path.read_bytes()[:6])
        self.assertRaises(disks.DiskError, disks.Disk, self.folder, 1 << 20)
