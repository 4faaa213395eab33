"""The registry and the ledgers, as a node derives them from the replicated log.

Holds the registry of shard 0 and the ledgers of the service shards, and updates them with the
log sections that a follower has applied.
"""

from dataclasses import dataclass, field

from configuration import registry as registries
from replication import state_machine

from placement import ledger as ledgers
from placement import registry_view

__all__ = [
    "ClusterState",
    "LedgerChange",
    "apply_update",
    "ledger_of",
    "engines_with",
    "incarnation",
    "serving_engines",
]


@dataclass(frozen=True)
class LedgerChange:
    """An update that changed only ledgers: its number among the `changes` of the cluster state,
    and the engines that its records concern."""

    number: int
    engines: frozenset


@dataclass
class ClusterState:
    """The registry and the ledgers by shard.  `shards`: number of shards; `reader`: reads the
    platform's configuration; `changes`: number of updates that changed anything; `ledger_change`:
    the latest update, or None if it changed more than ledgers."""

    shards: int
    zones: tuple = ()
    reader: object = None
    registry: registries.Registry = field(default_factory=registries.Registry)
    ledgers: dict = field(default_factory=dict)
    changes: int = 0
    ledger_change: LedgerChange | None = None


def apply_update(state, log_state, update):
    """Apply a follower's update; True if anything that routing uses changed."""
    state.changes += update.rebuilt or bool(update.sections)
    state.ledger_change = None
    if update.rebuilt:
        _rebuild(state, log_state)
        return True
    changes, engines = [], set()
    for section in update.sections:
        if section.kind != state_machine.RECORDS:
            continue
        if section.shard == 0:
            changes += section.records
        for record in section.records if section.shard else ():
            engines.add(ledgers.apply(ledger_of(state, section.shard), record))
    if not changes:
        state.ledger_change = LedgerChange(state.changes, frozenset(engines - {None}))
    registries.replay(state.registry, changes)
    return bool(update.sections)


def _rebuild(state, log_state):
    state.registry = registries.Registry(zonesKnown=state.zones, reader=state.reader)
    state.ledgers = {}
    for shard, stored in log_state.shards.items():
        if shard == 0:
            state.registry = registries.load(stored.checkpoint, state.zones, state.reader)
            registries.replay(state.registry, stored.records)
        else:
            state.ledgers[shard] = ledgers.load(stored.checkpoint)
            for record in stored.records:
                ledgers.apply(state.ledgers[shard], record)


def ledger_of(state, shard):
    """The ledger of a shard; a new, empty one if there is none yet."""
    found = state.ledgers.get(shard)
    if found is None:
        found = state.ledgers[shard] = ledgers.Ledger()
    return found


def engines_with(state, service, item):
    """Engines that may get requests for an item, or any request if `item` is empty (a plain
    service).  Suspect engines are left out, unless that leaves a plain service without engines."""
    ledger = ledger_of(state, registry_view.shard_of(service, state.shards))
    engines = state.registry.engines
    named = [name for name, e in engines.items() if e["service"] == service]
    if item:
        entries = ledger.engines
        named = [
            n for n in named if item in entries.get(n, ()) and ledgers.is_loaded(ledger, n, item)
        ]
    found = [
        engines[name]
        for name in sorted(named)
        if registry_view.usable(state.registry, engines[name])
    ]
    healthy = [e for e in found if e["name"] not in ledger.suspects]
    return healthy if healthy or item else found


def serving_engines(state, names=None):
    """Engines, of `names` or of all, that can serve requests: plain ones that have reported, and
    others with an item loaded."""
    engines, found = state.registry.engines, []
    for name in engines if names is None else names & engines.keys():
        engine = engines[name]
        ledger = ledger_of(state, registry_view.shard_of(engine["service"], state.shards))
        entries = ledger.engines.get(engine["name"], {}).values()
        if engine["name"] in ledger.incarnations and (
            not engine["roomMb"] or any(entry["state"] == "loaded" for entry in entries)
        ):
            found.append(engine)
    return found


def incarnation(state, engine):
    """The last reported incarnation of an engine."""
    ledger = ledger_of(state, registry_view.shard_of(engine["service"], state.shards))
    return ledger.incarnations.get(engine["name"], "")
