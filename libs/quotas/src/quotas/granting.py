"""The depot's side: its part of every tenant's bucket, and what it gives out of it.

Nothing is durable.  A bucket that is seen for the first time holds what would have been
filled in since this depot may grant, so one that was dropped while full loses nothing.
"""

from dataclasses import dataclass, field

from transport.quota_messages import QuotaReply, TokenGrant

from quotas import bucket as buckets
from quotas import standing
from quotas import terms as quota_terms

__all__ = ["Granting", "TenantBucket", "on_ask"]

# Half a kilobyte each.
_MOST_BUCKETS = 1 << 14
# How often buckets are looked through for some to drop.
_LOOK_EVERY_MS = 1000.0
# Tokens are leased ahead only out of what lies above this part of a bucket.
_KEPT_FOR_WAITING = 0.5
# How far asks that find nothing are spread over the tokens to come.
_LONGEST_QUEUE_MS = 500.0


@dataclass
class TenantBucket:
    """This depot's bucket for a tenant, by the highest version of the limit it was told.
    `queue_ms`: when the token comes that an ask which found nothing may come back for."""

    limit: quota_terms.Limit
    bucket: buckets.Bucket
    queue_ms: float = 0.0
    given: int = 0
    short: int = 0


@dataclass
class Granting:
    """`share`: the part of every budget that the buckets are made for; `looked_ms`: when
    buckets to drop were last looked for."""

    terms: quota_terms.Terms
    share: standing.Share | None = None
    tenants: dict = field(default_factory=dict)
    looked_ms: float = -1e12


def on_ask(state, now_ms, ask, share):
    """The QuotaReply to a QuotaRequest; `share` is this depot's part, None if it may not grant."""
    if share is None:
        return QuotaReply(ask.number, False, ())
    if share != state.share:
        _reshare(state, now_ms, share)
    return QuotaReply(ask.number, True, tuple(_give(state, now_ms, w, share) for w in ask.wants))


def _reshare(state, now_ms, share):
    """Another part from now on; none of what was held before this depot joined anew."""
    if state.share is not None and share.since_ms != state.share.since_ms:
        state.tenants.clear()
    state.share = share
    for held in state.tenants.values():
        part = _part(state.terms, held.limit, share)
        held.bucket = buckets.resize(held.bucket, now_ms, *part)


def _give(state, now_ms, want, share):
    held = _held(state, now_ms, want, share)
    if held is None:
        return TokenGrant(0, 0.0, _LONGEST_QUEUE_MS)
    needed = min(max(0, want.needed), buckets.whole(held.bucket))
    held.bucket = buckets.draw(held.bucket, needed)
    spare = held.bucket.tokens - _KEPT_FOR_WAITING * held.bucket.capacity
    given = needed + max(0, min(want.ahead, int(spare)))
    held.bucket = buckets.draw(held.bucket, given - needed)
    held.given += given
    wait_ms = 0.0
    if needed < want.needed:
        held.short += want.needed - needed
        wait_ms = _queue(held, now_ms, want.needed - needed)
    return TokenGrant(given, held.bucket.tokens, wait_ms)


def _queue(held, now_ms, count):
    """When to come back: the asks that find nothing are spread over the tokens to come."""
    next_ms = now_ms + buckets.until_next_ms(held.bucket)
    latest_ms = max(next_ms, now_ms + _LONGEST_QUEUE_MS)
    told_ms = min(max(held.queue_ms, next_ms), latest_ms)
    held.queue_ms = min(latest_ms, told_ms + count / max(held.bucket.rate_per_ms, 1e-9))
    return max(1.0, told_ms - now_ms)


def _held(state, now_ms, want, share):
    """The tenant's bucket as it is now; None if there is no room for another one."""
    told = quota_terms.Limit(want.tenant, want.version, want.ratePerS, want.burst)
    held = state.tenants.get(want.tenant)
    if held is None:
        if len(state.tenants) >= _MOST_BUCKETS and not _make_room(state, now_ms):
            return None
        held = state.tenants[want.tenant] = _first(state, now_ms, told, share)
    if told.version > held.limit.version:
        held.limit = told
    held.bucket = buckets.resize(held.bucket, now_ms, *_part(state.terms, held.limit, share))
    return held


def _first(state, now_ms, limit, share):
    capacity, rate_per_ms = _part(state.terms, limit, share)
    empty = buckets.Bucket(0.0, min(now_ms, share.since_ms), capacity, rate_per_ms)
    return TenantBucket(limit, buckets.fill(empty, now_ms))


def _part(terms, limit, share):
    """This depot's part of a limit: (capacity, rate a ms).  A token fits in any bucket."""
    capacity = max(1.0, quota_terms.capacity(terms, limit.burst) / share.parts)
    return capacity, limit.rate_per_s / 1000 / share.parts


def _make_room(state, now_ms):
    """Drop what may be dropped, unless that was done just before; say whether there was any."""
    if now_ms - state.looked_ms < _LOOK_EVERY_MS:
        return False
    state.looked_ms = now_ms
    return _drop_full(state, now_ms)


def _drop_full(state, now_ms):
    """Drop the full buckets, which are the same when made anew; say whether there were any."""
    full = [name for name, held in state.tenants.items() if _is_full(held, now_ms)]
    for name in full:
        del state.tenants[name]
    return bool(full)


def _is_full(held, now_ms):
    now = buckets.fill(held.bucket, now_ms)
    return now.tokens >= now.capacity
