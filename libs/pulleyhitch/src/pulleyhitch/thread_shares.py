"""Threads of the HTTP listener: the share of each request class, and requests that wait for one."""

import threading

from pulleyhitch import admission

__all__ = ["ThreadShares", "ThreadQueue"]

# Requests that may wait for a thread, by the number of threads.
_QUEUED_PER_THREAD = 2


class ThreadShares:
    """Counts the free threads of each share.  Threads may use it side by side."""

    def __init__(self, threads):
        self._sizes = admission.thread_shares(threads)
        self._free = dict(self._sizes)
        self._lock = threading.Lock()
        self.total = sum(self._sizes.values())

    def acquire(self, request_class):
        """Take a thread of the class's own share or of a lower one; returns the share, or None if
        none is free."""
        with self._lock:
            for share in admission.USABLE_SHARES[request_class]:
                if self._free[share] > 0:
                    self._free[share] -= 1
                    return share
            return None

    def release(self, share):
        """Give back a thread of a share."""
        with self._lock:
            self._free[share] += 1

    def all_free(self):
        """Whether no thread is in use."""
        with self._lock:
            return self._free == self._sizes


class ThreadQueue:
    """Callers whose requests wait for a thread, by priority, then by age.  For one thread only."""

    def __init__(self, threads):
        self._limit = _QUEUED_PER_THREAD * threads
        self._callers = []

    def __len__(self):
        return len(self._callers)

    def add(self, caller):
        """Queue a caller; returns the one to refuse if the queue was full, else None."""
        self._callers.append(caller)
        self._callers.sort(key=lambda c: (admission.PRIORITIES[c.request_class], c.since_s))
        return self._callers.pop() if len(self._callers) > self._limit else None

    def start_each(self, start):
        """Call `start` with each caller in order; those for which it returns True leave."""
        self._callers = [caller for caller in self._callers if not start(caller)]

    def remove_since(self, until_s):
        """Remove and return the callers that have waited since before `until_s`."""
        overdue = [caller for caller in self._callers if caller.since_s < until_s]
        self._callers = [caller for caller in self._callers if caller.since_s >= until_s]
        return overdue
