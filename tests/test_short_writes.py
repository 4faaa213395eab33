"""A write that the system takes only in part is never reported as durable.

Guards against an acknowledged entry that is missing after a restart, on a disk that filled up
within a write.
"""

import os
import shutil
import tempfile
from pathlib import Path

from replication.disk import Disk
from testtools import TestCase
from testtools.matchers import Equals
from transport.effects import Write
from transport.messages import Entry

PART_BYTES = 100


class ShortWrites(TestCase):
    def setUp(self):
        super().setUp()
        self.folder, self.whole_write = Path(tempfile.mkdtemp()), os.pwrite
        self.addCleanup(shutil.rmtree, self.folder)
        self.disk = Disk(self.folder, 1 << 20)
        self.entries = tuple(Entry(index, 1, bytes([index]) * 3000) for index in range(1, 6))

    def reopened(self):
        """The entries that are found when the folder is opened again."""
        self.disk.close()
        disk = Disk(self.folder, 1 << 20)
        self.addCleanup(disk.close)
        return tuple(disk.loaded.entries)

    def test_the_rest_is_written(self):
        self.patch(os, "pwrite", lambda fd, data, at: self.whole_write(fd, data[:PART_BYTES], at))
        self.disk.write(Write(self.entries, known=0))
        self.assertThat(self.reopened(), Equals(self.entries))

    def test_a_disk_that_takes_no_more_fails_the_write(self):
        left = [5 * PART_BYTES]

        def pwrite(handle, data, at):
            part = data[: min(PART_BYTES, left[0])]
            left[0] -= len(part)
            return self.whole_write(handle, part, at)

        self.patch(os, "pwrite", pwrite)
        self.assertRaises(OSError, self.disk.write, Write(self.entries, known=0))
        self.patch(os, "pwrite", self.whole_write)
        self.assertThat(self.reopened(), Equals(()))
