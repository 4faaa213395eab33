"""Placement by demand: what callers ask for comes up, what nobody asks for goes.

For a service whose layout names no copies.  Counters tell how often each item
was asked for; rates fade.  First come the items that somebody waits for, in the
order of the line; then more copies of what is asked for most.  What gives way is
what is worth least: seldom asked for, or up elsewhere too.  An engine carries
out one order at a time, and one that makes room for an item is that item's
until it is up, so that nothing is pushed out twice for the same wish.
"""

import math
from dataclasses import dataclass

from transport.rendezvous import weight

from placement import ledger as ledgers
from placement import line, order_counts, orders, world
from placement.demand import FADE_MS, rate, tell

__all__ = ["plan"]

_BUSY_PART = 0.3
_RUN_S = 0.6
_KEEP_MS = 1200.0
_PAUSE_MS = 60.0
_LET_GO = 1.5
_SEED = 16.0
_HOT = 4.0
_LEAST = 0.4
_EACH = 0.4
_BESIDE = 0.2


@dataclass
class _View:
    """What one pass looks at."""

    p: object
    now_ms: float
    registry: object
    name: str
    service: dict
    terms: object
    engines: dict
    copies: dict
    waited: dict


def plan(p, now_ms, registry, name, service, terms):
    """Give the orders that are due now; at most one an engine."""
    engines = {
        e.name: e
        for e in world.placement_engines(registry, name, p.reports)
        if e.name not in p.ledger.suspects
    }
    if not engines:
        return
    v = _View(
        p,
        now_ms,
        registry,
        name,
        service,
        terms,
        engines,
        _copies(p, engines),
        line.waited_for(p, name),
    )
    _forget(p, now_ms, engines)
    if not p.demand.seeded:
        _seed(v)
    _more_copies(v, _HOT)
    for item in sorted(v.waited, key=lambda i: (v.waited[i], i)):
        if world.size_of(registry, item) is not None:
            _bring(v, item, _patience(v, item))
    _more_copies(v, 0.0)


def _seed(v):
    """Before anybody has told what is asked for, many copies speak of much demand."""
    v.p.demand.seeded = True
    for model, copies in v.copies.items():
        if "/" not in model:
            tell(v.p.demand, v.now_ms, model, _SEED * (0.1 + copies - 1))


def _patience(v, item):
    """How much may be lost, in askings a second, for an item that is waited for: the
    more so the more wait for it and the longer they have."""
    since = [
        v.p.holds_ms.get(id_, v.now_ms)
        for id_, hold in v.p.ledger.holds.items()
        if item in (hold["model"], f"{hold['model']}/{hold['adapter']}")
    ]
    wait_s = (v.now_ms - min(since, default=v.now_ms)) / 1000
    return _LEAST + _EACH * len(since) * (1 + wait_s)


def _forget(p, now_ms, engines):
    p.demand.making = {
        i: m for i, m in p.demand.making.items() if m[0] in engines and now_ms - m[1] < 8 * _KEEP_MS
    }
    if len(p.demand.rates) > 4096:
        p.demand.rates = {i: r for i, r in p.demand.rates.items() if now_ms - r[1] < 8 * FADE_MS}


def _copies(p, engines):
    """item -> how many engines hold it or are loading it."""
    found = {}
    for name in engines:
        for item, entry in p.ledger.engines.get(name, {}).items():
            if entry["verb"] == "load":
                found[item] = found.get(item, 0) + 1
    return found


def _idle(v, engine):
    """Whether an order may be given to an engine now."""
    if v.p.demand.pauseMs.get(engine, 0.0) > v.now_ms or not order_counts.known(v.p, engine):
        return False
    items = v.p.ledger.engines.get(engine, {})
    return all(e["state"] == "loaded" for e in items.values())


def _bring(v, item, most):
    """Have an item come up somewhere, if it isn't up or on its way."""
    if v.copies.get(item):
        v.p.demand.making.pop(item, None)
        return
    model, _, adapter = item.partition("/")
    if adapter:
        if v.copies.get(model):
            _bring_adapter(v, item, model)
        return
    _bring_model(v, item, (), most)


def _bring_adapter(v, item, model):
    hosts = [n for n in v.engines if ledgers.loaded(v.p.ledger, n, model) and _idle(v, n)]
    size = world.size_of(v.registry, item)

    def pushed(name):
        items = v.p.ledger.engines[name]
        usedMb, places = world.charged(v.registry, v.p.ledger, name)
        if places + size[1] <= v.engines[name].places and (
            usedMb + size[0] <= v.engines[name].roomMb
        ):
            return ()
        adapters = [i for i in items if "/" in i and i not in v.waited]
        return tuple(sorted(adapters, key=lambda i: rate(v.p.demand, v.now_ms, i))[:1]) or None

    found = [
        (sum(rate(v.p.demand, v.now_ms, i) for i in out), weight(item, n), n, out)
        for n in hosts
        if (out := pushed(n)) is not None
    ]
    if found:
        _, _, name, out = min(found)
        _give(v, name, item, out)


