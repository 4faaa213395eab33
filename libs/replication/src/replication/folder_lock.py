"""The lock file of a data folder: one process at a time uses the folder.

The file also tells why the process before ended, for the log of the next start.
"""

import fcntl

from transport import failures

from replication.versioned_files import DiskError

__all__ = ["FolderLock"]

_RUNNING = "running"
_MAX_CAUSE_BYTES = 64


class FolderLock:
    """The lock on a folder, which is created if it is missing; raises DiskError.

    `previous_end` is why the process before ended: "running" if it was killed or the machine lost
    power, "" if there was none."""

    def __init__(self, folder):
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._file = open(folder / "lock", "a+b", buffering=0)
        except OSError as error:
            raise DiskError(failures.FolderUnwritable(str(folder), str(error.strerror))) from error
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._file.close()
            raise DiskError(failures.FolderInUse(str(folder))) from error
        self.previous_end = self._read()
        self.record_end(_RUNNING)

    def _read(self):
        try:
            self._file.seek(0)
            return self._file.read(_MAX_CAUSE_BYTES).decode("ascii", "replace")
        except OSError:
            return ""

    def record_end(self, cause):
        """Leave the cause of this process's end to the next one.  It serves the log only, so it
        isn't synced, and a disk that refuses it does no harm."""
        try:
            self._file.truncate(0)
            self._file.write(cause.encode("ascii", "replace")[:_MAX_CAUSE_BYTES])
        except OSError:
            pass

    def close(self):
        """Release the lock."""
        self._file.close()
