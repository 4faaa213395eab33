"""Asking again and again until something is true."""

import time

__all__ = ["poll_until"]


def poll_until(what, limit_s, pause_s):
    """The first true value of `what()`; TimeoutError with its name after `limit_s`."""
    end_s = time.monotonic() + limit_s
    while True:
        found = what()
        if found:
            return found
        if time.monotonic() > end_s:
            raise TimeoutError(getattr(what, "__name__", "condition"))
        time.sleep(pause_s)