def _worth(v, model):
    """What would be lost with one copy of a model, in askings a second."""
    copies = v.copies.get(model, 1)
    asked = rate(v.p.demand, v.now_ms, model) + 0.001
    if copies <= 1:
        return asked
    return asked / copies * (1.0 if copies <= _wanted(v, model) else 0.05)


def _wanted(v, model):
    """How many copies a model's demand keeps busy to a part of their slots."""
    asked = rate(v.p.demand, v.now_ms, model)
    slots = max(1, v.service.get("slots") or 16)
    least = 2 if asked > 2.0 else 1
    return max(least, math.ceil(asked * _RUN_S / (_BUSY_PART * slots)))


def _pushed(v, name, model, size_mb):
    """(cost, models to push out) to make room on an engine, or None."""
    items = v.p.ledger.engines.get(name, {})
    usedMb, _ = world.charged(v.registry, v.p.ledger, name)
    free_mb = v.engines[name].roomMb - usedMb
    if free_mb >= size_mb:
        return 0.0, ()
    found = []
    for other, entry in items.items():
        if "/" in other or entry["verb"] != "load" or entry["state"] != "loaded":
            continue
        young = v.now_ms - v.p.demand.up_ms.get((name, other), -1e12) < _KEEP_MS
        if (other in v.waited and v.copies.get(other, 1) <= 1) or young:
            continue
        own_mb = sum(
            world.charge_of(v.registry, i, e)[0]
            for i, e in items.items()
            if i.partition("/")[0] == other
        )
        found.append((_worth(v, other), other, own_mb))
    cost, out = 0.0, []
    for worth, other, own_mb in sorted(found):
        if free_mb >= size_mb:
            break
        cost, free_mb = cost + worth, free_mb + own_mb
        out.append(other)
    return (cost, tuple(out)) if free_mb >= size_mb else None


def _bring_model(v, model, beside, most):
    """Choose the engine where a model costs least, and take the next step there."""
    size_mb = world.size_of(v.registry, model)[0]
    kept = v.p.demand.making.get(model)
    names = [kept[0]] if kept else [n for n in v.engines if n not in beside]
    taken = {m[0] for i, m in v.p.demand.making.items() if i != model}
    found = []
    for name in names:
        if name in taken or not _idle(v, name) or model in v.p.ledger.engines.get(name, {}):
            continue
        pushed = _pushed(v, name, model, size_mb)
        if pushed is None or pushed[0] > most:
            continue
        known = model in v.p.demand.before.get(name, ())
        zones = sum(1 for n in beside if v.engines[n].zone == v.engines[name].zone)
        found.append(
            (
                pushed[0] * (0.6 if known else 1.0) + _BESIDE * zones,
                not known,
                weight(model, name),
                name,
                pushed[1],
            )
        )
    if found:
        name, out = min(found)[3:]
        v.p.demand.making.setdefault(model, (name, v.now_ms))
        _give(v, name, model, out)


def _give(v, name, item, out):
    """Push out what is in the way, or load if nothing is and the store bears it."""
    items = v.p.ledger.engines.get(name, {})
    if out:
        entry = items[out[0]]
        orders.give(v.p, name, out[0], "unload", entry["mb"], entry["places"], v.name)
        v.copies[out[0]] = v.copies.get(out[0], 1) - 1
        return
    known = item in v.p.demand.before.get(name, ())
    if (
        "/" not in item
        and not known
        and not orders.store_allows(v.p, v.now_ms, v.name, v.service["loads"])
    ):
        return
    size = world.size_of(v.registry, item)
    orders.give(v.p, name, item, "load", size[0], size[1], v.name)
    v.copies[item] = v.copies.get(item, 0) + 1
    v.p.demand.making.pop(item, None)


def _more_copies(v, least):
    """One more copy of what has fewer than its demand keeps busy, where that costs
    less than it brings; of those asked for at least so often, most asked first."""
    found = [
        (-rate(v.p.demand, v.now_ms, i), i)
        for i in v.copies
        if "/" not in i and 0 < v.copies[i] < _wanted(v, i)
    ]
    for asked, model in sorted(found):
        asked = -asked
        if asked < least:
            continue
        beside = [n for n in v.engines if model in v.p.ledger.engines.get(n, {})]
        _bring_model(v, model, beside, most=asked / (1 + v.copies[model]) / _LET_GO)
