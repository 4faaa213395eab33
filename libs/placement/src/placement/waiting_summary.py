"""Summarizes for the log which requests wait for a service's items, and what delays the loads."""

from collections import Counter

from placement import eviction, registry_view
from placement.demand_view import priority

__all__ = ["summarize"]


def summarize(view):
    """The number of waiting requests (a request for an adapter also counts for its model) and of
    the items that they wait for, the longest wait in ms, and for models neither loaded nor being
    loaded (`heldUp`) the reason that applies to most engines, counted by reason."""
    callers = [since_ms for found in view.waiting.values() for since_ms, _ in found]
    models = [item for item in view.waiting if "/" not in item]
    missing = [model for model in models if not view.copies.get(model)]
    return {
        "callers": len(callers),
        "models": len(models),
        "adapters": len(view.waiting) - len(models),
        "missing": len(missing),
        "oldestMs": round(view.now_ms - min(callers)),
        "engines": len(view.engines),
        "suspects": len(view.placer.ledger.suspects),
        "runMs": round(1000 * view.placer.demand.request_s),
        "kept": len(view.placer.demand.reserved),
        "heldUp": dict(Counter(_blocking_reason(view, model) for model in missing)),
    }


def _blocking_reason(view, model):
    size = registry_view.item_size(view.registry, model)
    if size is None:
        return "unknown"
    reasons = Counter(_engine_reason(view, model, size[0], name) for name in view.engines)
    return reasons.most_common(1)[0][0]


def _engine_reason(view, model, size_mb, name):
    reservations = view.placer.demand.reserved.items()
    if any(engine == name and other != model for other, (engine, _) in reservations):
        return "engine kept for another model"
    if name not in view.idle:
        return "engine busy"
    proposed = eviction.eviction_for(view, name, model, size_mb)
    if proposed is None:
        return "no room can be freed"
    return "lower priority" if proposed[0] > priority(view, model) else "store"
