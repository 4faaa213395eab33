"""What gives way so that a model can be loaded: worth of copies, and room that they free."""

import math

from placement import world

__all__ = ["pushed_out", "wanted_copies", "worth"]

# Demand keeps this part of a model's slots busy, each for so long, before it gets a copy more.
_BUSY_PART = 0.3
_RUN_S = 0.6
# A model that has just come up isn't pushed out before it has served anybody.
_KEEP_MS = 1200.0


def worth(v, model):
    """What would be lost with one copy of a model, in askings a second."""
    copies = v.copies.get(model, 1)
    asked = v.rates.get(model, 0.0) + 0.001
    if copies <= 1:
        return asked
    return asked / copies * (1.0 if copies <= wanted_copies(v, model) else 0.05)


def wanted_copies(v, model):
    """How many copies a model's demand keeps busy to a part of their slots."""
    asked = v.rates.get(model, 0.0)
    slots = max(1, v.service.get("slots") or 16)
    least = 2 if asked > 2.0 else 1
    return max(least, math.ceil(asked * _RUN_S / (_BUSY_PART * slots)))


def pushed_out(v, name, model, size_mb):
    """(cost, models to push out) to make room for a model on an engine, or None."""
    items = v.placer.ledger.engines.get(name, {})
    usedMb, _ = world.charged(v.registry, v.placer.ledger, name)
    free_mb = v.engines[name].roomMb - usedMb
    if free_mb >= size_mb:
        return 0.0, ()
    found = []
    for other, entry in items.items():
        if "/" in other or entry["verb"] != "load" or entry["state"] != "loaded":
            continue
        young = v.now_ms - v.placer.demand.up_ms.get((name, other), -1e12) < _KEEP_MS
        if (other in v.waiting and v.copies.get(other, 1) <= 1) or young:
            continue
        own_mb = sum(
            world.charge_of(v.registry, i, e)[0]
            for i, e in items.items()
            if i.partition("/")[0] == other
        )
        found.append((worth(v, other), other, own_mb))
    cost, out = 0.0, []
    for its_worth, other, own_mb in sorted(found):
        if free_mb >= size_mb:
            break
        cost, free_mb = cost + its_worth, free_mb + own_mb
        out.append(other)
    return (cost, tuple(out)) if free_mb >= size_mb else None
