"""The guarantee on tenants' rate limits, and the quantities derived from it.

In each window, the requests of a tenant that are both sent and run in it number at most
(rate x window + burst) x (1 + overrun) + allowance.  Half of the overrun and of the
allowance is a margin; the other half covers leases and larger buckets.
"""

from dataclasses import dataclass

__all__ = ["RateLimit", "QuotaSettings", "max_requests", "bucket_capacity", "lease_ms"]

_MIN_LEASE_MS = 50.0


@dataclass(frozen=True)
class QuotaSettings:
    """`quorum_timeout_ms`: how long a depot goes on granting after the last freshness mark of a
    majority, and how long a new member waits.  `answer_timeout_ms`: how long a node waits for a
    depot."""

    window_ms: float
    overrun: float
    allowance: float
    quorum_timeout_ms: float
    answer_timeout_ms: float


@dataclass(frozen=True)
class RateLimit:
    """A tenant's limit in one version of the configuration."""

    tenant: str
    version: int
    rate_per_s: float
    burst: float


def lease_ms(settings):
    """How long leased tokens may be spent, counted from before they were requested."""
    return max(_MIN_LEASE_MS, settings.overrun * settings.window_ms / 2)


def bucket_capacity(settings, burst):
    """The capacity of a tenant's bucket, over all depots."""
    return burst + (settings.overrun * burst + settings.allowance) / 2


def max_requests(settings, rate_per_s, burst):
    """The most requests that may be sent and run within one window."""
    allowed = rate_per_s * settings.window_ms / 1000 + burst
    return allowed * (1 + settings.overrun) + settings.allowance
