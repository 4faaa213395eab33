"""When a placer computes its next plans, beside its ticks."""

from transport.effects import Wake

__all__ = ["replan_soon"]

# Least time between two plans triggered by responses, as a share of the call timeout.
_MIN_PLAN_INTERVAL = 0.01


def replan_soon(placer, now_ms, settings):
    """The effects that trigger another plan soon, one for many responses that arrive together."""
    if not settings.turnMs:
        return []
    interval_ms = _MIN_PLAN_INTERVAL * settings.call_timeout_ms
    return [Wake(max(now_ms, placer.plan.planned_ms + interval_ms))]
