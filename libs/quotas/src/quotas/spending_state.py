"""What a node that lets requests in keeps of its tenants, and what it decides."""

from collections import deque
from dataclasses import dataclass, field

from transport.quota_messages import QuotaRequest

from quotas import demand as demands
from quotas import depot_choice
from quotas import terms as quota_terms

__all__ = ["Asking", "Decision", "Granted", "Lease", "Pending", "Refused", "SentAsk"]
__all__ += ["Spending", "TenantLine", "Waiting"]


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
class Asking:
    """An ask to be sent to a depot."""

    to: str
    ask: QuotaRequest


@dataclass
class Lease:
    """Tokens that may be spent until `end_ms`, or by requests that had come in at
    `asked_ms`, when they were asked for."""

    tokens: int
    end_ms: float
    asked_ms: float


@dataclass(frozen=True)
class Waiting:
    """A request in line, which came in at `came_ms`."""

    token: str
    came_ms: float


@dataclass
class SentAsk:
    """An ask under way; one that is given up may still be answered within its lease, or
    while a request waits that it was sent for."""

    to: str
    sent_ms: float
    wants: tuple
    given_up: bool = False


@dataclass
class TenantLine:
    """A tenant at this node.  `asked`: tokens that asks under way are to bring to the line;
    `asked_ms`: when the last one was sent."""

    limit: quota_terms.Limit
    turn: int
    line: deque = field(default_factory=deque)
    leases: list = field(default_factory=list)
    told: dict = field(default_factory=dict)
    demand: demands.Demand = field(default_factory=demands.Demand)
    asked: int = 0
    asked_ms: float = -1e12
    granted: int = 0
    spent: int = 0
    refused: int = 0


@dataclass
class Spending:
    """`number`: that of the last ask, begun anywhere, so that what was meant for an earlier
    life of this node is told apart."""

    node: str
    terms: quota_terms.Terms
    number: int = 0
    depots: depot_choice.Depots = field(default_factory=depot_choice.Depots)
    tenants: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    lined: set = field(default_factory=set)
