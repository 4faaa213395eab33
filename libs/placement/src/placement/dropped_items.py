"""Forgets what the configuration and the engine list no longer contain.

A placer remembers requests, orders and times by model, adapter, service and engine.  Once one of
these is no longer configured, what is known of it is dropped, and requests that wait for it are
rejected, so that they can be sent again by the new configuration.  What an engine may still hold
stays in the ledger, with the largest size that the configuration gave it.
"""

from placement import ledger as ledgers
from placement import load_queue, registry_view
from placement.placement import item_name
from placement.state import append_record

__all__ = ["drop_gone_engines", "forget_dropped"]

# When a request that waited for an item that is no longer listed may be sent again.
_UNLISTED_RETRY_MS = 1000


def drop_gone_engines(placer, now_ms, registry, settings):
    """Drop removed engines.  Their open loads still count against the weight store's limit until
    they can no longer be reading from it; a new lease holder restarts that time."""
    for engine in [e for e in placer.ledger.incarnations if e not in registry.engines]:
        append_record(placer, ledgers.dropped_record(engine))
    for order, service in list(placer.ledger.lingering.items()):
        linger_ms = max(settings.unreachable_ms, 2 * placer.plan.load_ms.get(service, 0.0))
        if now_ms - placer.plan.lingering_ms.setdefault(order, now_ms) >= linger_ms:
            del placer.plan.lingering_ms[order]
            append_record(placer, ledgers.lingered_record(order))


def forget_dropped(placer, registry, shards):
    """Forget what the registry no longer contains; does nothing if it is unchanged."""
    if placer.seen_stamp == registry.stamp:
        return
    placer.seen_stamp = registry.stamp
    services = registry_view.services_of(registry, placer.shard, shards)
    engines = {name for name, engine in registry.engines.items() if engine["service"] in services}
    _keep_largest_sizes(placer, registry)
    _reject_unlisted_holds(placer, registry, services)
    _forget_items(placer, registry, services)
    _forget_engines(placer, registry, engines)
    _forget_services(placer, services)


def _keep_largest_sizes(placer, registry):
    """Log the sizes that have grown: they are charged even after the item is dropped."""
    for engine, items in placer.ledger.engines.items():
        for item, entry in items.items():
            mb, places = registry_view.entry_charge(registry, item, entry)
            if (mb, places) != (entry["mb"], entry["places"]):
                append_record(placer, ledgers.grown_record(engine, item, mb, places))


def _reject_unlisted_holds(placer, registry, services):
    for id_, hold in list(placer.ledger.holds.items()):
        item = item_name(hold["model"], hold["adapter"])
        if hold["service"] not in services or not registry_view.is_listed(registry, item):
            load_queue.reject(placer, id_, "unlisted", _UNLISTED_RETRY_MS)


def _forget_items(placer, registry, services):
    demand = placer.demand

    def listed(item):
        return registry_view.is_listed(registry, item)

    demand.rates = {item: rate for item, rate in demand.rates.items() if listed(item)}
    demand.unserved = {
        item: known
        for item, known in demand.unserved.items()
        if listed(item) and known.service in services
    }
    demand.reserved = {item: held for item, held in demand.reserved.items() if listed(item)}
    demand.loaded_before = {
        engine: {item for item in items if listed(item)}
        for engine, items in demand.loaded_before.items()
    }


def _forget_engines(placer, registry, engines):
    """Forget engines that are gone or whose service is.  An engine that comes back is asked for a
    new report before it is given orders."""
    demand, plan = placer.demand, placer.plan

    def kept(engine, item):
        return engine in engines and registry_view.is_listed(registry, item)

    placer.engines = {name: view for name, view in placer.engines.items() if name in engines}
    demand.pauseMs = {name: at_ms for name, at_ms in demand.pauseMs.items() if name in engines}
    demand.reserved = {item: held for item, held in demand.reserved.items() if held[0] in engines}
    demand.loaded_before = {
        name: items for name, items in demand.loaded_before.items() if name in engines
    }
    demand.loaded_at_ms = {key: at_ms for key, at_ms in demand.loaded_at_ms.items() if kept(*key)}
    plan.refused_ms = {key: at_ms for key, at_ms in plan.refused_ms.items() if kept(*key)}


def _forget_services(placer, services):
    """Forget plans of dropped services.  The buckets of the weight store's limits are kept: a
    service that comes back must not get a full one."""
    plan = placer.plan
    for by_service in (plan.plans, plan.queues, plan.load_ms):
        for name in [name for name in by_service if name not in services]:
            del by_service[name]
    for name, unmet in list(placer.ledger.unmet.items()):
        if unmet and name not in services:
            append_record(placer, ledgers.unmet_record(name, {}))
