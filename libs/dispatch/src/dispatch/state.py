"""What a placer keeps in memory beside the shard's replicated ledger."""

from dataclasses import dataclass, field

from logbook import holder

from dispatch import demand as demands
from dispatch import ledger as ledgers

__all__ = ["Placer", "Terms", "Report", "log"]


@dataclass(frozen=True)
class Terms:
    """All in ms, ratios of the bounds in config."""

    callMs: float
    reportMs: float
    darkMs: float
    turnMs: float = 0.0
    listMs: float = 1000.0
    lagMs: float = 0.0
    checkpointRecords: int = 2000
    holdsMax: int = 2000
    holdsPerModel: int = 200


@dataclass(frozen=True)
class Report:
    incarnation: str
    roomMb: int
    places: int
    items: dict
    askedMs: float


@dataclass
class Placer:
    shard: int
    epoch: int
    held: holder.Held
    own: bool = False
    ledger: ledgers.Ledger = field(default_factory=ledgers.Ledger)
    notBeforeMs: float = float("inf")
    reports: dict = field(default_factory=dict)
    polls: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
    callEndMs: dict = field(default_factory=dict)
    doubtMs: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)
    holdsMs: dict = field(default_factory=dict)
    hopeMs: dict = field(default_factory=dict)
    plans: dict = field(default_factory=dict)
    queues: dict = field(default_factory=dict)
    loadMs: dict = field(default_factory=dict)
    refusedMs: dict = field(default_factory=dict)
    lingerMs: dict = field(default_factory=dict)
    againMs: dict = field(default_factory=dict)
    changedMs: dict = field(default_factory=dict)
    demand: demands.Demand = field(default_factory=demands.Demand)


def log(p, record, then=None):
    """Apply a record to our own ledger and append it; `then` waits for DURABLE."""
    ledgers.apply(p.ledger, record)
    holder.append(p.held, record, then)
