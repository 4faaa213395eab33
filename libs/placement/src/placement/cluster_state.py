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
    ledger_news: LedgerChange | None = None


def apply_update(floor, book, news):
    """Apply a follower's news; True if anything that routing looks at changed."""
    floor.changes += news.rebuilt or bool(news.sections)
    floor.ledger_news = None
    if news.rebuilt:
        _rebuild(floor, book)
        return True
    changes, engines = [], set()
    for section in news.sections:
        if section.kind != state_machine.RECORDS:
            continue
        if section.shard == 0:
            changes += section.records
        for record in section.records if section.shard else ():
            engines.add(ledgers.apply(ledger_of(floor, section.shard), record))
    if not changes:
        floor.ledger_news = LedgerChange(floor.changes, frozenset(engines - {None}))
    registries.replay(floor.registry, changes)
    return bool(news.sections)


def _rebuild(floor, book):
    floor.registry = registries.Registry(zonesKnown=floor.zones, reader=floor.reader)
    floor.ledgers = {}
    for shard, part in book.shards.items():
        if shard == 0:
            floor.registry = registries.load(part.checkpoint, floor.zones, floor.reader)
            registries.replay(floor.registry, part.records)
        else:
            floor.ledgers[shard] = ledgers.load(part.checkpoint)
            for record in part.records:
                ledgers.apply(floor.ledgers[shard], record)


def ledger_of(floor, shard):
    found = floor.ledgers.get(shard)
    if found is None:
        found = floor.ledgers[shard] = ledgers.Ledger()
    return found


def engines_with(floor, service, item):
    """Engines that may be given new work for an item (any, for a plain service): none that
    is suspect, unless that leaves a plain service without any."""
    ledger = ledger_of(floor, registry_view.shard_of(service, floor.shards))
    engines = floor.registry.engines
    named = [name for name, e in engines.items() if e["service"] == service]
    if item:
        held = ledger.engines
        named = [n for n in named if item in held.get(n, ()) and ledgers.is_loaded(ledger, n, item)]
    found = [
        engines[name]
        for name in sorted(named)
        if registry_view.usable(floor.registry, engines[name])
    ]
    sound = [e for e in found if e["name"] not in ledger.suspects]
    return sound if sound or item else found


def serving_engines(floor, names=None):
    """Engines that could serve something by now: plain ones that were reported,
    others with something loaded.  Of those named, or of all."""
    engines, found = floor.registry.engines, []
    for name in engines if names is None else names & engines.keys():
        engine = engines[name]
        ledger = ledger_of(floor, registry_view.shard_of(engine["service"], floor.shards))
        held = ledger.engines.get(engine["name"], {}).values()
        if engine["name"] in ledger.incarnations and (
            not engine["roomMb"] or any(i["state"] == "loaded" for i in held)
        ):
            found.append(engine)
    return found


def incarnation(floor, engine):
    """The incarnation last reported of an engine."""
    ledger = ledger_of(floor, registry_view.shard_of(engine["service"], floor.shards))
    return ledger.incarnations.get(engine["name"], "")
