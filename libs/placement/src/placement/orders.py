"""Turns a plan into load and unload orders within the limits of engines and weight store.

An order is given only if the new item fits beside everything that may still be on the engine.
Open loads never exceed the service's share of the weight store.  A token bucket limits their
rate; it starts empty after a takeover, so that two successive lease holders together stay within
the rate of one.
"""

from placement import engine_calls, engine_view, load_queue, order_notes, placement, registry_view
from placement import ledger as ledgers
from placement.state import append_record

__all__ = ["plan", "give_order", "store_allows"]

# Bound on open loads as a multiple of the configured number, for slow loads.
_MAX_LOADS_FACTOR = 4


def plan(placer, now_ms, registry, service_name, service, settings):
    """Compute the plan of a service and give the orders that may be given now."""
    placer.plan.refused_ms = {
        key: at_ms
        for key, at_ms in placer.plan.refused_ms.items()
        if now_ms - at_ms < 2 * settings.call_timeout_ms
    }
    engines = registry_view.placement_engines(
        registry, service_name, engine_view.reports_of(placer)
    )
    target_plan = _current_plan(placer, registry, service_name, service, engines)
    if engines:
        load_queue.reject_unservable(
            placer, now_ms, service_name, service["loads"], target_plan, settings
        )
    engines_by_name = {e.name: e for e in engines}
    for engine in engines:
        _unload_unwanted(placer, registry, engine, service_name, target_plan, engines_by_name)
    for engine, item in placer.plan.queues[service_name]:
        if _can_load(placer, registry, engines_by_name[engine], item) and not _load(
            placer, now_ms, registry, engine, item, service_name, service
        ):
            return


def _current_plan(placer, registry, service_name, service, engines):
    """The service's plan, recomputed only when its inputs have changed."""
    inputs = (registry.stamp, placer.held.next, tuple(engines))
    cached = placer.plan.plans.get(service_name)
    if cached is not None and cached[0] == inputs:
        return cached[1]
    present = {
        engine: {item for item, entry in items.items() if entry["verb"] == "load"}
        for engine, items in placer.ledger.engines.items()
    }
    wishes = registry_view.wishes_of(registry, service_name, placer.ledger)
    target_plan = placement.place(engines, wishes, registry_view.shares_of(service), present)
    placer.plan.queues[service_name] = load_queue.ordered_loads(
        placer, service_name, target_plan, {w.id: w.yields for w in wishes}
    )
    _log_unmet(placer, service_name, target_plan, service)
    placer.plan.plans[service_name] = (inputs, target_plan)
    return target_plan


def _log_unmet(placer, service_name, target_plan, service):
    unmet = target_plan.unmet
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
    if placer.ledger.unmet.get(service_name, {}) != unmet:
        append_record(placer, ledgers.unmet_record(service_name, unmet))


def give_order(placer, engine, item, verb, mb, places, service):
    """Log an order; it is sent to the engine once the record is committed."""
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
    """Whether an engine can be given an order now."""
    entries = placer.ledger.engines.get(engine, {})
    return engine_view.can_take_order(engine_view.view_of(placer, engine), entries)


def _is_moving(placer, registry, engine, item, target_plan, engines_by_name):
    """Whether the plan moves the item to another engine that is loading it, or could load it now
    while this copy still serves requests."""
    return any(
        item in targets
        and other != engine
        and not ledgers.is_loaded(placer.ledger, other, item)
        and (
            item in placer.ledger.engines.get(other, {})
            or _can_load(placer, registry, engines_by_name[other], item)
        )
        for other, targets in target_plan.targets.items()
    )


def _unload_unwanted(placer, registry, engine, service, target_plan, engines_by_name):
    """Unload items that no layout defines any more and items whose room a target needs.  A copy
    that moves is unloaded only after it is loaded elsewhere, if there is room for both."""
    targets = target_plan.targets[engine.name]
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
            placer, registry, engine.name, item, target_plan, engines_by_name
        ):
            continue
        give_order(placer, engine.name, item, "unload", entry["mb"], entry["places"], service)


def _can_load(placer, registry, engine, item):
    """Whether an order to load an item may be given now: the engine takes orders, an adapter's
    model is loaded, and there is room beside everything that may be on the engine."""
    items = placer.ledger.engines.get(engine.name, {})
    if item in items or (engine.name, item) in placer.plan.refused_ms:
        return False
    if not _can_take_order(placer, engine.name):
        return False
    base = item.partition("/")[0]
    if "/" in item and not ledgers.is_loaded(placer.ledger, engine.name, base):
        return False
    size = registry_view.item_size(registry, item)
    used_mb, used_places = registry_view.charged(registry, placer.ledger, engine.name)
    return (
        size is not None
        and used_mb + size[0] <= engine.roomMb
        and used_places + size[1] <= engine.places
    )


def _load(placer, now_ms, registry, engine, item, service_name, service):
    """Give a load order if the weight store's limits allow it; returns whether they do."""
    if not store_allows(placer, now_ms, service_name, service["loads"]):
        return False
    size = registry_view.item_size(registry, item)
    give_order(placer, engine, item, "load", size[0], size[1], service_name)
    return True


def _max_open_loads(loads, loads_per_duration):
    """How many loads may be open at a time.  A layout that doesn't count loads of adapters limits
    only the rate; there, slow loads must not use up this limit, so it grows, up to a bound, with
    `loads_per_duration`: how many loads the rate allows during an average load."""
    configured = loads["atOnce"]
    if loads.get("adapters", True):
        return configured
    return max(configured, min(_MAX_LOADS_FACTOR * configured, loads_per_duration))


def store_allows(placer, now_ms, service_name, loads):
    """Whether the service's share of the weight store allows one more load; takes a token if so."""
    burst, per_ms = load_queue.store_rate(loads)
    open_loads = ledgers.open_loads(placer.ledger, service_name, loads.get("adapters", True))
    if open_loads >= _max_open_loads(loads, per_ms * placer.plan.load_ms.get(service_name, 0.0)):
        return False
    tokens, at_ms = placer.plan.tokens.get(
        service_name, (burst if placer.epoch == 1 else 0.0, now_ms)
    )
    tokens = min(burst, tokens + (now_ms - at_ms) * per_ms)
    allowed = tokens >= 1
    placer.plan.tokens[service_name] = (tokens - 1 if allowed else tokens, now_ms)
    return allowed
