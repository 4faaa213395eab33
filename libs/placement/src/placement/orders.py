"""From a plan to orders that keep within room, places and the weight store.

An order is given only if everything that may still be on the engine, and the
new item with it, fits.  Loads outstanding never exceed the service's part of
the weight store, whose rate is kept by tokens that start empty after a
takeover, so two holders together never spend more than one may.
"""

from placement import engine_calls, engine_view, load_queue, order_notes, placement, registry_view
from placement import ledger as ledgers
from placement.state import append_record

__all__ = ["plan", "give_order", "store_allows"]

# How many times the loads that its rate makes up at full speed may be out at the store.
_MAX_LOADS_FACTOR = 4


def plan(placer, now_ms, registry, name, service, settings):
    placer.plan.refused_ms = {
        k: ms
        for k, ms in placer.plan.refused_ms.items()
        if now_ms - ms < 2 * settings.call_timeout_ms
    }
    engines = registry_view.placement_engines(registry, name, engine_view.reports_of(placer))
    made = _current_plan(placer, registry, name, service, engines)
    if engines:
        load_queue.reject_unservable(placer, now_ms, name, service["loads"], made, settings)
    sizes = {e.name: e for e in engines}
    for engine in engines:
        _unload_unwanted(placer, registry, engine, name, made, sizes)
    for engine, item in placer.plan.queues[name]:
        if _can_load(placer, registry, sizes[engine], item) and not _load(
            placer, now_ms, registry, engine, item, name, service
        ):
            return


def _current_plan(placer, registry, name, service, engines):
    """The plan, made anew only when something that it looks at has changed."""
    inputs = (registry.stamp, placer.held.next, tuple(engines))
    kept = placer.plan.plans.get(name)
    if kept is not None and kept[0] == inputs:
        return kept[1]
    present = {
        e: {i for i, entry in items.items() if entry["verb"] == "load"}
        for e, items in placer.ledger.engines.items()
    }
    wishes = registry_view.wishes_of(registry, name, placer.ledger)
    made = placement.place(engines, wishes, registry_view.shares_of(service), present)
    placer.plan.queues[name] = load_queue.ordered_loads(
        placer, name, made, {w.id: w.yields for w in wishes}
    )
    _log_unmet(placer, name, made, service)
    placer.plan.plans[name] = (inputs, made)
    return made


def _log_unmet(placer, name, made, service):
    unmet = made.unmet
    if service["loads"]["atOnce"] == 0 and not unmet:
        unmet = {
            "(all)": {
                "rule": "no-loads-granted",
                "wanted": 0,
                "placed": 0,
                "won": [],
                "partner": service["partner"],
                "shareSpent": False,
            }
        }
    if placer.ledger.unmet.get(name, {}) != unmet:
        append_record(placer, ledgers.unmet_record(name, unmet))


def give_order(placer, engine, item, verb, mb, places, service):
    """Log an order; it is sent once the record is durable."""
    number = placer.ledger.orderCount + 1
    order = f"{placer.shard}.{placer.epoch}.{number}"
    order_notes.log_order(placer, engine, item, verb, order)
    body = {
        **engine_calls.order_body(placer, engine, item, order),
        "shard": placer.shard,
        "number": number,
        "roomMb": mb,
        "places": places,
    }
    append_record(
        placer,
        ledgers.order_record(engine, item, verb, order, mb, places, service),
        ("order", engine, item, order, verb, body),
    )


def _can_take_order(placer, engine):
    """Whether an engine may be given an order now."""
    entries = placer.ledger.engines.get(engine, {})
    return engine_view.can_take_order(engine_view.view_of(placer, engine), entries)


def _is_moving(placer, registry, engine, item, made, sizes):
    """Whether a copy's new place comes up, or can, while this one still serves."""
    return any(
        item in targets
        and other != engine
        and not ledgers.is_loaded(placer.ledger, other, item)
        and (
            item in placer.ledger.engines.get(other, {})
            or _can_load(placer, registry, sizes[other], item)
        )
        for other, targets in made.targets.items()
    )


def _unload_unwanted(placer, registry, engine, service, made, sizes):
    """Unload what no layout names any more, or what stands in a target's way; a
    copy that moves goes only once it is up elsewhere, if there is room for both."""
    targets = made.targets[engine.name]
    items = placer.ledger.engines.get(engine.name, {})
    missing = [i for i in targets if i not in items]
    for item, entry in sorted(items.items(), reverse=True):
        if entry["verb"] != "load" or entry["state"] != "loaded" or item in targets:
            continue
        if "/" not in item and any(other.startswith(item + "/") for other in items):
            continue
        if not missing and registry_view.item_size(registry, item) is not None:
            continue
        if not _can_take_order(placer, engine.name):
            return
        if (engine.name, item) in placer.plan.refused_ms or _is_moving(
            placer, registry, engine.name, item, made, sizes
        ):
            continue
        give_order(placer, engine.name, item, "unload", entry["mb"], entry["places"], service)


def _can_load(placer, registry, engine, item):
    """Whether an order for an item may be given now, beside all that may be there."""
    items = placer.ledger.engines.get(engine.name, {})
    if item in items or (engine.name, item) in placer.plan.refused_ms:
        return False
    if not _can_take_order(placer, engine.name):
        return False
    base = item.partition("/")[0]
    if "/" in item and not ledgers.is_loaded(placer.ledger, engine.name, base):
        return False
    size = registry_view.item_size(registry, item)
    usedMb, used_places = registry_view.charged(registry, placer.ledger, engine.name)
    return (
        size is not None
        and usedMb + size[0] <= engine.roomMb
        and used_places + size[1] <= engine.places
    )


def _load(placer, now_ms, registry, engine, item, name, service):
    """Order it, if the store bears it."""
    if not store_allows(placer, now_ms, name, service["loads"]):
        return False
    size = registry_view.item_size(registry, item)
    give_order(placer, engine, item, "load", size[0], size[1], name)
    return True


def _max_open_loads(loads, usual):
    """How many loads may be out at a time.  Where the layout tells only a rate, that is what
    the store bears; loads that take longer than theirs, at engines that are busy or slow,
    don't keep others from it, up to a bound.  `usual`: the rate's loads in the time that
    they have been taking."""
    told = loads["atOnce"]
    if loads.get("adapters", True):
        return told
    return max(told, min(_MAX_LOADS_FACTOR * told, usual))


def store_allows(placer, now_ms, name, loads):
    """Whether one more load keeps within the service's part of the store; takes it."""
    burst, per_ms = load_queue.store_rate(loads)
    out = ledgers.open_loads(placer.ledger, name, loads.get("adapters", True))
    if out >= _max_open_loads(loads, per_ms * placer.plan.load_ms.get(name, 0.0)):
        return False
    tokens, at_ms = placer.plan.tokens.get(name, (burst if placer.epoch == 1 else 0.0, now_ms))
    tokens = min(burst, tokens + (now_ms - at_ms) * per_ms)
    allowed = tokens >= 1
    placer.plan.tokens[name] = (tokens - 1 if allowed else tokens, now_ms)
    return allowed
