"""Placement by demand: what callers ask for comes up, what nobody asks for goes.

For a service whose layout names no copies.  Counters tell how often each item
was asked for; rates fade.  First come the items that somebody waits for, in the
order of the line; then more copies of what is asked for most.  What gives way is
what is worth least: seldom asked for, or up elsewhere too.  An engine carries
out one order at a time, and one that makes room for an item is that item's
until it is up, so that nothing is pushed out twice for the same wish.
"""

from transport.rendezvous import weight

from placement import (
    demand_view,
    engine_view,
    eviction,
    order_notes,
    orders,
    registry_view,
    waiting_summary,
)
from placement.demand import FADE_MS, learn_request_time, record_requests
from placement.demand_view import DemandView

__all__ = ["plan"]

# The longest that an engine is kept for an item that it makes room for.
_MAX_RESERVATION_MS = 9600.0
_MAX_RATES = 4096
_PAUSE_MS = 60.0
_EXTRA_COPY_MARGIN = 1.5
_SEED_RATE = 16.0
_SAME_ZONE_COST = 0.2


def plan(placer, now_ms, registry, name, service, settings):
    """Give the orders that are due now; at most one an engine."""
    engines = {
        e.name: e
        for e in registry_view.placement_engines(registry, name, engine_view.reports_of(placer))
        if e.name not in placer.ledger.suspects
    }
    if not engines:
        return
    idle = {name for name in engines if demand_view.is_idle(placer, now_ms, name)}
    if not idle and not order_notes.summary_due(placer, now_ms):
        return
    view = _build_view(placer, now_ms, registry, name, service, engines, idle)
    if idle:
        _expire_reservations(view)
        _place_missing(view)
    if view.waiting:
        order_notes.log_summary(placer, now_ms, name, lambda: waiting_summary.summarize(view))


def _build_view(placer, now_ms, registry, name, service, engines, idle):
    copies = demand_view.copies_of(placer, engines)
    waiting = demand_view.waiting_requests(placer, now_ms, name)
    view = DemandView(placer, now_ms, registry, name, service, engines, copies, waiting, idle=idle)
    view.wanted = demand_view.wanted_items(view)
    if not placer.demand.seeded:
        _seed_rates(view)
    view.rates = demand_view.request_rates(placer.demand, now_ms)
    view.adapter_rates = demand_view.adapter_rates(view.rates)
    view.hosts = demand_view.hosts_of(placer, engines)
    running = [placer.engines[name].report.running for name in engines]
    if None not in running:
        asked = sum(rate for item, rate in view.rates.items() if "/" not in item)
        learn_request_time(placer.demand, now_ms, sum(running), asked)
    return view


def _place_missing(view):
    """Adapters first, which come up in a moment but wait behind any load of a model; then
    what is asked for most, what is waited for by claim, and more copies."""
    missing = [
        item
        for item in view.wanted
        if not view.copies.get(item) and registry_view.item_size(view.registry, item) is not None
    ]
    claims = {item: demand_view.priority(view, item) for item in missing}
    by_claim = sorted(claims, key=lambda i: (-claims[i], i))
    _place_items(view, [i for i in by_claim if "/" in i], claims)
    _add_copies(view, eviction.needed_copies, 1.0)
    _place_items(view, [i for i in by_claim if "/" not in i], claims)
    _add_copies(view, eviction.wanted_copies, eviction.SPARE_COPY_FACTOR)


def _place_items(view, items, claims):
    for item in items:
        if not view.idle:
            return
        _place_item(view, item, claims[item])


def _seed_rates(view):
    """Before anybody has told what is asked for, many copies speak of much demand."""
    view.placer.demand.seeded = True
    for model, copies in view.copies.items():
        if "/" not in model:
            record_requests(view.placer.demand, view.now_ms, model, _SEED_RATE * (0.1 + copies - 1))


def _expire_reservations(view):
    """Engines are no longer kept for what nobody waits for any more."""
    demand = view.placer.demand
    demand.reserved = {
        item: (engine, since_ms)
        for item, (engine, since_ms) in demand.reserved.items()
        if engine in view.engines
        and view.now_ms - since_ms < _MAX_RESERVATION_MS
        and _is_wanted(view, item)
    }
    if len(demand.rates) > _MAX_RATES:
        least_ms = view.now_ms - 8 * FADE_MS
        demand.rates = {i: r for i, r in demand.rates.items() if r[1] > least_ms}


def _is_wanted(view, item):
    """Whether an item is to come up, or to have one more copy."""
    copies = view.copies.get(item, 0)
    if not copies:
        return item in view.wanted
    return copies < eviction.wanted_copies(view, item)


