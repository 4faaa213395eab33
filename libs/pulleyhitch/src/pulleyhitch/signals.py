"""Signals to the process, handed to its main thread one by one.

A handler in Python runs between any two steps of the main thread, and may be interrupted by the
next signal: locks that it takes may be held already, and many signals nest until the stack is used
up.  So the handler is a built-in method, which is never interrupted and takes no lock.
"""

import queue
import signal
from enum import Enum

__all__ = ["Request", "Signals"]


class Request(Enum):
    """What a signal asks of the process."""

    STOP = "stop"
    RELOAD = "reload"
    DUMP_LOG = "dump log"


_REQUESTS = {
    signal.SIGTERM: Request.STOP,
    signal.SIGINT: Request.STOP,
    signal.SIGHUP: Request.RELOAD,
    signal.SIGUSR1: Request.DUMP_LOG,
}


class Signals:
    """The signals that have arrived since `install`.

    `stop_signal` is the name of the last one that `wait` returned a STOP for, or ""."""

    def __init__(self):
        self._arrived = queue.SimpleQueue()
        self.stop_signal = ""

    def install(self):
        """Handle the signals from now on; for the main thread only."""
        for number in _REQUESTS:
            # Called as put(number, frame); the frame stands for `block`, which has no effect.
            signal.signal(number, self._arrived.put)
        return self

    def wait(self, timeout_s):
        """The next Request, or None if none arrives in time."""
        try:
            number = self._arrived.get(timeout=timeout_s)
        except queue.Empty:
            return None
        if _REQUESTS[number] is Request.STOP:
            self.stop_signal = signal.Signals(number).name
        return _REQUESTS[number]
