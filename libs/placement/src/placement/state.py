"""What a placer keeps in memory in addition to the shard's replicated ledger."""

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
    """Timing and size limits of a placer; `config` derives the times from its bounds.

    `call_timeout_ms`: timeout of a call to an engine; `report_interval_ms`: time between polls of
    an engine; `unreachable_ms`: after this time without a response, an engine's last report is
    discarded; `turnMs`: least wait before a new lease holder gives orders; with 0, plans are only
    computed on ticks; `list_interval_ms`: time between readings of the platform's engine list;
    `lagMs`: by how much the content of a report may be older than the request for it;
    `checkpoint_records`: number of records after which the log gets a checkpoint; `max_holds`,
    `max_holds_per_model`: limits on the number of waiting requests."""

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
    """A call to an engine that is in flight; `item` and `order` are empty for a report.
    `expected`: how many orders the engine must have taken before, None for any number."""

    verb: str
    engine: str
    item: str
    order: str
    sent_ms: float
    expected: int | None = None


@dataclass
class PlanState:
    """State of planning.  `tokens`: service -> (tokens in the weight store's bucket, time);
    `plans`: service -> (inputs, plan); `queues`: service -> the (engine, item) still to be loaded;
    `load_ms`: service -> average duration of loads; `refused_ms`: (engine, item) -> when an
    order was refused; `lingering_ms`: order -> since when its load counts as open although its
    engine was removed; `planned_ms`: when plans were last computed."""

    tokens: dict = field(default_factory=dict)
    plans: dict = field(default_factory=dict)
    queues: dict = field(default_factory=dict)
    load_ms: dict = field(default_factory=dict)
    refused_ms: dict = field(default_factory=dict)
    lingering_ms: dict = field(default_factory=dict)
    planned_ms: float = float("-inf")


@dataclass
class WaitQueueState:
    """Waiting requests by id: `since_ms`, when each began to wait; `estimated_ms`, when it was
    first expected to be served."""

    since_ms: dict = field(default_factory=dict)
    estimated_ms: dict = field(default_factory=dict)


@dataclass
class Placer:
    """State of the lease holder of a service shard.

    `held`: the shard's log; `held_before`: whether this node was the previous lease holder too;
    `not_before_ms`: no orders are given before this time; `engines`: name -> EngineView, what is
    known of each engine beyond the ledger's entries; `calls`: id -> PendingCall; `report_count`:
    number of polls so far; `notes`: log lines not yet emitted; `summary_ms`: when the last summary
    of waiting requests was logged; `seen_stamp`: the registry's stamp when what it had dropped was
    last forgotten."""

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
    seen_stamp: int = -1


def append_record(placer, record, then=None):
    """Apply a record to the ledger and append it to the log; `then` is passed to
    `placer.on_durable` once the record is committed."""
    ledgers.apply(placer.ledger, record)
    shard_log.append(placer.held, record, then)
