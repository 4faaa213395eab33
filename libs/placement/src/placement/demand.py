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
    up_ms: dict = field(default_factory=dict)
    pauseMs: dict = field(default_factory=dict)
    before: dict = field(default_factory=dict)
    seeded: bool = False


def tell(d, now_ms, item, count):
    """An item was asked for `count` times since it was last told of."""
    old, at_ms = d.rates.get(item, (0.0, now_ms))
    faded = old * math.exp(-max(0.0, now_ms - at_ms) / FADE_MS)
    d.rates[item] = (faded + count * 1000 / FADE_MS, now_ms)


def rate(d, now_ms, item):
    """How often a second an item has been asked for lately."""
    old, at_ms = d.rates.get(item, (0.0, now_ms))
    return old * math.exp(-max(0.0, now_ms - at_ms) / FADE_MS)
