"""How densely requests of a tenant come in at one node."""

import math
from dataclasses import dataclass

__all__ = ["Demand", "count", "expected"]

_DECAY_MS = 1000.0


@dataclass(frozen=True)
class Demand:
    """Requests, fading with time."""

    requests: float = 0.0
    at_ms: float = 0.0


def _decayed(demand, now_ms):
    return demand.requests * math.exp(-max(0.0, now_ms - demand.at_ms) / _DECAY_MS)


def count(demand, now_ms):
    """One more request has come in."""
    return Demand(_decayed(demand, now_ms) + 1.0, now_ms)


def expected(demand, now_ms, span_ms):
    """How many requests are expected within `span_ms`."""
    return _decayed(demand, now_ms) * span_ms / _DECAY_MS
