"""How this process takes memory from the system: stacks of threads and the C library's allocator.

Python asks the C library for anything larger than 512 bytes.  By default glibc keeps several heaps,
reserves 64 MB of address space for each, and raises the size from which a block goes back to the
system as soon as it is freed; what is freed below that size may stay with the process for good.
"""

import contextlib
import ctypes
import threading

__all__ = ["configure"]

# Enough for the deepest recursion in C that input can cause: a JSON document that is nested as deep
# as the interpreter allows takes a quarter of it.
_STACK_BYTES = 1 << 20
# Parameters of mallopt(3).
_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
_MMAP_THRESHOLD_BYTES = 256 << 10
_ARENAS = 1


def configure():
    """Have threads that start from now on take small stacks, and large blocks go back to the system
    once they are freed.  Without glibc only the first is done."""
    threading.stack_size(_STACK_BYTES)
    with contextlib.suppress(OSError, AttributeError):
        allocator = ctypes.CDLL(None)
        allocator.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        allocator.mallopt(_M_ARENA_MAX, _ARENAS)
