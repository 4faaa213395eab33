"""The task, the decisions and the state of the router of a routing node (role `counter`)."""

from dataclasses import dataclass, field

from routing.tenants import Credential

__all__ = ["RoutingSettings", "Task", "Attempt", "Done", "KeepWaiting", "Hold", "Router"]


@dataclass(frozen=True)
class RoutingSettings:
    """Settings of the router: durations in ms, ratios as plain numbers."""

    staleMs: float
    ramp_ms: float
    pauseMs: float
    retryRatio: float
    retryWindowMs: float
    attempt_ms: float
    max_waiting: int = 500
    retryAllowance: float = 1.0


@dataclass
class Task:
    """A request that is being routed.

    `attempted` lists the engines of all attempts, `current_engine` is that of the one in flight,
    empty if there is none.  `rank` is the class of the route: wait queues, engines' places and
    loads are divided by it.  `opening` is the start of the prompt.  `tokens` holds the token
    counts that the caller announced, that of the prompt first.  `turn` is the position in the
    lease holder's queue, 0 if it is unknown.  `aimMs` is the target latency, `patience_ms` the
    time after which the caller would give up.  `tenant_rank` is the class of the tenant, None if
    the tenant sets none.
    `credential` is None if no API key is required.  `tenant` names the tenant of the last or next
    attempt, None if there is none.  `awaits_place` and `model_loaded`: the task waits for a place
    here, not in the lease holder's queue for a model.  `from_platform`: came through a platform's
    dialect.
    """

    token: str
    id: str
    service: str
    model: str
    adapter: str
    cls: str
    opening: str
    repeatable: bool
    stream: bool
    end_ms: float
    attempted: list = field(default_factory=list)
    current_engine: str = ""
    waiting: bool = False
    give_up_ms: float = 0.0
    since_ms: float = 0.0
    turn: int = 0
    was_queued: bool = False
    awaits_place: bool = False
    model_loaded: bool = False
    rank: int = 0
    aimMs: float = 0.0
    max_attempts: int = 1 << 30
    may_have_run: bool = False
    attempts_sent: int = 0
    avoid_until_ms: dict = field(default_factory=dict)
    from_platform: bool = False
    tokens: tuple = ()
    patience_ms: float = float("inf")
    credential: Credential | None = None
    tenant: str | None = None
    tenant_rank: int | None = None
    awaiting_quota: bool = False

    @property
    def urgency(self):
        """The class that orders waiting tasks: the tenant's, or else the route's."""
        return self.rank if self.tenant_rank is None else self.tenant_rank


@dataclass(frozen=True)
class Attempt:
    """Decision: make an attempt at an engine.  `end_ms`, on the event loop's monotonic clock, is
    when the attempt must have ended, however late it starts.  `tenant` names the tenant by the
    configuration in force when this was decided."""

    engine: str
    url: str
    timeout_ms: float
    rank: int = 0
    is_retry: bool = False
    end_ms: float = float("inf")
    tenant: str | None = None


@dataclass(frozen=True)
class Done:
    """Decision: the task is over and nothing is left to do."""


@dataclass(frozen=True)
class KeepWaiting:
    """Decision: keep waiting for the attempt in flight."""


@dataclass(frozen=True)
class Hold:
    """Effect: ask the shard's lease holder for a place in its wait queue, or give one back."""

    verb: str
    shard: int
    body: dict


@dataclass
class Router:
    """The state of a node's router.

    `in_flight`: attempts by engine.  `ramp_starts`: (incarnation, start of its ramp) by engine.
    `broken_at_ms`: when an attempt last broke, by engine.  `demand_counts`: requests by service
    and model, not yet reported to the placers.  `known_engines`: (engine, whether it was usable)
    at the last update.  `last_contact_ms`: the last valid response by engine.
    `unreported_failures`: (failed, late) attempts by engine, not yet reported.  `cold_until_ms`:
    until when an engine is cold.  `cold_tokens`: (tokens, time) of the bucket for a cold engine.
    `seen_changes`: the `changes` of the cluster state at the last update.  `pending_notes`: log
    lines not yet taken.  `drain`: the Drain of a node that is being stopped, else None.
    """

    settings: RoutingSettings
    tasks: dict = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)
    ramp_starts: dict = field(default_factory=dict)
    broken_at_ms: dict = field(default_factory=dict)
    retry_budgets: dict = field(default_factory=dict)
    refused: int = 0
    served: int = 0
    retried: int = 0
    resumed: int = 0
    demand_counts: dict = field(default_factory=dict)
    known_engines: dict = field(default_factory=dict)
    cold_until_ms: dict = field(default_factory=dict)
    cold_tokens: dict = field(default_factory=dict)
    last_contact_ms: dict = field(default_factory=dict)
    seen_changes: int = -1
    outcomes: dict = field(default_factory=dict)
    unreported_failures: dict = field(default_factory=dict)
    pending_notes: list = field(default_factory=list)
    last_refusal_note_ms: float = -1e12
    unlogged_refusals: int = 0
    drain: object = None
