"""The granting side at a depot (log node): its part of each tenant's bucket, leased to other
nodes.

Nothing is stored durably.  A new bucket holds the tokens due since the time from which this depot
may grant, so dropping a full bucket loses no tokens.
"""

from dataclasses import dataclass, field

from transport.quota_messages import QuotaReply, TokenGrant

from quotas import bucket as buckets
from quotas import grant_shares
from quotas import settings as quota_settings

__all__ = ["GrantingState", "TenantBucket", "on_request"]

# The most buckets that are kept; each takes about half a kilobyte.
_MAX_BUCKETS = 1 << 14
# The shortest time between two searches for buckets that can be dropped.
_CLEANUP_INTERVAL_MS = 1000.0
# Tokens are leased ahead of demand only while the bucket holds more than this fraction.
_RESERVED_FRACTION = 0.5
# The longest wait that a reply gives to requests for which there was no token.
_MAX_QUEUE_MS = 500.0


@dataclass
class TenantBucket:
    """This depot's bucket for a tenant, for the newest version of the limit that it has seen.
    `next_queued_ms`: when the next token is due for which no request was told to wait.  `given`
    and `short` count the tokens granted, and those needed but not granted."""

    limit: quota_settings.RateLimit
    bucket: buckets.Bucket
    next_queued_ms: float = 0.0
    given: int = 0
    short: int = 0


@dataclass
class GrantingState:
    """`share`: the part of each limit for which the buckets are sized; `last_cleanup_ms`: when
    buckets to drop were last searched for."""

    settings: quota_settings.QuotaSettings
    share: grant_shares.Share | None = None
    tenants: dict = field(default_factory=dict)
    last_cleanup_ms: float = -1e12


def on_request(state, now_ms, request, share):
    """The QuotaReply for a QuotaRequest; `share` is this depot's Share, or None if it may not
    grant."""
    if share is None:
        return QuotaReply(request.number, False, ())
    if share != state.share:
        _apply_share(state, now_ms, share)
    return QuotaReply(
        request.number, True, tuple(_grant(state, now_ms, w, share) for w in request.demands)
    )


def _apply_share(state, now_ms, share):
    """Resize the buckets for another share.  Buckets from before this depot joined anew are
    dropped."""
    if state.share is not None and share.since_ms != state.share.since_ms:
        state.tenants.clear()
    state.share = share
    for entry in state.tenants.values():
        part = _own_part(state.settings, entry.limit, share)
        entry.bucket = buckets.resize(entry.bucket, now_ms, *part)


def _grant(state, now_ms, demand, share):
    """The TokenGrant for one tenant: tokens for waiting requests first, then some ahead of
    demand."""
    entry = _current_bucket(state, now_ms, demand, share)
    if entry is None:
        return TokenGrant(0, 0.0, _MAX_QUEUE_MS)
    needed = min(max(0, demand.needed), buckets.whole_tokens(entry.bucket))
    entry.bucket = buckets.draw(entry.bucket, needed)
    spare = entry.bucket.tokens - _RESERVED_FRACTION * entry.bucket.capacity
    given = needed + max(0, min(demand.ahead, int(spare)))
    entry.bucket = buckets.draw(entry.bucket, given - needed)
    entry.given += given
    wait_ms = 0.0
    if needed < demand.needed:
        entry.short += demand.needed - needed
        wait_ms = _schedule_return(entry, now_ms, demand.needed - needed)
    return TokenGrant(given, entry.bucket.tokens, wait_ms)


def _schedule_return(entry, now_ms, count):
    """The wait in ms until the next free token is due, for a request that lacked `count` tokens;
    such requests are spread over the tokens to come."""
    next_ms = now_ms + buckets.ms_until_next(entry.bucket)
    latest_ms = max(next_ms, now_ms + _MAX_QUEUE_MS)
    return_ms = min(max(entry.next_queued_ms, next_ms), latest_ms)
    entry.next_queued_ms = min(latest_ms, return_ms + count / max(entry.bucket.rate_per_ms, 1e-9))
    return max(1.0, return_ms - now_ms)


def _current_bucket(state, now_ms, demand, share):
    """The tenant's bucket as it is now; None if there is no room for another one."""
    limit = quota_settings.RateLimit(demand.tenant, demand.version, demand.ratePerS, demand.burst)
    entry = state.tenants.get(demand.tenant)
    if entry is None:
        if len(state.tenants) >= _MAX_BUCKETS and not _make_room(state, now_ms):
            return None
        entry = state.tenants[demand.tenant] = _new_bucket(state, now_ms, limit, share)
    if limit.version > entry.limit.version:
        entry.limit = limit
    entry.bucket = buckets.resize(
        entry.bucket, now_ms, *_own_part(state.settings, entry.limit, share)
    )
    return entry


def _new_bucket(state, now_ms, limit, share):
    """A bucket with the tokens due since the time from which this depot may grant."""
    capacity, rate_per_ms = _own_part(state.settings, limit, share)
    empty = buckets.Bucket(0.0, min(now_ms, share.since_ms), capacity, rate_per_ms)
    return TenantBucket(limit, buckets.refill(empty, now_ms))


def _own_part(settings, limit, share):
    """This depot's part of a limit: (capacity, tokens per ms).  The capacity is at least one
    token."""
    capacity = max(1.0, quota_settings.bucket_capacity(settings, limit.burst) / share.parts)
    return capacity, limit.rate_per_s / 1000 / share.parts


def _make_room(state, now_ms):
    """Drop full buckets, unless that was tried just before; returns whether there were any."""
    if now_ms - state.last_cleanup_ms < _CLEANUP_INTERVAL_MS:
        return False
    state.last_cleanup_ms = now_ms
    return _drop_full_buckets(state, now_ms)


def _drop_full_buckets(state, now_ms):
    """Drop the full buckets, since a new bucket in their place would be full too; returns whether
    there were any."""
    full = [name for name, entry in state.tenants.items() if _is_full(entry, now_ms)]
    for name in full:
        del state.tenants[name]
    return bool(full)


def _is_full(entry, now_ms):
    """Whether a tenant's bucket is full by now."""
    refilled = buckets.refill(entry.bucket, now_ms)
    return refilled.tokens >= refilled.capacity
