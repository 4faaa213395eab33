"""Requests of counters for rate-limit tokens of tenants, and the depots' replies.

Each depot keeps token buckets for its share of every tenant's rate limit; counters take tokens
from them in advance and spend them on requests.
"""

from dataclasses import dataclass

__all__ = ["QuotaReply", "QuotaRequest", "TokenDemand", "TokenGrant"]


@dataclass(frozen=True)
class TokenDemand:
    """Tokens wanted for a tenant: `needed` for requests that wait now, `ahead` for later ones.

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
    request only asks whether the depot hands out tokens at all.
    """

    number: int
    demands: tuple[TokenDemand, ...]


@dataclass(frozen=True)
class TokenGrant:
    """The reply to one demand: `given` tokens, with `left` still in the depot's bucket.

    `wait_ms`: the delay after which to ask again if fewer were given than needed.
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
