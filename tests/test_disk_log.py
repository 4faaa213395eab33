"""The log on disk: a crash at every byte of the last batch, torn tails and damage."""

import os
import shutil
import tempfile
from pathlib import Path

from replication import disk as disks
from replication import segment_format
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures
from transport.effects import Install, Save, Write
from transport.messages import Entry


def entry(index, term=1, size=300):
    return Entry(index, term, bytes([index % 251]) * size)


class OnDisk(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def open(self, segment_bytes=1 << 20):
        disk = disks.Disk(self.folder, segment_bytes)
        self.addCleanup(disk._lock.close)
        return disk

    def close(self, disk):
        disk._lock.close()

    def segment(self):
        return max(self.folder.glob("log.*"))

    def test_every_byte_of_the_last_batch(self):
        """Whatever part of the last write reached the disk, earlier entries are kept, and
        each of its entries is either complete or missing."""
        disk = self.open()
        for index in range(1, 4):
            disk.write(Write((entry(index),), known=index - 1))
        before = self.segment().read_bytes()
        disk.write(Write((entry(4), entry(5, size=5000)), known=3))
        whole = self.segment().read_bytes()
        self.close(disk)
        self.assertThat(len(before), Equals(3 * segment_format.BLOCK_BYTES))
        counts = set()
        for cut in range(len(before), len(whole) + 1):
            found = segment_format.scan(whole[:cut] + bytes(len(whole) - cut))
            self.assertFalse(found.damaged, f"cut at {cut}")
            kept = len(found.entries)
            self.assertThat(
                list(found.entries),
                Equals([entry(1), entry(2), entry(3), entry(4), entry(5, size=5000)][:kept]),
            )
            self.assertTrue(kept >= 3, f"cut at {cut}")
            counts.add(kept)
        self.assertThat(counts, Equals({3, 4, 5}))

    def test_a_torn_tail_is_cut_off_and_overwritten(self):
        disk = self.open()
        for index in range(1, 4):
            disk.write(Write((entry(index),), known=index - 1))
        self.close(disk)
        path = self.segment()
        with open(path, "r+b") as out:
            out.seek(2 * segment_format.BLOCK_BYTES + 100)
            out.write(b"torn")
        disk = self.open()
        self.assertThat(disk.loaded.entries, Equals([entry(1), entry(2)]))
        disk.write(Write((entry(3, term=2),), known=2))
        self.close(disk)
        self.assertThat(self.open().loaded.entries, Equals([entry(1), entry(2), entry(3, term=2)]))

    def test_a_hole_between_two_writes_in_flight(self):
        """If the first of two unacknowledged writes is missing, both are discarded."""
        disk = self.open()
        disk.write(Write((entry(1),), known=0))
        lost = disk.reserve(Write((entry(2),), known=1))
        disk.write_reserved(disk.reserve(Write((entry(3),), known=1)))
        self.assertThat(lost[1], Equals(segment_format.BLOCK_BYTES))
        self.close(disk)
        self.assertThat(self.open().loaded.entries, Equals([entry(1)]))

    def test_damage_in_the_middle_is_not_trusted(self):
        disk = self.open()
        for index in range(1, 5):
            disk.write(Write((entry(index),), known=index - 1))
        self.close(disk)
        with open(self.segment(), "r+b") as out:
            out.seek(segment_format.BLOCK_BYTES + 60)
            out.write(b"rot")
        failed = self.assertRaises(disks.DiskError, disks.Disk, self.folder, 1 << 20)
        self.assertIsInstance(failed.failure, failures.DiskUntrusted)

    def test_a_newer_term_wins_across_segments(self):
        disk = self.open(segment_bytes=1)
        for item in (entry(1), entry(2), entry(3), entry(2, term=2)):
            disk.write(Write((item,), known=0))
        self.close(disk)
        self.assertThat(self.open().loaded.entries, Equals([entry(1), entry(2, term=2)]))

    def test_a_snapshot_removes_the_segments_it_covers(self):
        disk = self.open(segment_bytes=1)
        for index in range(1, 6):
            disk.write(Write((entry(index),), known=index - 1))
        head = (4).to_bytes(8, "big") + (1).to_bytes(8, "big")
        disk.write(Install(4, head + b"book"))
        self.assertThat(len(list(self.folder.glob("log.*"))), Equals(1))
        self.close(disk)
        reopened = self.open()
        self.assertThat(reopened.loaded.entries, Equals([entry(5)]))
        reopened.write(Install(9, (9).to_bytes(8, "big") * 2, restart=True))
        self.close(reopened)
        self.assertThat(self.open().loaded.entries, Equals([]))

    def test_small_files_are_versioned_and_checked(self):
        disk = self.open()
        disk.write(Save("promise", b"one"))
        disk.write(Save("promise", b"two"))
        self.assertThat(
            [p.name for p in self.folder.glob("promise.*")], Equals(["promise.v00000002"])
        )
        (self.folder / "promise.aside").write_bytes(b"half")
        self.close(disk)
        disk = self.open()
        self.assertThat(disk.loaded.files["promise"], Equals(b"two"))
        self.close(disk)
        (self.folder / "promise.v00000002").write_bytes(b"\0\0\0\0two")
        failed = self.assertRaises(disks.DiskError, disks.Disk, self.folder, 1)
        self.assertThat(
            failed.failure, Equals(failures.DiskUntrusted("promise.v00000002", "checksum"))
        )

    def test_a_folder_in_use_or_not_writable_is_refused(self):
        self.open()
        failed = self.assertRaises(disks.DiskError, disks.Disk, self.folder, 1)
        self.assertIsInstance(failed.failure, failures.FolderInUse)
        path = self.folder / "file"
        path.write_bytes(b"")
        failed = self.assertRaises(disks.DiskError, disks.Disk, path / "x", 1)
        self.assertIsInstance(failed.failure, failures.FolderUnwritable)

    def test_two_writes_never_share_a_block(self):
        disk = self.open()
        claims = [disk.reserve(Write((entry(i, size=i * 1000),), known=0)) for i in range(1, 9)]
        for (_, at, data), (_, then, _) in zip(claims, claims[1:]):
            self.assertThat(at + len(data), Equals(then))
            self.assertThat(then % segment_format.BLOCK_BYTES, Equals(0))
        self.assertThat(os.path.getsize(self.segment()), Equals(0))
