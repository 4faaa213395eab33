"""A token bucket: pure functions over an immutable value."""

from dataclasses import dataclass

__all__ = ["Bucket", "draw", "refill", "resize", "whole_tokens", "ms_until_next"]

# Tolerance for rounding when whole tokens are counted.
_ROUNDING = 1e-6
_MAX_WAIT_MS = 60_000.0


@dataclass(frozen=True)
class Bucket:
    """A bucket that held `tokens` tokens at `filled_ms`."""

    tokens: float
    filled_ms: float
    capacity: float
    rate_per_ms: float


def refill(bucket, now_ms):
    """The bucket as it is now; a clock that jumps back changes nothing."""
    elapsed_ms = max(0.0, now_ms - bucket.filled_ms)
    tokens = min(bucket.capacity, bucket.tokens + elapsed_ms * bucket.rate_per_ms)
    return Bucket(tokens, bucket.filled_ms + elapsed_ms, bucket.capacity, bucket.rate_per_ms)


def resize(bucket, now_ms, capacity, rate_per_ms):
    """The bucket with another capacity and rate from now on.  Tokens above the new capacity are
    lost, none are added."""
    if (bucket.capacity, bucket.rate_per_ms) == (capacity, rate_per_ms):
        return refill(bucket, now_ms)
    before = refill(bucket, now_ms)
    return Bucket(min(before.tokens, capacity), before.filled_ms, capacity, rate_per_ms)


def whole_tokens(bucket):
    """The number of whole tokens in the bucket."""
    return int(bucket.tokens + _ROUNDING)


def draw(bucket, count):
    """The bucket after `count` tokens were taken, which must be at most `whole_tokens`."""
    left = max(0.0, bucket.tokens - count)
    return Bucket(left, bucket.filled_ms, bucket.capacity, bucket.rate_per_ms)


def ms_until_next(bucket):
    """The milliseconds from `filled_ms` until there is a whole token; 0 if there is one."""
    missing = 1.0 - bucket.tokens
    if missing <= _ROUNDING:
        return 0.0
    if bucket.rate_per_ms <= 0:
        return _MAX_WAIT_MS
    return min(_MAX_WAIT_MS, missing / bucket.rate_per_ms)
