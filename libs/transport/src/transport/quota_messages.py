"""How tenants' tokens are asked for and given out, in few bytes."""

from dataclasses import dataclass

__all__ = ["QuotaReply", "QuotaRequest", "TokenDemand", "TokenGrant"]


@dataclass(frozen=True)
class TokenDemand:
    """Tokens for a tenant: `needed` by requests that wait, `ahead` for those to come.  The
    limit is that of the configuration's `version` which the asker follows."""

    tenant: str
    version: int
    ratePerS: float
    burst: float
    needed: int
    ahead: int


@dataclass(frozen=True)
class QuotaRequest:
    """`number` is the asker's own; without wants it only asks whether the depot gives any."""

    number: int
    wants: tuple[TokenDemand, ...]


@dataclass(frozen=True)
class TokenGrant:
    """`left` are in the bucket still; `wait_ms`: when to come back if too few were given."""

    given: int
    left: float
    wait_ms: float


@dataclass(frozen=True)
class QuotaReply:
    """The answer to an ask, in the order of its wants; none if the depot may not give any."""

    number: int
    granting: bool
    given: tuple[TokenGrant, ...]
