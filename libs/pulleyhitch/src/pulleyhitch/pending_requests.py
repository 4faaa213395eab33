"""Requests from other threads that wait for an outcome of the core."""

import threading
from concurrent.futures import Future

from routing.draining import CLOSING

__all__ = ["PendingRequests"]


class PendingRequests:
    """Futures of outcomes by token.  Threads may use it side by side."""

    def __init__(self):
        self._futures, self._lock, self._closed = {}, threading.Lock(), False

    def add(self, token):
        """A future for the outcome of a request; it is done, with a refusal, once `close` has
        been called."""
        future = Future()
        with self._lock:
            if not self._closed:
                self._futures[token] = future
                return future
        future.set_result(CLOSING)
        return future

    def __len__(self):
        return len(self._futures)

    def resolve(self, token, outcome):
        """The core's outcome for a request, which may no longer wait for it."""
        with self._lock:
            future = self._futures.pop(token, None)
        if future is not None:
            future.set_result(outcome)

    def abandon(self, token, future):
        """Wait no longer; returns whether the outcome hasn't arrived, and is dropped if it does."""
        with self._lock:
            if self._futures.get(token) is not future:
                return False
            del self._futures[token]
            return True

    def close(self):
        """Refuse all requests that wait, and all later ones."""
        with self._lock:
            self._closed = True
            pending, self._futures = list(self._futures.values()), {}
        for future in pending:
            future.set_result(CLOSING)
