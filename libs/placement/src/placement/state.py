"""What a placer keeps in memory beside the shard's replicated ledger."""

from dataclasses import dataclass, field

from replication import shard_log

from placement import attempt_outcomes
from placement import demand as demands
from placement import ledger as ledgers

__all__ = [
    "WaitQueueState",
    "PendingCall",
    "Placer",
    "PlanState",
    "PlacerSettings",
    "append_record",
]


@dataclass(frozen=True)
class PlacerSettings:
    """All in ms, ratios of the bounds in config."""

    call_timeout_ms: float
    report_interval_ms: float
    unreachable_ms: float
    turnMs: float = 0.0
    list_interval_ms: float = 1000.0
    lagMs: float = 0.0
    checkpoint_records: int = 2000
    max_holds: int = 2000
    max_holds_per_model: int = 200


@dataclass(frozen=True)
class PendingCall:
    """A call to an engine that hasn't ended; `item` and `order` are empty for a report.
    `expected`: the count of orders that the engine is to have taken, None if any."""

    verb: str
    engine: str
    item: str
    order: str
    sent_ms: float
    expected: int | None = None


@dataclass
class PlanState:
    """`tokens`: service -> (loads that the store bears now, at); `plans`: service -> (inputs,
    plan); `queues`: service -> (engine, item) still to be loaded; `load_ms`: service -> how
    long loads have been taking; `refused_ms`: (engine, item) -> when an order was refused;
    `lingering_ms`: order -> since when its load is counted on an engine that is gone."""

    tokens: dict = field(default_factory=dict)
    plans: dict = field(default_factory=dict)
    queues: dict = field(default_factory=dict)
    load_ms: dict = field(default_factory=dict)
    refused_ms: dict = field(default_factory=dict)
    lingering_ms: dict = field(default_factory=dict)
    planned_ms: float = float("-inf")


@dataclass
class WaitQueueState:
    """Of callers who wait: `since_ms` by id, and `hope_ms`, when each was told to be served."""

    since_ms: dict = field(default_factory=dict)
    estimated_ms: dict = field(default_factory=dict)


@dataclass
class Placer:
    """The holder of a service's shard.  `engines`: name -> EngineView, what is known of each
    engine beside the ledger's entries; `calls`: id -> PendingCall; `own`: whether this node
    held the shard before as well."""

    shard: int
    epoch: int
    held: shard_log.ShardLog
    held_before: bool = False
    ledger: ledgers.Ledger = field(default_factory=ledgers.Ledger)
    not_before_ms: float = float("inf")
    engines: dict = field(default_factory=dict)
    demand: demands.Demand = field(default_factory=demands.Demand)
    plan: PlanState = field(default_factory=PlanState)
    wait_queue: WaitQueueState = field(default_factory=WaitQueueState)
    calls: dict = field(default_factory=dict)
    report_count: int = 0
    outcome_history: attempt_outcomes.OutcomeHistory = field(
        default_factory=attempt_outcomes.OutcomeHistory
    )
    notes: list = field(default_factory=list)
    summary_ms: float = float("-inf")


def append_record(placer, record, then=None):
    """Apply a record to our own ledger and append it; `then` waits for DURABLE."""
    ledgers.apply(placer.ledger, record)
    shard_log.append(placer.held, record, then)
