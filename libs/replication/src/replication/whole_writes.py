"""Writes to a file at an offset that are either whole or fail."""

import errno
import os

__all__ = ["write_whole"]


def write_whole(handle, data, offset):
    """Write all of `data`; raises OSError if the system writes none of what remains.  A disk that
    fills up within a write takes only a part of it, which is no error of the call."""
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(handle, remaining, offset)
        if not written:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        remaining, offset = remaining[written:], offset + written