def _place_item(view, item, most):
    """Have an item come up somewhere, if it isn't up or on its way."""
    if view.copies.get(item):
        return
    model, _, adapter = item.partition("/")
    if adapter:
        if view.copies.get(model):
            _place_adapter(view, item, model)
        return
    _place_model(view, item, (), most)


def _place_adapter(view, item, model):
    hosts = [n for n in view.hosts.get(model, ()) if n in view.idle]
    size = registry_view.item_size(view.registry, item)

    def pushed(name):
        items = view.placer.ledger.engines[name]
        usedMb, places = registry_view.charged(view.registry, view.placer.ledger, name)
        if places + size[1] <= view.engines[name].places and (
            usedMb + size[0] <= view.engines[name].roomMb
        ):
            return ()
        adapters = [i for i in items if "/" in i and i not in view.waiting]
        return tuple(sorted(adapters, key=lambda i: view.rates.get(i, 0.0))[:1]) or None

    found = [
        (sum(view.rates.get(i, 0.0) for i in out), weight(item, n), n, out)
        for n in hosts
        if (out := pushed(n)) is not None
    ]
    if found:
        _, _, name, out = min(found)
        _order_next_step(view, name, item, out)


def _blocked_adapter_rate(view, name):
    """Askings a second for adapters that no engine could bring up while this one loads: it
    carries out one order at a time, and its models' other hosts are busy."""
    return sum(
        asked
        for model, asked in view.adapter_rates.items()
        if name in (hosts := view.hosts.get(model, ()))
        and not any(other != name and other in view.idle for other in hosts)
    )


def _place_model(view, model, beside, most):
    """Choose the engine where a model costs least, and take the next step there."""
    size_mb = registry_view.item_size(view.registry, model)[0]
    kept = view.placer.demand.reserved.get(model)
    names = [kept[0]] if kept else [n for n in sorted(view.idle) if n not in beside]
    taken = {m[0] for i, m in view.placer.demand.reserved.items() if i != model}
    found = []
    for name in names:
        if (
            name in taken
            or name not in view.idle
            or model in view.placer.ledger.engines.get(name, {})
        ):
            continue
        pushed = eviction.eviction_for(view, name, model, size_mb)
        if pushed is None or pushed[0] > most:
            continue
        known = model in view.placer.demand.loaded_before.get(name, ())
        zones = sum(1 for n in beside if view.engines[n].zone == view.engines[name].zone)
        found.append(
            (
                pushed[0] * (0.6 if known else 1.0)
                + _SAME_ZONE_COST * zones
                + _blocked_adapter_rate(view, name),
                not known,
                weight(model, name),
                name,
                pushed[1],
            )
        )
    if found:
        name, out = min(found)[3:]
        view.placer.demand.reserved.setdefault(model, (name, view.now_ms))
        _order_next_step(view, name, model, out)


def _order_next_step(view, name, item, out):
    """Push out what is in the way, or load if nothing is and the store bears it."""
    items = view.placer.ledger.engines.get(name, {})
    if out:
        view.idle.discard(name)
        entry = items[out[0]]
        orders.give_order(
            view.placer, name, out[0], "unload", entry["mb"], entry["places"], view.name
        )
        view.copies[out[0]] = view.copies.get(out[0], 1) - 1
        return
    known = item in view.placer.demand.loaded_before.get(name, ())
    if (
        "/" not in item
        and not known
        and not orders.store_allows(view.placer, view.now_ms, view.name, view.service["loads"])
    ):
        return
    view.idle.discard(name)
    size = registry_view.item_size(view.registry, item)
    orders.give_order(view.placer, name, item, "load", size[0], size[1], view.name)
    view.copies[item] = view.copies.get(item, 0) + 1
    view.placer.demand.reserved.pop(item, None)


def _add_copies(view, copies_of, share):
    """One more copy of each model that has fewer than `copies_of` says, where that costs less
    than it brings, a `share` of what is asked of it; most asked for first."""
    if not view.idle:
        return
    found = [
        (-asked, item)
        for item, asked in view.rates.items()
        if "/" not in item and 0 < view.copies.get(item, 0) < copies_of(view, item)
    ]
    for asked, model in sorted(found):
        if not view.idle:
            return
        beside = [n for n in view.engines if model in view.placer.ledger.engines.get(n, {})]
        most = -asked * share / (1 + view.copies[model]) / _EXTRA_COPY_MARGIN
        _place_model(view, model, beside, most)
