"""The rate at which a tenant's requests come in at one node."""

import math
from dataclasses import dataclass

__all__ = ["Demand", "count", "expected"]

_DECAY_MS = 1000.0


@dataclass(frozen=True)
class Demand:
    """A count of requests that decays exponentially."""

    requests: float = 0.0
    at_ms: float = 0.0


def _decayed(demand, now_ms):
    return demand.requests * math.exp(-max(0.0, now_ms - demand.at_ms) / _DECAY_MS)


def count(demand, now_ms):
    """The demand with one more request."""
    return Demand(_decayed(demand, now_ms) + 1.0, now_ms)


def expected(demand, now_ms, span_ms):
    """How many requests to expect within `span_ms`."""
    return _decayed(demand, now_ms) * span_ms / _DECAY_MS
