"""The state and the decisions of a node that spends leased tokens."""

from collections import deque
from dataclasses import dataclass, field

from transport.quota_messages import QuotaRequest

from quotas import demand as demands
from quotas import depot_choice
from quotas import settings as quota_settings

__all__ = ["LeaseRequest", "Decision", "Granted", "Lease", "Pending", "Refused", "SentRequest"]
__all__ += ["SpendingState", "TenantQueue", "WaitingRequest"]


@dataclass(frozen=True)
class Granted:
    """The request is admitted."""


@dataclass(frozen=True)
class Refused:
    """The request exceeds its tenant's limit; a token is due in `retry_ms`."""

    retry_ms: float


@dataclass(frozen=True)
class Pending:
    """The request waits for a depot's answer."""


@dataclass(frozen=True)
class Decision:
    """The outcome of a request that waited; `token` identifies the request."""

    token: str
    outcome: Granted | Refused


@dataclass(frozen=True)
class LeaseRequest:
    """A request for tokens, to be sent to a depot."""

    to: str
    message: QuotaRequest


@dataclass
class Lease:
    """Tokens that may be spent until `end_ms`, or later by requests that had arrived at
    `requested_ms`, when the lease was requested."""

    tokens: int
    end_ms: float
    requested_ms: float


@dataclass(frozen=True)
class WaitingRequest:
    """A queued request; `token` identifies it."""

    token: str
    arrived_ms: float


@dataclass
class SentRequest:
    """A request for tokens that is in flight.  After a timeout its answer is still used until the
    lease would end, and while a request still waits that had arrived before it was sent."""

    to: str
    sent_ms: float
    wants: tuple
    timed_out: bool = False


@dataclass
class TenantQueue:
    """A tenant at this node.  `tokens_requested`: tokens in flight for queued requests;
    `last_request_ms`: when the last request for them was sent; `turn`: which depot is next;
    `reports`: the last DepotReport of each depot."""

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
    """`number` is that of the last request for tokens.  It starts at a random number, so that
    answers to an earlier incarnation of this node don't match."""

    node: str
    settings: quota_settings.QuotaSettings
    number: int = 0
    depots: depot_choice.Depots = field(default_factory=depot_choice.Depots)
    tenants: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    queued: set = field(default_factory=set)
