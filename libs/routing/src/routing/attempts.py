"""Attempts at engines: the time that is left of one, and what its end proves."""

import time
from dataclasses import replace

from routing.connect_timeout import TIMED_OUT

__all__ = ["broken_stream_proof", "with_time_left", "departed_caller_proof", "failed_attempt_proof"]

# Engines end by their own clocks, at most so long before an attempt's end here.
_ENGINE_ENDS_MS = 100.0


def with_time_left(attempt):
    """The attempt with the time that is left of it, or None if there is none: this node
    may have stood still since it was decided."""
    left_ms = attempt.end_ms - time.monotonic() * 1000
    return replace(attempt, timeout_ms=min(attempt.timeout_ms, left_ms)) if left_ms > 0 else None


def failed_attempt_proof(ended):
    """What the end of a leg without a whole answer proves."""
    if not ended.request_sent:
        return "no-pipe"
    return "timed-out" if ended.cause == TIMED_OUT else "unknown"


def broken_stream_proof(ended, request, resumable):
    """How a stream that broke off ends: an engine that had no more time is only late."""
    late = time.monotonic() * 1000 >= request["end_ms"] - _ENGINE_ENDS_MS
    late = late or (ended is not None and ended.cause == TIMED_OUT)
    if resumable:
        return "timed-out" if late else "unknown"
    return "cut-late" if late else "cut"


def departed_caller_proof(request, started_s):
    """How an attempt ends whose caller left before an answer had begun: one that waited
    past its aim left because of the engine."""
    waited_ms = 1000 * (time.monotonic() - started_s)
    return "unanswered" if waited_ms > request["aimMs"] else "gone"
