"""Log lines that explain why no engine could take a request.

The response to the caller says only that no engine is free; the log line lists what this router
knew of each engine of the service at that moment.  At most one line is written per interval.
Refusals in between are only counted, so that no work is spent on them.
"""

from configuration import registry as registries
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from placement.placement import item_name
from transport.effects import LogLine

from routing import choice

__all__ = ["take_notes", "record"]

_MIN_INTERVAL_MS = 1000.0
_MAX_ENGINES = 8
_MAX_ATTEMPTS = 4
_MAX_MS = 1e9


def take_notes(router):
    """Return the collected log lines as effects and clear them."""
    notes, router.pending_notes = router.pending_notes, []
    return notes


def record(router, now_ms, cluster, task, cause, nodes=None):
    """Record a refused request; without `nodes` no attempt limits are logged."""
    if now_ms - router.last_refusal_note_ms < _MIN_INTERVAL_MS:
        router.unlogged_refusals += 1
        return
    item = item_name(task.model, task.adapter) if task.model else ""
    engines = registry_view.engines_of(cluster.registry, task.service)
    descriptions = [
        _describe_engine(router, now_ms, cluster, task, item, engine, nodes)
        for engine in engines[:_MAX_ENGINES]
    ]
    facts = {
        "cause": cause,
        "service": task.service,
        "item": item,
        "rank": task.rank,
        "sent": task.attempts_sent,
        "attempted": task.attempted[-_MAX_ATTEMPTS:],
        "waitedMs": round(now_ms - task.since_ms),
        "unlogged": router.unlogged_refusals,
        "tasks": len(router.tasks),
        "routingNodes": len(nodes.names) if nodes else None,
        "engines": descriptions,
        "enginesInAll": len(engines),
    }
    router.last_refusal_note_ms, router.unlogged_refusals = now_ms, 0
    router.pending_notes.append(LogLine("refused", facts, True))


def _describe_engine(router, now_ms, cluster, task, item, engine, nodes):
    """What is known of one engine; unknown facts are left out."""
    name = engine["name"]
    ledger = cluster_state.ledger_of(cluster, registry_view.shard_of(task.service, cluster.shards))
    service = registries.services(cluster.registry).get(task.service)
    entry = ledger.engines.get(name, {}).get(item)
    facts = {
        "engine": name,
        "usable": registry_view.usable(cluster.registry, engine),
        "suspect": name in ledger.suspects,
        "has": not item or ledgers.is_loaded(ledger, name, item),
        "entry": f"{entry['verb']} {entry['state']}" if entry else None,
        "busy": router.in_flight.get(name, 0),
        "limit": choice.limit(router, now_ms, engine, nodes, task.rank, service) if nodes else None,
        "avoidedMs": _whole_ms(task.avoid_until_ms.get(name, now_ms) - now_ms),
        "brokeMs": _whole_ms(now_ms - router.broken_at_ms[name])
        if name in router.broken_at_ms
        else None,
        "coldMs": _whole_ms(router.cold_until_ms.get(name, now_ms) - now_ms),
    }
    return {key: value for key, value in facts.items() if value is not None}


def _whole_ms(span_ms):
    """A duration in whole ms, capped, since an engine may be avoided for ever."""
    return round(max(0.0, min(span_ms, _MAX_MS)))
