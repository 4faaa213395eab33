"""What a node that lets requests in keeps of its tenants, and what it decides."""

from collections import deque
from dataclasses import dataclass, field

from transport.quota_messages import QuotaAsk

from quotas import demand as demands
from quotas import depot_choice
from quotas import settings as quota_settings

__all__ = ["LeaseRequest", "Decision", "Granted", "Lease", "Pending", "Refused", "SentRequest"]
__all__ += ["SpendingState", "TenantQueue", "WaitingRequest"]


@dataclass(frozen=True)
class Granted:
    """The request may go on."""


@dataclass(frozen=True)
class Refused:
    """The request is over its tenant's limit."""

    retry_ms: float


@dataclass(frozen=True)
class Pending:
    """The request waits for a depot's answer."""


@dataclass(frozen=True)
class Decision:
    """What has become of a request that waited; `token` is its own."""

    token: str
    outcome: Granted | Refused


@dataclass(frozen=True)
class LeaseRequest:
    """An ask to be sent to a depot."""

    to: str
    ask: QuotaAsk


@dataclass
class Lease:
    """Tokens that may be spent until `end_ms`, or by requests that had come in at
    `asked_ms`, when they were asked for."""

    tokens: int
    end_ms: float
    requested_ms: float


@dataclass(frozen=True)
class WaitingRequest:
    """A request in line, which came in at `came_ms`."""

    token: str
    arrived_ms: float


@dataclass
class SentRequest:
    """An ask under way; one that is given up may still be answered within its lease, or
    while a request waits that it was sent for."""

    to: str
    sent_ms: float
    wants: tuple
    timed_out: bool = False


@dataclass
class TenantQueue:
    """A tenant at this node.  `asked`: tokens that asks under way are to bring to the line;
    `asked_ms`: when the last one was sent."""

    limit: quota_settings.RateLimit
    turn: int
    queue: deque = field(default_factory=deque)
    leases: list = field(default_factory=list)
    reports: dict = field(default_factory=dict)
    demand: demands.Demand = field(default_factory=demands.Demand)
    tokens_requested: int = 0
    last_request_ms: float = -1e12
    granted: int = 0
    spent: int = 0
    refused: int = 0


@dataclass
class SpendingState:
    """`number`: that of the last ask, begun anywhere, so that what was meant for an earlier
    life of this node is told apart."""

    node: str
    settings: quota_settings.QuotaSettings
    number: int = 0
    depots: depot_choice.Depots = field(default_factory=depot_choice.Depots)
    tenants: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    queued: set = field(default_factory=set)
