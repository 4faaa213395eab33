"""Writes that wait while the disk is full.

A full disk is a trouble that passes: others write to it, and files get removed.  Nothing that is
reported as durable is at risk, so a write that finds no space is tried again, as if the disk
stalled; a process that ended would only be started again on the same disk.
"""

import errno
import time

__all__ = ["SpaceWait", "is_full"]

_NO_SPACE = (errno.ENOSPC, errno.EDQUOT)
_RETRY_S = 0.05


def is_full(error):
    """Whether an OSError tells that the disk has no space."""
    return error.errno in _NO_SPACE


class SpaceWait:
    """Calls writes again while there is no space for them.

    `on_wait(waited_s)` is called when a write begins to wait (0.0), and once it no longer does.
    `give_up()` tells whether a write that waits is to fail."""

    def __init__(self, on_wait=lambda waited_s: None, give_up=lambda: False, clock=time):
        self._on_wait, self._give_up, self._clock = on_wait, give_up, clock

    def __call__(self, write):
        """What `write()` returns, which is called until the disk has space for it; every call has
        to write the same bytes to the same place.  Other errors are raised, and so is the lack of
        space if the write is to fail."""
        start_s = None
        while True:
            try:
                result = write()
            except OSError as error:
                if not is_full(error) or self._give_up():
                    raise
            else:
                if start_s is not None:
                    self._on_wait(self._clock.monotonic() - start_s)
                return result
            if start_s is None:
                start_s = self._clock.monotonic()
                self._on_wait(0.0)
            self._clock.sleep(_RETRY_S)
