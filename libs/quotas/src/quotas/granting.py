"""The granting side at a depot (log node): its part of each tenant's bucket, leased to other
nodes.

Nothing is stored durably.  A new bucket holds what would have been filled in since this depot may
grant, so a bucket that is dropped while full loses nothing.
"""

from dataclasses import dataclass, field

from transport.quota_messages import QuotaReply, TokenGrant

from quotas import bucket as buckets
from quotas import grant_shares
from quotas import settings as quota_settings

__all__ = ["GrantingState", "TenantBucket", "on_request"]

# Each takes about half a kilobyte.
_MAX_BUCKETS = 1 << 14
# The shortest time between two searches for buckets that can be dropped.
_CLEANUP_INTERVAL_MS = 1000.0
# Tokens are leased ahead of demand only while the bucket holds more than this fraction.
_RESERVED_FRACTION = 0.5
# The longest wait that is suggested to requests that found no token.
_MAX_QUEUE_MS = 500.0


@dataclass
class TenantBucket:
    """This depot's bucket for a tenant, for the newest version of the limit that it has seen.
    `next_queued_ms`: when the next token comes that isn't promised yet to a request that found
    none."""

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
    """The QuotaReply for a QuotaRequest; `share` is this depot's part, None if it may not grant."""
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
    for held in state.tenants.values():
        part = _own_part(state.settings, held.limit, share)
        held.bucket = buckets.resize(held.bucket, now_ms, *part)


def _grant(state, now_ms, want, share):
    """The TokenGrant for one tenant: tokens for waiting requests first, then some ahead of
    demand."""
    held = _current_bucket(state, now_ms, want, share)
    if held is None:
        return TokenGrant(0, 0.0, _MAX_QUEUE_MS)
    needed = min(max(0, want.needed), buckets.whole_tokens(held.bucket))
    held.bucket = buckets.draw(held.bucket, needed)
    spare = held.bucket.tokens - _RESERVED_FRACTION * held.bucket.capacity
    given = needed + max(0, min(want.ahead, int(spare)))
    held.bucket = buckets.draw(held.bucket, given - needed)
    held.given += given
    wait_ms = 0.0
    if needed < want.needed:
        held.short += want.needed - needed
        wait_ms = _schedule_return(held, now_ms, want.needed - needed)
    return TokenGrant(given, held.bucket.tokens, wait_ms)


def _schedule_return(held, now_ms, count):
    """The wait until the next token for a request that found none; such requests are spread over
    the tokens to come."""
    next_ms = now_ms + buckets.ms_until_next(held.bucket)
    latest_ms = max(next_ms, now_ms + _MAX_QUEUE_MS)
    return_ms = min(max(held.next_queued_ms, next_ms), latest_ms)
    held.next_queued_ms = min(latest_ms, return_ms + count / max(held.bucket.rate_per_ms, 1e-9))
    return max(1.0, return_ms - now_ms)


def _current_bucket(state, now_ms, want, share):
    """The tenant's bucket as it is now; None if there is no room for another one."""
    limit = quota_settings.RateLimit(want.tenant, want.version, want.ratePerS, want.burst)
    held = state.tenants.get(want.tenant)
    if held is None:
        if len(state.tenants) >= _MAX_BUCKETS and not _make_room(state, now_ms):
            return None
        held = state.tenants[want.tenant] = _new_bucket(state, now_ms, limit, share)
    if limit.version > held.limit.version:
        held.limit = limit
    held.bucket = buckets.resize(held.bucket, now_ms, *_own_part(state.settings, held.limit, share))
    return held


def _new_bucket(state, now_ms, limit, share):
    """A bucket filled since this depot may grant."""
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
    """Drop the full buckets, which would be full again when made anew; returns whether there were
    any."""
    full = [name for name, held in state.tenants.items() if _is_full(held, now_ms)]
    for name in full:
        del state.tenants[name]
    return bool(full)


def _is_full(held, now_ms):
    now = buckets.refill(held.bucket, now_ms)
    return now.tokens >= now.capacity
