"""Demand for items as reported by counters: request rates that decay, kept by a placer.

An item that requests had to wait for also has unserved demand, until a request finds it loaded.
It outlasts the requests: if many requests for a rare model each end before it is loaded, together
they get it loaded for later ones.
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

# Time constant of the exponential decay of request rates.
FADE_MS = 8000.0
# Time constant for unserved demand, so long that requests some seconds apart add up.
_UNSERVED_FADE_MS = 4 * FADE_MS
# Time constant of the average time that a request spends at its engine, and bounds of its samples.
_REQUEST_TIME_FADE_MS = FADE_MS / 2
_MIN_REQUEST_S, _MAX_REQUEST_S = 0.1, 4.0
# With fewer requests per second, the number of running requests is no usable sample.
_MIN_SAMPLE_RATE = 4.0


@dataclass(frozen=True)
class UnservedDemand:
    """How many requests (`callers`) had to wait for an item of a service, as of `at_ms`."""

    service: str
    callers: float
    at_ms: float


@dataclass
class Demand:
    """`rates`: item -> (requests per second, time); `unserved`: item -> UnservedDemand;
    `reserved`: item -> (engine where room is made for it, since); `loaded_at_ms`: (engine, item)
    -> when it was loaded; `pauseMs`: engine -> until when it gets no order after a refusal;
    `loaded_before`: engine -> items that it has loaded at some time; `seeded`: whether the rates
    have initial values; `request_s`: average time for which a request occupies a slot;
    `request_learned_ms`: when that was last updated."""

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
    """An item got `count` more requests since the last report."""
    demand.rates[item] = (request_rate(demand, now_ms, item) + count * 1000 / FADE_MS, now_ms)


def request_rate(demand, now_ms, item):
    """The recent requests per second for an item."""
    previous, at_ms = demand.rates.get(item, (0.0, now_ms))
    return previous * math.exp(-max(0.0, now_ms - at_ms) / FADE_MS)


def learn_request_time(demand, now_ms, running, requests_per_s):
    """`running` requests are at the engines while `requests_per_s` arrive: by Little's law, each
    stays for their ratio.  Single samples vary, so they are averaged."""
    if requests_per_s < _MIN_SAMPLE_RATE:
        return
    elapsed_ms = 0.0 if demand.request_learned_ms is None else now_ms - demand.request_learned_ms
    weight = 1 - math.exp(-elapsed_ms / _REQUEST_TIME_FADE_MS)
    sample_s = min(_MAX_REQUEST_S, max(_MIN_REQUEST_S, running / requests_per_s))
    demand.request_s, demand.request_learned_ms = (
        demand.request_s + weight * (sample_s - demand.request_s),
        now_ms,
    )


def record_unserved(demand, now_ms, service, item):
    """One more request for an item has to wait or is refused."""
    demand.unserved[item] = UnservedDemand(service, unserved(demand, now_ms, item) + 1, now_ms)


def unserved(demand, now_ms, item):
    """How many requests have had to wait for an item since one last found it loaded, decayed."""
    known = demand.unserved.get(item)
    if known is None:
        return 0.0
    return known.callers * math.exp(-max(0.0, now_ms - known.at_ms) / _UNSERVED_FADE_MS)


def clear_unserved(demand, item):
    """A request found the item loaded: clear its unserved demand."""
    demand.unserved.pop(item, None)
