"""Chooses the models to evict for another one, by the value and the room of their copies."""

import math

from placement import registry_view
from placement.demand_view import priority

__all__ = ["SPARE_COPY_FACTOR", "needed_copies", "eviction_for", "wanted_copies", "copy_value"]

# Share of their slots that a model's copies have in use: above the first, requests are refused;
# below the second, more copies gain nothing.
_MAX_UTILIZATION = 0.5
_TARGET_UTILIZATION = 0.3
_DEFAULT_SLOTS = 16
# Requests per second above which a model should be on two engines.
_REDUNDANCY_RATE = 2.0
# Factors for the value of a copy that is only needed for bursts, and of a surplus one.
SPARE_COPY_FACTOR = 0.5
_SURPLUS_COPY_FACTOR = 0.05
# A model that has just been loaded isn't evicted before the requests that waited for it can
# have started; an engine finishes requests that have started before it unloads the model.
_MIN_RESIDENCE_MS = 500.0


def copy_value(view, model):
    """The value of one copy of a model, in requests per second."""
    copies = view.copies.get(model, 1)
    requests_per_s = view.rates.get(model, 0.0) + 0.001
    if copies <= 1:
        return requests_per_s + (priority(view, model) if model in view.waiting else 0.0)
    if copies <= needed_copies(view, model):
        return requests_per_s / copies
    if copies <= wanted_copies(view, model):
        return SPARE_COPY_FACTOR * requests_per_s / copies
    return _SURPLUS_COPY_FACTOR * requests_per_s / copies


def needed_copies(view, model):
    """How many copies a model's demand needs; with fewer, requests are refused."""
    return _copies_at(view, model, _MAX_UTILIZATION)


def wanted_copies(view, model):
    """How many copies leave spare slots for bursts and for the loss of an engine."""
    least = 2 if view.rates.get(model, 0.0) > _REDUNDANCY_RATE else 1
    return max(least, _copies_at(view, model, _TARGET_UTILIZATION))


def _copies_at(view, model, utilization):
    """How many copies a model's demand needs to use at most this share of their slots."""
    slots = max(1, view.service.get("slots") or _DEFAULT_SLOTS)
    return max(
        1,
        math.ceil(
            view.rates.get(model, 0.0) * view.placer.demand.request_s / (utilization * slots)
        ),
    )


def eviction_for(view, name, model, size_mb):
    """(cost, models to evict) to make room for a model on an engine; None if too little room can be
    freed."""
    items = view.placer.ledger.engines.get(name, {})
    used_mb, _ = registry_view.charged(view.registry, view.placer.ledger, name)
    free_mb = view.engines[name].roomMb - used_mb
    if free_mb >= size_mb:
        return 0.0, ()
    found = []
    for other, entry in items.items():
        if "/" in other or entry["verb"] != "load" or entry["state"] != "loaded":
            continue
        if (
            view.now_ms - view.placer.demand.loaded_at_ms.get((name, other), -1e12)
            < _MIN_RESIDENCE_MS
        ):
            continue
        own_mb = sum(
            registry_view.entry_charge(view.registry, item, charge)[0]
            for item, charge in items.items()
            if item.partition("/")[0] == other
        )
        found.append((copy_value(view, other), other, own_mb))
    cost, evicted = 0.0, []
    for value, other, own_mb in sorted(found):
        if free_mb >= size_mb:
            break
        cost, free_mb = cost + value, free_mb + own_mb
        evicted.append(other)
    return (cost, tuple(evicted)) if free_mb >= size_mb else None
