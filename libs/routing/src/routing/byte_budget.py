"""A bound on the bytes of requests and responses that a process holds at a time.

Each request has a Reservation, which grows with what is received or read for it and is released
with its connection.  Large requests get only a part of the budget, so that a few of them, however
slowly they arrive, leave room for all small ones.
"""

import math
import threading

__all__ = ["ENVIRON_KEY", "ByteBudget", "Reservation", "unbounded"]

# WSGI environment key of a request's Reservation.
ENVIRON_KEY = "pulleyhitch.reservation"
_SMALL_BYTES = 64 << 10
_LARGE_FRACTION = 0.75


class ByteBudget:
    """At most `limit_bytes` are reserved at a time.  Threads may use it side by side."""

    def __init__(self, limit_bytes):
        self._limit_bytes, self._used_bytes = limit_bytes, 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self):
        """The bytes that are reserved now."""
        return self._used_bytes

    def reservation(self):
        """A new, empty Reservation."""
        return Reservation(self)

    def change(self, held_bytes, wanted_bytes):
        """Change a part from `held_bytes` to `wanted_bytes`; returns whether there is room."""
        fraction = _LARGE_FRACTION if wanted_bytes > _SMALL_BYTES else 1.0
        with self._lock:
            used_bytes = self._used_bytes + wanted_bytes - held_bytes
            if wanted_bytes > held_bytes and used_bytes > fraction * self._limit_bytes:
                return False
            self._used_bytes = used_bytes
            return True


class Reservation:
    """The part of a ByteBudget that one request holds.  For one thread at a time."""

    def __init__(self, budget):
        self._budget, self._held_bytes = budget, 0

    @property
    def held_bytes(self):
        """The size of this part."""
        return self._held_bytes

    def resize(self, wanted_bytes):
        """Hold so many bytes instead; if there is no room for them, returns False and changes
        nothing.  A part can always shrink."""
        if not self._budget.change(self._held_bytes, wanted_bytes):
            return False
        self._held_bytes = wanted_bytes
        return True

    def grow(self, more_bytes):
        """Hold so many bytes more; returns whether there was room for them."""
        return self.resize(self._held_bytes + more_bytes)

    def release(self):
        """Give everything back."""
        self.resize(0)


def unbounded():
    """A Reservation that always has room."""
    return ByteBudget(math.inf).reservation()
