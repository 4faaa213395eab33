"""What callers ask for, as counters tell it: rates that fade, kept by a placer."""

import math
from dataclasses import dataclass, field

__all__ = ["Demand", "tell", "rate", "FADE_MS"]

FADE_MS = 8000.0


@dataclass
class Demand:
    """rates: item -> (asked for a second, at); making: item -> (engine, since)."""

    rates: dict = field(default_factory=dict)
    making: dict = field(default_factory=dict)
    upMs: dict = field(default_factory=dict)
    pauseMs: dict = field(default_factory=dict)
    before: dict = field(default_factory=dict)
    seeded: bool = False


def tell(d, nowMs, item, count):
    """An item was asked for `count` times since it was last told of."""
    old, atMs = d.rates.get(item, (0.0, nowMs))
    faded = old * math.exp(-max(0.0, nowMs - atMs) / FADE_MS)
    d.rates[item] = (faded + count * 1000 / FADE_MS, nowMs)


def rate(d, nowMs, item):
    """How often a second an item has been asked for lately."""
    old, atMs = d.rates.get(item, (0.0, nowMs))
    return old * math.exp(-max(0.0, nowMs - atMs) / FADE_MS)
