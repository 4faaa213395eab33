"""The times of an orderly stop, by the grace period after which the platform kills the process."""

from dataclasses import dataclass

__all__ = ["StopSchedule", "schedule_of"]

# Grace period if the settings give none.
_DEFAULT_GRACE_S = 5.0
# Parts of the grace period, from its start: until when new connections are accepted, requests may
# wait for a model or a place, the process waits for all responses, attempts at engines may still
# get a response, and responses that are ready may still be sent.
_ACCEPT_SHARE = 0.3
_WAIT_SHARE = 0.7
_DRAIN_SHARE = 0.85
_ATTEMPTS_SHARE = 0.92
_EXIT_SHARE = 0.97


@dataclass(frozen=True)
class StopSchedule:
    """Ends of the steps of a stop, in seconds from its start, each no earlier than the one
    before."""

    accept_s: float
    wait_s: float
    drain_s: float
    attempts_s: float
    exit_s: float


def schedule_of(grace_ms, announced):
    """The StopSchedule for a grace period, 0 if none is configured.  `announced`: whether a
    readiness probe announces the stop, so that callers still come until they have noticed."""
    grace_s = grace_ms / 1000 if grace_ms else _DEFAULT_GRACE_S
    return StopSchedule(
        _ACCEPT_SHARE * grace_s if announced else 0.0,
        _WAIT_SHARE * grace_s,
        _DRAIN_SHARE * grace_s,
        _ATTEMPTS_SHARE * grace_s,
        _EXIT_SHARE * grace_s,
    )
