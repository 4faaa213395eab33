"""Accepts connections, and pauses while the process has no descriptors left.

A pending connection that can't be accepted keeps the listening socket readable, so an event loop
that watched it meanwhile would use a whole core.
"""

import errno
import selectors
import time

__all__ = ["Acceptor"]

_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_PAUSE_S = 0.1


class Acceptor:
    """A listening socket that a selector watches, but for pauses; for one thread only."""

    def __init__(self, listening, selector, clock=time):
        self.listening = listening
        self._selector, self._clock = selector, clock
        self._resume_s = None
        self._selector.register(listening, selectors.EVENT_READ)

    def accept(self):
        """(socket, address) of a pending connection, or None if there is none, or no descriptor
        for it."""
        try:
            return self.listening.accept()
        except OSError as error:
            if error.errno in _SHORTAGES:
                self._pause()
            return None

    def _pause(self):
        if self._resume_s is None:
            self._selector.unregister(self.listening)
        self._resume_s = self._clock.monotonic() + _PAUSE_S

    def resume_if_due(self):
        """Watch the socket again after a pause."""
        if self._resume_s is not None and self._clock.monotonic() >= self._resume_s:
            self._resume_s = None
            self._selector.register(self.listening, selectors.EVENT_READ)

    def close(self):
        """Stop watching the socket, and close it."""
        if self._resume_s is None:
            self._selector.unregister(self.listening)
        self._resume_s = None
        self.listening.close()
