"""The remaining time of an attempt, and the proof that its end gives.

A proof says what is known about an attempt that ended: whether the request may have run, and
whether the engine is at fault.  `router.ended` lists the values.
"""

import time
from dataclasses import replace

from transport import failures

from routing.connect_timeout import TIMED_OUT

__all__ = [
    "ABANDONED",
    "broken_stream_proof",
    "with_time_left",
    "departed_caller_proof",
    "failed_attempt_proof",
]

# The outcome of an attempt that is abandoned because this process ends: it may have run.
ABANDONED = failures.OutcomeUnknown("closing")
# Engines time out by their own clocks, up to this long before the attempt's end here.
_CLOCK_TOLERANCE_MS = 100.0


def with_time_left(attempt):
    """The attempt with its timeout cut to the remaining time; None if no time remains, since this
    process may have been paused after the attempt was decided."""
    left_ms = attempt.end_ms - time.monotonic() * 1000
    return replace(attempt, timeout_ms=min(attempt.timeout_ms, left_ms)) if left_ms > 0 else None


def failed_attempt_proof(ended):
    """The proof of an attempt that ended without a complete response."""
    if not ended.request_sent:
        return "no-pipe"
    return "timed-out" if ended.cause == TIMED_OUT else "unknown"


def broken_stream_proof(ended, request, resumable):
    """The proof of a stream that broke off: that of a late stream if the attempt's time was over,
    otherwise that of a broken one."""
    late = time.monotonic() * 1000 >= request["end_ms"] - _CLOCK_TOLERANCE_MS
    late = late or (ended is not None and ended.cause == TIMED_OUT)
    if resumable:
        return "timed-out" if late else "unknown"
    return "cut-late" if late else "cut"


def departed_caller_proof(request, started_s):
    """The proof of an attempt whose caller left before the response began.  A caller that left
    after its target latency counts against the engine."""
    waited_ms = 1000 * (time.monotonic() - started_s)
    return "unanswered" if waited_ms > request["aimMs"] else "gone"
