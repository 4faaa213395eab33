"""Which engine a leg goes to.

A rendezvous hash over model, adapter and the opening of the prompt keeps like
prompts on one engine's cache, with a bound on how much more than its share an
engine takes.  A fresh engine's few places belong to all counters together: a
hash of its incarnation names who may use them first, and their number grows
with the ramp.  Lower classes may fill only a part of an engine's slots.
"""

import math
from dataclasses import dataclass

from waybill.rendezvous import weight

from junction import cold

__all__ = [
    "Crew",
    "Budget",
    "choose",
    "limit",
    "notice",
    "broke",
    "ready_in",
    "asked",
    "may_retry",
    "retry_allowed",
]

_PARTS = (1.0, 0.85, 0.6)
_BOUND = 1.25
_SHORT = 2000
_FIRST = 0.1


@dataclass(frozen=True)
class Crew:
    """The counters that share the engines, as this one knows them."""

    me: str
    names: tuple
    zone: str = ""


@dataclass
class Budget:
    """Tasks asked and legs tried again, both fading over one window."""

    asked: float = 0.0
    again: float = 0.0
    atMs: float = 0.0


def _fade(b, nowMs, windowMs):
    kept = math.exp(-max(0.0, nowMs - b.atMs) / windowMs)
    b.asked, b.again, b.atMs = b.asked * kept, b.again * kept, nowMs


def asked(b, nowMs, windowMs):
    _fade(b, nowMs, windowMs)
    b.asked += 1


def may_retry(b, nowMs, windowMs, ratio, allowance=1.0, peek=False):
    """Whether one more leg tried again keeps within its share of the traffic of
    the last while; the one that does is counted."""
    _fade(b, nowMs, windowMs)
    if b.again + 1 > allowance + ratio * b.asked:
        return False
    b.again += not peek
    return True


def _part(rank):
    return _PARTS[min(rank, 2)]


def _ramp(r, nowMs, engine):
    ageMs = nowMs - r.firstMs.get(engine["name"], (None, nowMs))[1]
    return min(1.0, _FIRST + ageMs / r.terms.rampMs)


def _turn(r, engine, crew):
    """Our place in the order in which counters get a fresh engine's places."""
    key = f"{engine['name']}|{r.firstMs.get(engine['name'], ('',))[0]}"
    mine = weight(key, crew.me)
    return sum(1 for name in crew.names if name != crew.me and weight(key, name) > mine)


def limit(r, nowMs, engine, crew, rank, service=None):
    """How many legs this node may have on an engine for a task of this rank."""
    if service is not None and "warmPerS" in service:
        return _limit_told(r, nowMs, engine, crew, rank, service)
    part = _ramp(r, nowMs, engine)
    if part >= 1.0:
        return max(1, int(engine["slots"] * _part(rank)))
    count = max(1, len(crew.names))
    places = max(1, int(engine["slots"] * part * _part(rank)))
    share = places // count + (_turn(r, engine, crew) < places % count)
    if engine["name"] not in r.brokeMs:
        return share
    return max(share, 1) if nowMs - r.brokeMs[engine["name"]] > r.terms.pauseMs else 0


def _limit_told(r, nowMs, engine, crew, rank, service):
    """As many as our part of its slots and as much again, since callers don't come
    to all counters alike; none for a while after it broke a leg of ours."""
    if nowMs - r.brokeMs.get(engine["name"], -1e12) < r.terms.pauseMs:
        return 0
    if cold.is_cold(r, nowMs, engine) and not cold.take(r, nowMs, engine, service, crew, True):
        return 0
    return max(2, math.ceil(2 * engine["slots"] * _part(rank) / max(1, len(crew.names))))


def ready_in(r, nowMs, engines, crew, rank, service=None):
    """In how many ms this node will have a place on one of these at all."""
    if service is not None and "warmPerS" in service:
        return min(
            (
                cold.ready_in(r, nowMs, e, service, crew)
                for e in engines
                if cold.is_cold(r, nowMs, e)
            ),
            default=r.terms.pauseMs / 2,
        )
    waits = [
        (_turn(r, e, crew) + 1) / _part(rank) / e["slots"] - _ramp(r, nowMs, e) for e in engines
    ]
    return max(0.0, min(waits, default=0.0)) * r.terms.rampMs


def notice(r, nowMs, engine, incarnation):
    """A new incarnation starts small."""
    known = r.firstMs.get(engine)
    if known is None or known[0] != incarnation:
        r.firstMs[engine] = (incarnation, nowMs)
        r.brokeMs.pop(engine, None)


def broke(r, nowMs, engine):
    """An engine that broke a leg of ours starts small again, after a pause: it may
    well go on running what we no longer count."""
    known = r.firstMs.get(engine)
    r.firstMs[engine] = (known[0] if known else "", nowMs)
    r.brokeMs[engine] = nowMs


def choose(r, nowMs, engines, crew, task, rank, service=None):
    """The engine for a task's next leg, or None if none has a place for it."""
    free = [
        e for e in engines if r.busy.get(e["name"], 0) < limit(r, nowMs, e, crew, rank, service)
    ]
    if not free:
        return None
    best = _liked(r, free, engines, crew, task)
    if service is not None and "warmPerS" in service and cold.is_cold(r, nowMs, best):
        cold.take(r, nowMs, best, service, crew)
    return best


def _liked(r, free, engines, crew, task):
    if not task.model:
        return min(
            free,
            key=lambda e: (
                r.busy.get(e["name"], 0) - (e["zone"] == crew.zone),
                weight(task.id, e["name"]),
            ),
        )
    total = sum(r.busy.get(e["name"], 0) for e in engines) + 1
    bound = max(1, -(-int(total * _BOUND * 100) // (len(engines) * 100)))
    key = f"{task.model}|{task.adapter}|{task.opening}"
    near = crew.zone if 0 < sum(task.tokens[:1]) < _SHORT else None
    order = sorted(free, key=lambda e: (e["zone"] == near, weight(key, e["name"])), reverse=True)
    for engine in order:
        if r.busy.get(engine["name"], 0) < bound:
            return engine
    return min(order, key=lambda e: r.busy.get(e["name"], 0))


def _part_of(r, crew):
    """Our part of the retries that all counters together may make beside the ratio."""
    return max(1.0, r.terms.retryAllowance / max(1, len(crew.names)))


def retry_allowed(r, nowMs, ageMs, crew, peek=False):
    return ageMs <= r.terms.staleMs and may_retry(
        r.budget, nowMs, r.terms.retryWindowMs, r.terms.retryRatio, _part_of(r, crew), peek
    )
