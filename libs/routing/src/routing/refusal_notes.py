"""Why no engine could take a request, as lines for the node's log.

A refusal tells its caller only that nothing is free.  The line beside it tells what this
router knew of each engine of the service at that moment.  One line in a while is enough:
refusals in between are only counted, so that nothing is worked out for them.
"""

from configuration import registry as registries
from placement import floor as floors
from placement import ledger as ledgers
from placement import world
from placement.placement import item_name
from transport.effects import LogLine

from routing import choice

__all__ = ["drain", "refused"]

_PAUSE_MS = 1000.0
_MOST_ENGINES = 8
_MOST_LEGS = 4
_LONG_MS = 1e9


def drain(router):
    """The lines collected so far, as effects."""
    notes, router.refusal_notes = router.refusal_notes, []
    return notes


def refused(router, now_ms, floor, task, cause, crew=None):
    """A request was refused; without `crew` no limits are told."""
    if now_ms - router.refusal_noted_ms < _PAUSE_MS:
        router.refusals_unnoted += 1
        return
    item = item_name(task.model, task.adapter) if task.model else ""
    engines = world.engines_of(floor.registry, task.service)
    told = [
        _engine(router, now_ms, floor, task, item, engine, crew)
        for engine in engines[:_MOST_ENGINES]
    ]
    facts = {
        "cause": cause,
        "service": task.service,
        "item": item,
        "rank": task.rank,
        "sent": task.sent,
        "legs": task.legs[-_MOST_LEGS:],
        "waitedMs": round(now_ms - task.since_ms),
        "unnoted": router.refusals_unnoted,
        "tasks": len(router.tasks),
        "crew": len(crew.names) if crew else None,
        "engines": told,
        "enginesInAll": len(engines),
    }
    router.refusal_noted_ms, router.refusals_unnoted = now_ms, 0
    router.refusal_notes.append(LogLine("refused", facts, True))


def _engine(router, now_ms, floor, task, item, engine, crew):
    """What is known of one engine; of what is absent there is nothing to tell."""
    name = engine["name"]
    ledger = floors.ledger_of(floor, world.shard_of(task.service, floor.shards))
    service = registries.services(floor.registry).get(task.service)
    entry = ledger.engines.get(name, {}).get(item)
    facts = {
        "engine": name,
        "usable": world.usable(floor.registry, engine),
        "suspect": name in ledger.suspects,
        "has": not item or ledgers.loaded(ledger, name, item),
        "entry": f"{entry['verb']} {entry['state']}" if entry else None,
        "busy": router.busy.get(name, 0),
        "limit": choice.limit(router, now_ms, engine, crew, task.rank, service) if crew else None,
        "avoidedMs": _ms(task.avoid.get(name, now_ms) - now_ms),
        "brokeMs": _ms(now_ms - router.broke_ms[name]) if name in router.broke_ms else None,
        "coldMs": _ms(router.cold_until_ms.get(name, now_ms) - now_ms),
    }
    return {key: value for key, value in facts.items() if value is not None}


def _ms(span_ms):
    """A span as a whole number, that of an engine avoided for good as well."""
    return round(max(0.0, min(span_ms, _LONG_MS)))
