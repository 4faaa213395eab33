"""What callers ask for, as counters tell it: rates that fade, kept by a placer.

Beside the rates stands what is owed: an item that callers had to wait for is owed to them
until one of them finds it up, also after they have left.  So many callers of a rare model,
each of whom leaves before its turn, together bring it up for one who comes later.
"""

import math
from dataclasses import dataclass, field

__all__ = [
    "Demand",
    "FADE_MS",
    "learn_request_time",
    "record_unserved",
    "unserved",
    "clear_unserved",
    "request_rate",
    "record_requests",
]

FADE_MS = 8000.0
# What is owed fades so slowly that callers who come every some seconds add up.
_UNSERVED_FADE_MS = 4 * FADE_MS
# Over how long the time of a request at its engine is averaged, and its bounds.
_REQUEST_TIME_FADE_MS = FADE_MS / 2
_MIN_REQUEST_S, _MAX_REQUEST_S = 0.1, 4.0
# With fewer askings a second nothing is learned from what runs.
_MIN_SAMPLE_RATE = 4.0


@dataclass(frozen=True)
class UnservedDemand:
    """How many `callers` of a service had to wait for an item, as it stood at `at_ms`."""

    service: str
    callers: float
    at_ms: float


@dataclass
class Demand:
    """rates: item -> (asked for a second, at); owed: item -> Owed to callers who had to wait;
    making: item -> (engine, since); run_s: how long a request has a slot, as observed."""

    rates: dict = field(default_factory=dict)
    unserved: dict = field(default_factory=dict)
    reserved: dict = field(default_factory=dict)
    loaded_at_ms: dict = field(default_factory=dict)
    pauseMs: dict = field(default_factory=dict)
    loaded_before: dict = field(default_factory=dict)
    seeded: bool = False
    request_s: float = 0.6
    request_learned_ms: float | None = None


def record_requests(demand, now_ms, item, count):
    """An item was asked for `count` times since it was last told of."""
    demand.rates[item] = (request_rate(demand, now_ms, item) + count * 1000 / FADE_MS, now_ms)


def request_rate(demand, now_ms, item):
    """How often a second an item has been asked for lately."""
    old, at_ms = demand.rates.get(item, (0.0, now_ms))
    return old * math.exp(-max(0.0, now_ms - at_ms) / FADE_MS)


def learn_request_time(demand, now_ms, running, asked):
    """`running` requests are at the engines while `asked` come a second: by Little's law each
    is there for their ratio.  Single values are chance, so they are averaged over a while."""
    if asked < _MIN_SAMPLE_RATE:
        return
    since_ms = 0.0 if demand.request_learned_ms is None else now_ms - demand.request_learned_ms
    share = 1 - math.exp(-since_ms / _REQUEST_TIME_FADE_MS)
    seen_s = min(_MAX_REQUEST_S, max(_MIN_REQUEST_S, running / asked))
    demand.request_s, demand.request_learned_ms = (
        demand.request_s + share * (seen_s - demand.request_s),
        now_ms,
    )


def record_unserved(demand, now_ms, service, item):
    """One more caller has to wait for an item, or is sent away."""
    demand.unserved[item] = UnservedDemand(service, unserved(demand, now_ms, item) + 1, now_ms)


def unserved(demand, now_ms, item):
    """How many callers have had to wait for an item since it last served one."""
    known = demand.unserved.get(item)
    if known is None:
        return 0.0
    return known.callers * math.exp(-max(0.0, now_ms - known.at_ms) / _UNSERVED_FADE_MS)


def clear_unserved(demand, item):
    """A caller found the item up."""
    demand.unserved.pop(item, None)
