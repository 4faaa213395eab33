"""From a plan to orders that keep within room, places and the weight store.

An order is given only if everything that may still be on the engine, and the
new item with it, fits.  Loads outstanding never exceed the service's part of
the weight store, whose rate is kept by tokens that start empty after a
takeover, so two holders together never spend more than one may.
"""

from dispatch import ledger as ledgers
from dispatch import placement, world
from dispatch.state import log
from manifest import registry as registries

__all__ = ["plan", "wait_estimate"]


def plan(p, nowMs, registry, name, service, terms):
    p.refusedMs = {k: ms for k, ms in p.refusedMs.items()
                   if nowMs - ms < 2 * terms.callMs}
    engines = world.placement_engines(registry, name, p.reports)
    present = {e: {i for i, entry in items.items() if entry["verb"] == "load"}
               for e, items in p.ledger.engines.items()}
    wishes = world.wishes_of(registry, name, p.ledger)
    made = placement.place(engines, wishes, world.shares_of(service), present)
    p.planned[name] = made
    _tell_unmet(p, name, made, service)
    if engines:
        _give_up_holds(p, name, made)
    for engine in engines:
        _unload(p, registry, engine, name, made.targets[engine.name])
    for engine in sorted(engines, key=lambda e: e.name):
        _load(p, nowMs, registry, engine, name, service, made.targets[engine.name])


def _give_up_holds(p, name, made):
    """Who waits for what no plan has room for is told so now, not later."""
    coming = {i for targets in made.targets.values() for i in targets}
    coming |= {i for items in p.ledger.engines.values() for i in items}
    for id_, hold in list(p.ledger.holds.items()):
        item = placement.item_name(hold["model"], hold["adapter"])
        if hold["service"] == name and item not in coming:
            p.holdsMs.pop(id_, None)
            log(p, ledgers.unhold_record(id_, "no-room"))


def wait_estimate(p, registry, hold):
    """How long the loads before this one take the weight store, at its rate; None
    if the service may load nothing at all."""
    service = registries.services(registry).get(hold["service"])
    if service is None or not service["loads"]["atOnce"] or not service["loads"]["perMinute"]:
        return None
    item = placement.item_name(hold["model"], hold["adapter"])
    if any(item in items for items in p.ledger.engines.values()):
        return 0
    made = p.planned.get(hold["service"], placement.Plan())
    ahead = sum(1 for engine, targets in made.targets.items() for other in targets
                if other not in p.ledger.engines.get(engine, {}) and other != item)
    return max(0, ahead - service["loads"]["atOnce"]) * 60000 / service["loads"]["perMinute"]


def _tell_unmet(p, name, made, service):
    unmet = made.unmet
    if service["loads"]["atOnce"] == 0 and not unmet:
        unmet = {"(all)": {"rule": "no-loads-granted", "wanted": 0, "placed": 0,
                           "won": [], "partner": service["partner"],
                           "shareSpent": False}}
    if p.ledger.unmet.get(name, {}) != unmet:
        log(p, ledgers.unmet_record(name, unmet))


def _order(p, engine, item, verb, mb, places, service):
    number = p.ledger.orderCount + 1
    order = f"{p.shard}.{p.epoch}.{number}"
    body = {"shard": p.shard, "epoch": p.epoch, "order": order, "number": number,
            "item": item, "roomMb": mb, "places": places}
    log(p, ledgers.order_record(engine, item, verb, order, mb, places, service),
                ("order", engine, item, order, verb, body))


def _unload(p, registry, engine, service, targets):
    """Unload what no layout names any more, or what stands in a target's way."""
    items = p.ledger.engines.get(engine.name, {})
    missing = [i for i in targets if i not in items]
    for item, entry in sorted(items.items(), reverse=True):
        if entry["verb"] != "load" or entry["state"] != "loaded" or item in targets:
            continue
        if "/" not in item and any(
                other.startswith(item + "/") for other in items):
            continue
        if not missing and world.size_of(registry, item) is not None:
            continue
        if (engine.name, item) in p.refusedMs:
            continue
        _order(p, engine.name, item, "unload", entry["mb"], entry["places"], service)


def _load(p, nowMs, registry, engine, name, service, targets):
    items = p.ledger.engines.get(engine.name, {})
    for item in sorted(targets):
        if item in items or (engine.name, item) in p.refusedMs:
            continue
        base = item.partition("/")[0]
        if "/" in item and not ledgers.loaded(p.ledger, engine.name, base):
            continue
        size = world.size_of(registry, item)
        usedMb, usedPlaces = ledgers.charged(p.ledger, engine.name)
        if size is None or usedMb + size[0] > engine.roomMb or (
                usedPlaces + size[1] > engine.places):
            continue
        if not _store_allows(p, nowMs, name, service["loads"]):
            return
        _order(p, engine.name, item, "load", size[0], size[1], name)


def _store_allows(p, nowMs, name, loads):
    p.lingering = [x for x in p.lingering if nowMs < x[1]]
    lingering = sum(1 for service, _ in p.lingering if service == name)
    if ledgers.loads_out(p.ledger, name) + lingering >= loads["atOnce"]:
        return False
    burst = min(loads["atOnce"], loads["perMinute"] // 4)
    tokens, atMs = p.tokens.get(name, (burst if p.epoch == 1 else 0.0, nowMs))
    perMs = (loads["perMinute"] - burst) / 60000
    tokens = min(burst, tokens + (nowMs - atMs) * perMs)
    allowed = tokens >= 1
    p.tokens[name] = (tokens - 1 if allowed else tokens, nowMs)
    return allowed
