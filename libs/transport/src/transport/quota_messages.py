"""Requests of counters for tokens of tenants' rate limits, and the depots' replies.

Each depot keeps token buckets for its share of every tenant's rate limit; counters take tokens
from them in advance and spend them on requests.
"""

from dataclasses import dataclass

__all__ = ["QuotaReply", "QuotaRequest", "TokenDemand", "TokenGrant"]


@dataclass(frozen=True)
class TokenDemand:
    """Tokens requested for a tenant: `needed` for waiting requests, `ahead` for later ones.

    `ratePerS` and `burst` are the tenant's limit in the configuration of this `version`, which
    the requesting node follows.
    """

    tenant: str
    version: int
    ratePerS: float
    burst: float
    needed: int
    ahead: int


@dataclass(frozen=True)
class QuotaRequest:
    """A request for tokens of several tenants.

    `number` is chosen by the requesting node and copied into the reply.  Without demands the
    request only probes whether the depot hands out tokens.
    """

    number: int
    demands: tuple[TokenDemand, ...]


@dataclass(frozen=True)
class TokenGrant:
    """The reply to a TokenDemand: `given` tokens; `left` remain in the depot's bucket.

    `wait_ms`: the delay before the next request if fewer tokens were given than needed.
    """

    given: int
    left: float
    wait_ms: float


@dataclass(frozen=True)
class QuotaReply:
    """The reply to a QuotaRequest, in the order of its demands.

    `granting` is false, and `given` empty, while the depot may not hand out tokens.
    """

    number: int
    granting: bool
    given: tuple[TokenGrant, ...]
