"""Attempts at engines: the time that is left of one, and what its end proves."""

import time
from dataclasses import replace

from routing.connect_timeout import TIMED_OUT

__all__ = ["broken", "in_time", "left", "proof"]

# Engines end by their own clocks, at most so long before an attempt's end here.
_ENGINE_ENDS_MS = 100.0


def in_time(leg):
    """The attempt with the time that is left of it, or None if there is none: this node
    may have stood still since it was decided."""
    left_ms = leg.end_ms - time.monotonic() * 1000
    return replace(leg, timeout_ms=min(leg.timeout_ms, left_ms)) if left_ms > 0 else None


def proof(ended):
    """What the end of a leg without a whole answer proves."""
    if not ended.begun:
        return "no-pipe"
    return "timed-out" if ended.cause == TIMED_OUT else "unknown"


def broken(ended, told, resumable):
    """How a stream that broke off ends: an engine that had no more time is only late."""
    late = time.monotonic() * 1000 >= told["end_ms"] - _ENGINE_ENDS_MS
    late = late or (ended is not None and ended.cause == TIMED_OUT)
    if resumable:
        return "timed-out" if late else "unknown"
    return "cut-late" if late else "cut"


def left(told, begun_s):
    """How an attempt ends whose caller left before an answer had begun: one that waited
    past its aim left because of the engine."""
    waited_ms = 1000 * (time.monotonic() - begun_s)
    return "unanswered" if waited_ms > told["aimMs"] else "gone"
