"""Placement by demand, for services whose layout doesn't configure copies.

Counters (nodes that route requests) report the demand for each item.  Items with waiting requests
are loaded by priority; the most requested models get more copies.  The items of least value are
evicted: rarely requested ones, or ones with further copies.  An engine on which room is made for
an item is reserved until the item is loaded, so that nothing is evicted twice for it.
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

# The longest time for which an engine is reserved for an item.
_MAX_RESERVATION_MS = 9600.0
# Number of request rates above which decayed ones are dropped.
_MAX_RATES = 4096
_PAUSE_MS = 60.0
# A further copy of a model must be worth this many times the copies evicted for it.
_EXTRA_COPY_MARGIN = 1.5
# Initial requests per second for each further copy of a model.
_SEED_RATE = 16.0
# Cost of a further copy for each one that its zone already has, in requests per second.
_SAME_ZONE_COST = 0.2


def plan(placer, now_ms, registry, name, service, settings):
    """Give the orders that are due now, at most one per engine."""
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
    view.rates = demand_view.request_rates(placer.demand, now_ms, registry)
    view.adapter_rates = demand_view.adapter_rates(view.rates)
    view.hosts = demand_view.hosts_of(placer, engines)
    running = [placer.engines[name].report.running for name in engines]
    if None not in running:
        requests_per_s = sum(rate for item, rate in view.rates.items() if "/" not in item)
        learn_request_time(placer.demand, now_ms, sum(running), requests_per_s)
    return view


def _place_missing(view):
    """Load adapters first: they load fast but would wait behind any model.  Then load copies that
    the demand needs, missing models by priority, and spare copies."""
    missing = [item for item in view.wanted if not view.copies.get(item)]
    priorities = {item: demand_view.priority(view, item) for item in missing}
    by_priority = sorted(priorities, key=lambda i: (-priorities[i], i))
    _place_items(view, [i for i in by_priority if "/" in i], priorities)
    _add_copies(view, eviction.needed_copies, 1.0)
    _place_items(view, [i for i in by_priority if "/" not in i], priorities)
    _add_copies(view, eviction.wanted_copies, eviction.SPARE_COPY_FACTOR)


def _place_items(view, items, priorities):
    for item in items:
        if not view.idle:
            return
        _place_item(view, item, priorities[item])


def _seed_rates(view):
    """Give each model an initial rate by its number of copies, until counters report demand."""
    view.placer.demand.seeded = True
    for model, copies in view.copies.items():
        if "/" not in model:
            record_requests(view.placer.demand, view.now_ms, model, _SEED_RATE * (0.1 + copies - 1))


def _expire_reservations(view):
    """Drop reservations that are old or no longer wanted, and rates that have decayed."""
    demand = view.placer.demand
    demand.reserved = {
        item: (engine, since_ms)
        for item, (engine, since_ms) in demand.reserved.items()
        if engine in view.engines
        and view.now_ms - since_ms < _MAX_RESERVATION_MS
        and _is_wanted(view, item)
    }
    if len(demand.rates) > _MAX_RATES:
        oldest_ms = view.now_ms - 8 * FADE_MS
        demand.rates = {i: r for i, r in demand.rates.items() if r[1] > oldest_ms}


def _is_wanted(view, item):
    """Whether an item is to be loaded, or to get one more copy."""
    copies = view.copies.get(item, 0)
    if not copies:
        return item in view.wanted
    return copies < eviction.wanted_copies(view, item)


def _place_item(view, item, max_cost):
    """Give the next order towards loading an item, unless it is loaded or being loaded."""
    if view.copies.get(item):
        return
    model, _, adapter = item.partition("/")
    if adapter:
        if view.copies.get(model):
            _place_adapter(view, item, model)
        return
    _place_model(view, item, (), max_cost)


def _place_adapter(view, item, model):
    """Give the next order towards loading an adapter on a host of its model, evicting at most one
    other adapter: the least requested one that no request waits for."""
    hosts = [n for n in view.hosts.get(model, ()) if n in view.idle]
    size = registry_view.item_size(view.registry, item)

    def to_evict(name):
        """The adapters to evict on an engine; None if there is neither room nor one to evict."""
        items = view.placer.ledger.engines[name]
        used_mb, places = registry_view.charged(view.registry, view.placer.ledger, name)
        if places + size[1] <= view.engines[name].places and (
            used_mb + size[0] <= view.engines[name].roomMb
        ):
            return ()
        adapters = [i for i in items if "/" in i and i not in view.waiting]
        return tuple(sorted(adapters, key=lambda i: view.rates.get(i, 0.0))[:1]) or None

    found = [
        (sum(view.rates.get(i, 0.0) for i in evicted), weight(item, host), host, evicted)
        for host in hosts
        if (evicted := to_evict(host)) is not None
    ]
    if found:
        _, _, name, evicted = min(found)
        _order_next_step(view, name, item, evicted)


def _blocked_adapter_rate(view, name):
    """Requests per second for adapters that only this engine could load now: it carries out one
    order at a time, and all other hosts of their models are busy."""
    return sum(
        requests_per_s
        for model, requests_per_s in view.adapter_rates.items()
        if name in (hosts := view.hosts.get(model, ()))
        and not any(other != name and other in view.idle for other in hosts)
    )


def _place_model(view, model, hosts, max_cost):
    """Choose the engine where a model costs least, preferring those that have loaded it before, and
    give the next order there.  `hosts` already have a copy."""
    size_mb = registry_view.item_size(view.registry, model)[0]
    reservation = view.placer.demand.reserved.get(model)
    names = [reservation[0]] if reservation else [n for n in sorted(view.idle) if n not in hosts]
    reserved_engines = {r[0] for i, r in view.placer.demand.reserved.items() if i != model}
    found = []
    for name in names:
        if (
            name in reserved_engines
            or name not in view.idle
            or model in view.placer.ledger.engines.get(name, {})
        ):
            continue
        proposed = eviction.eviction_for(view, name, model, size_mb)
        if proposed is None or proposed[0] > max_cost:
            continue
        loaded_before = model in view.placer.demand.loaded_before.get(name, ())
        same_zone = sum(1 for n in hosts if view.engines[n].zone == view.engines[name].zone)
        found.append(
            (
                proposed[0] * (0.6 if loaded_before else 1.0)
                + _SAME_ZONE_COST * same_zone
                + _blocked_adapter_rate(view, name),
                not loaded_before,
                weight(model, name),
                name,
                proposed[1],
            )
        )
    if found:
        name, evicted = min(found)[3:]
        view.placer.demand.reserved.setdefault(model, (name, view.now_ms))
        _order_next_step(view, name, model, evicted)


def _order_next_step(view, name, item, evicted):
    """Unload the first item to evict, or load the item if there is none.  The weight store's limits
    apply to models that the engine hasn't loaded before."""
    items = view.placer.ledger.engines.get(name, {})
    if evicted:
        view.idle.discard(name)
        entry = items[evicted[0]]
        orders.give_order(
            view.placer, name, evicted[0], "unload", entry["mb"], entry["places"], view.name
        )
        view.copies[evicted[0]] = view.copies.get(evicted[0], 1) - 1
        return
    loaded_before = item in view.placer.demand.loaded_before.get(name, ())
    if (
        "/" not in item
        and not loaded_before
        and not orders.store_allows(view.placer, view.now_ms, view.name, view.service["loads"])
    ):
        return
    view.idle.discard(name)
    size = registry_view.item_size(view.registry, item)
    orders.give_order(view.placer, name, item, "load", size[0], size[1], view.name)
    view.copies[item] = view.copies.get(item, 0) + 1
    view.placer.demand.reserved.pop(item, None)


def _add_copies(view, copies_for, value_factor):
    """Add a copy of each loaded model that has fewer copies than `copies_for` returns, most
    requested first, if it costs less than its value: the model's rate per copy times
    `value_factor`, divided by a margin."""
    if not view.idle:
        return
    found = [
        (-requests_per_s, item)
        for item, requests_per_s in view.rates.items()
        if "/" not in item and 0 < view.copies.get(item, 0) < copies_for(view, item)
    ]
    for negated_rate, model in sorted(found):
        if not view.idle:
            return
        hosts = [n for n in view.engines if model in view.placer.ledger.engines.get(n, {})]
        max_cost = -negated_rate * value_factor / (1 + view.copies[model]) / _EXTRA_COPY_MARGIN
        _place_model(view, model, hosts, max_cost)
