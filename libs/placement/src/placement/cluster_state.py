"""The floor: what a node makes of the feed.

The registry of shard 0 and the ledgers of the service shards, kept up with
the sections that a follower's book counted.
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
    """News of ledgers only: its number among the floor's `changes`, and the engines that
    its records are about.  All else on the floor is as it was before."""

    number: int
    engines: frozenset


@dataclass
class ClusterState:
    """`changes` counts the news that changed anything here.  `ledger_news` is the latest,
    or None if it was not of ledgers only."""

    shards: int
    zones: tuple = ()
    reader: object = None
    registry: registries.Registry = field(default_factory=registries.Registry)
    ledgers: dict = field(default_factory=dict)
    changes: int = 0
    ledger_change: LedgerChange | None = None


def apply_update(state, log_state, update):
    """Apply a follower's news; True if anything that routing looks at changed."""
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
    for shard, part in log_state.shards.items():
        if shard == 0:
            state.registry = registries.load(part.checkpoint, state.zones, state.reader)
            registries.replay(state.registry, part.records)
        else:
            state.ledgers[shard] = ledgers.load(part.checkpoint)
            for record in part.records:
                ledgers.apply(state.ledgers[shard], record)


def ledger_of(state, shard):
    found = state.ledgers.get(shard)
    if found is None:
        found = state.ledgers[shard] = ledgers.Ledger()
    return found


def engines_with(state, service, item):
    """Engines that may be given new work for an item (any, for a plain service): none that
    is suspect, unless that leaves a plain service without any."""
    ledger = ledger_of(state, registry_view.shard_of(service, state.shards))
    engines = state.registry.engines
    named = [name for name, e in engines.items() if e["service"] == service]
    if item:
        held = ledger.engines
        named = [n for n in named if item in held.get(n, ()) and ledgers.is_loaded(ledger, n, item)]
    found = [
        engines[name]
        for name in sorted(named)
        if registry_view.usable(state.registry, engines[name])
    ]
    sound = [e for e in found if e["name"] not in ledger.suspects]
    return sound if sound or item else found


def serving_engines(state, names=None):
    """Engines that could serve something by now: plain ones that were reported,
    others with something loaded.  Of those named, or of all."""
    engines, found = state.registry.engines, []
    for name in engines if names is None else names & engines.keys():
        engine = engines[name]
        ledger = ledger_of(state, registry_view.shard_of(engine["service"], state.shards))
        held = ledger.engines.get(engine["name"], {}).values()
        if engine["name"] in ledger.incarnations and (
            not engine["roomMb"] or any(i["state"] == "loaded" for i in held)
        ):
            found.append(engine)
    return found


def incarnation(state, engine):
    """The incarnation last reported of an engine."""
    ledger = ledger_of(state, registry_view.shard_of(engine["service"], state.shards))
    return ledger.incarnations.get(engine["name"], "")
