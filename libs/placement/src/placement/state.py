"""What a placer keeps in memory beside the shard's replicated ledger."""

from dataclasses import dataclass, field

from replication import shard_log

from placement import demand as demands
from placement import ledger as ledgers
from placement import watching

__all__ = ["Placer", "Terms", "Report", "PendingCall", "Poll", "log"]


@dataclass(frozen=True)
class Terms:
    """All in ms, ratios of the bounds in config."""

    call_ms: float
    report_ms: float
    dark_ms: float
    turnMs: float = 0.0
    list_ms: float = 1000.0
    lagMs: float = 0.0
    checkpoint_records: int = 2000
    holds_max: int = 2000
    holds_per_model: int = 200


@dataclass(frozen=True)
class Report:
    """What an engine told of itself.  `orders`: how many it has taken, None if it doesn't
    count them; `running`: requests that it runs or that wait at it, None if it doesn't tell."""

    incarnation: str
    roomMb: int
    places: int
    items: dict
    asked_ms: float
    busy: bool = False
    orders: int | None = None
    running: int | None = None


@dataclass(frozen=True)
class PendingCall:
    """A call to an engine that hasn't ended; `item` and `order` are empty for a report.
    `expected`: the count of orders that the engine is to have taken, None if any."""

    verb: str
    engine: str
    item: str
    order: str
    asked_ms: float
    expected: int | None = None


@dataclass(frozen=True)
class Poll:
    """The last call for an engine's report; each has an id of its own, so that an answer
    that comes after the next was made is judged by the time of its own call."""

    id: str
    asked_ms: float


@dataclass
class Placer:
    shard: int
    epoch: int
    held: shard_log.ShardLog
    own: bool = False
    ledger: ledgers.Ledger = field(default_factory=ledgers.Ledger)
    not_before_ms: float = float("inf")
    reports: dict = field(default_factory=dict)
    polls: dict = field(default_factory=dict)
    report_count: int = 0
    calls: dict = field(default_factory=dict)
    call_end_ms: dict = field(default_factory=dict)
    doubt_ms: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)
    holds_ms: dict = field(default_factory=dict)
    hope_ms: dict = field(default_factory=dict)
    plans: dict = field(default_factory=dict)
    queues: dict = field(default_factory=dict)
    loadMs: dict = field(default_factory=dict)
    refused_ms: dict = field(default_factory=dict)
    linger_ms: dict = field(default_factory=dict)
    planned_ms: float = float("-inf")
    again_ms: dict = field(default_factory=dict)
    changed_ms: dict = field(default_factory=dict)
    order_counts: dict = field(default_factory=dict)
    count_doubt_ms: dict = field(default_factory=dict)
    replaced_until_ms: dict = field(default_factory=dict)
    demand: demands.Demand = field(default_factory=demands.Demand)
    watch: watching.Watch = field(default_factory=watching.Watch)
    notes: list = field(default_factory=list)
    summary_ms: float = float("-inf")


def log(p, record, then=None):
    """Apply a record to our own ledger and append it; `then` waits for DURABLE."""
    ledgers.apply(p.ledger, record)
    shard_log.append(p.held, record, then)
