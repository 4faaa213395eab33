"""Placement by demand: what callers ask for comes up, what nobody asks for goes.

For a service whose layout names no copies.  Counters tell how often each item
was asked for; rates fade.  First come the items that somebody waits for, in the
order of the line; then more copies of what is asked for most.  What gives way is
what is worth least: seldom asked for, or up elsewhere too.  An engine carries
out one order at a time, and one that makes room for an item is that item's
until it is up, so that nothing is pushed out twice for the same wish.
"""

from transport.rendezvous import weight

from placement import demand_view, making_room, order_notes, orders, waiting_summary, world
from placement import ledger as ledgers
from placement.demand import FADE_MS, tell
from placement.demand_view import View, idle

__all__ = ["plan"]

_MAKING_MS = 9600.0
_PAUSE_MS = 60.0
_LET_GO = 1.5
_SEED = 16.0
_HOT = 4.0
_BESIDE = 0.2


def plan(p, now_ms, registry, name, service, terms):
    """Give the orders that are due now; at most one an engine."""
    engines = {
        e.name: e
        for e in world.placement_engines(registry, name, p.reports)
        if e.name not in p.ledger.suspects
    }
    if not engines:
        return
    copies = demand_view.copies_of(p, engines)
    waiting = demand_view.waiting_of(p, now_ms, name)
    v = View(p, now_ms, registry, name, service, engines, copies, waiting)
    _forget(p, now_ms, engines)
    if not p.demand.seeded:
        _seed(v)
    v.rates = demand_view.rates_of(p.demand, now_ms)
    v.adapters = demand_view.adapter_rates(v.rates)
    _bring_all(v)
    if waiting:
        order_notes.summary(p, now_ms, name, lambda: waiting_summary.of(v))


def _bring_all(v):
    """Adapters first, which come up in a moment but wait behind any load of a model; then
    what is asked for most, what is waited for by claim, and more copies."""
    known = [i for i in v.waiting if world.size_of(v.registry, i) is not None]
    claims = {item: demand_view.claim(v, item) for item in known}
    by_claim = sorted(claims, key=lambda i: (-claims[i], i))
    for adapter in [i for i in by_claim if "/" in i]:
        _bring(v, adapter, claims[adapter])
    _more_copies(v, _HOT)
    for model in [i for i in by_claim if "/" not in i]:
        _bring(v, model, claims[model])
    _more_copies(v, 0.0)


def _seed(v):
    """Before anybody has told what is asked for, many copies speak of much demand."""
    v.placer.demand.seeded = True
    for model, copies in v.copies.items():
        if "/" not in model:
            tell(v.placer.demand, v.now_ms, model, _SEED * (0.1 + copies - 1))


def _forget(p, now_ms, engines):
    p.demand.making = {
        i: m for i, m in p.demand.making.items() if m[0] in engines and now_ms - m[1] < _MAKING_MS
    }
    if len(p.demand.rates) > 4096:
        p.demand.rates = {i: r for i, r in p.demand.rates.items() if now_ms - r[1] < 8 * FADE_MS}


def _bring(v, item, most):
    """Have an item come up somewhere, if it isn't up or on its way."""
    if v.copies.get(item):
        v.placer.demand.making.pop(item, None)
        return
    model, _, adapter = item.partition("/")
    if adapter:
        if v.copies.get(model):
            _bring_adapter(v, item, model)
        return
    _bring_model(v, item, (), most)


def _bring_adapter(v, item, model):
    hosts = [n for n in v.engines if ledgers.loaded(v.placer.ledger, n, model) and idle(v, n)]
    size = world.size_of(v.registry, item)

    def pushed(name):
        items = v.placer.ledger.engines[name]
        usedMb, places = world.charged(v.registry, v.placer.ledger, name)
        if places + size[1] <= v.engines[name].places and (
            usedMb + size[0] <= v.engines[name].roomMb
        ):
            return ()
        adapters = [i for i in items if "/" in i and i not in v.waiting]
        return tuple(sorted(adapters, key=lambda i: v.rates.get(i, 0.0))[:1]) or None

    found = [
        (sum(v.rates.get(i, 0.0) for i in out), weight(item, n), n, out)
        for n in hosts
        if (out := pushed(n)) is not None
    ]
    if found:
        _, _, name, out = min(found)
        _give(v, name, item, out)


def _held_up(v, name):
    """Askings a second for adapters that no engine could bring up while this one loads: it
    carries out one order at a time, and its models' other hosts are busy."""
    return sum(
        asked
        for model, asked in v.adapters.items()
        if ledgers.loaded(v.placer.ledger, name, model)
        and not any(
            other != name and ledgers.loaded(v.placer.ledger, other, model) and idle(v, other)
            for other in v.engines
        )
    )


def _bring_model(v, model, beside, most):
    """Choose the engine where a model costs least, and take the next step there."""
    size_mb = world.size_of(v.registry, model)[0]
    kept = v.placer.demand.making.get(model)
    names = [kept[0]] if kept else [n for n in v.engines if n not in beside]
    taken = {m[0] for i, m in v.placer.demand.making.items() if i != model}
    found = []
    for name in names:
        if name in taken or not idle(v, name) or model in v.placer.ledger.engines.get(name, {}):
            continue
        pushed = making_room.pushed_out(v, name, model, size_mb)
        if pushed is None or pushed[0] > most:
            continue
        known = model in v.placer.demand.before.get(name, ())
        zones = sum(1 for n in beside if v.engines[n].zone == v.engines[name].zone)
        found.append(
            (
                pushed[0] * (0.6 if known else 1.0) + _BESIDE * zones + _held_up(v, name),
                not known,
                weight(model, name),
                name,
                pushed[1],
            )
        )
    if found:
        name, out = min(found)[3:]
        v.placer.demand.making.setdefault(model, (name, v.now_ms))
        _give(v, name, model, out)


def _give(v, name, item, out):
    """Push out what is in the way, or load if nothing is and the store bears it."""
    items = v.placer.ledger.engines.get(name, {})
    if out:
        entry = items[out[0]]
        orders.give(v.placer, name, out[0], "unload", entry["mb"], entry["places"], v.name)
        v.copies[out[0]] = v.copies.get(out[0], 1) - 1
        return
    known = item in v.placer.demand.before.get(name, ())
    if (
        "/" not in item
        and not known
        and not orders.store_allows(v.placer, v.now_ms, v.name, v.service["loads"])
    ):
        return
    size = world.size_of(v.registry, item)
    orders.give(v.placer, name, item, "load", size[0], size[1], v.name)
    v.copies[item] = v.copies.get(item, 0) + 1
    v.placer.demand.making.pop(item, None)


def _more_copies(v, least):
    """One more copy of what has fewer than its demand keeps busy, where that costs
    less than it brings; of those asked for at least so often, most asked first."""
    found = [
        (-asked, item)
        for item, asked in v.rates.items()
        if "/" not in item and 0 < v.copies.get(item, 0) < making_room.wanted_copies(v, item)
    ]
    for asked, model in sorted(found):
        asked = -asked
        if asked < least:
            continue
        beside = [n for n in v.engines if model in v.placer.ledger.engines.get(n, {})]
        _bring_model(v, model, beside, most=asked / (1 + v.copies[model]) / _LET_GO)
