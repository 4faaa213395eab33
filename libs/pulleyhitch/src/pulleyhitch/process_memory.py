"""How this process takes memory from the system: stacks of threads, the C library's allocator, and
how much it holds.

Python asks the C library for anything larger than 512 bytes.  By default glibc keeps several heaps,
reserves 64 MB of address space for each, and raises the size from which a block goes back to the
system as soon as it is freed; what is freed below that size may stay with the process for good.
"""

import contextlib
import ctypes
import os
import threading

__all__ = ["MemoryWatch", "configure", "resident_bytes"]

# Enough for the deepest recursion in C that input can cause: a JSON document that is nested as deep
# as the interpreter allows takes a quarter of it.
_STACK_BYTES = 1 << 20
# Parameters of mallopt(3).
_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
_MMAP_THRESHOLD_BYTES = 256 << 10
_ARENAS = 1
_RESIDENT_FIELD = 1
# Parts of the limit above which a process is near it, and below which it has left it.
_HIGH_RATIO, _NORMAL_RATIO = 0.8, 0.7
_MB = 1 << 20


def configure():
    """Have threads that start from now on take small stacks, and large blocks go back to the system
    once they are freed.  Without glibc only the first is done."""
    threading.stack_size(_STACK_BYTES)
    with contextlib.suppress(OSError, AttributeError):
        allocator = ctypes.CDLL(None)
        allocator.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        allocator.mallopt(_M_ARENA_MAX, _ARENAS)


def resident_bytes():
    """The memory that this process holds now; 0 where the system doesn't tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as source:
            pages = int(source.read().split()[_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class MemoryWatch:
    """Logs that the process comes near its memory limit, and that it has left it.  A process that
    passes the limit is killed and can log nothing any more.

    `limit_bytes`: 0 if there is none; `log(event, facts, urgent=)`: a log ring's."""

    def __init__(self, limit_bytes, log, resident=resident_bytes):
        self._limit_bytes, self._log, self._resident = limit_bytes, log, resident
        self._is_high = False

    def check(self):
        """Look at the memory that the process holds now."""
        if not self._limit_bytes:
            return
        held_bytes = self._resident()
        ratio = _NORMAL_RATIO if self._is_high else _HIGH_RATIO
        if (held_bytes > ratio * self._limit_bytes) is not self._is_high:
            self._is_high = not self._is_high
            facts = {"residentMb": held_bytes // _MB, "limitMb": self._limit_bytes // _MB}
            self._log("memory-high" if self._is_high else "memory-normal", facts, urgent=True)
