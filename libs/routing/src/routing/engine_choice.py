"""Which engine a leg goes to.

A rendezvous hash over model, adapter and the opening of the prompt keeps like
prompts on one engine's cache, with a bound on how much more than its share an
engine takes.  A fresh engine's few places belong to all counters together: a
hash of its incarnation names who may use them first, and their number grows
with the ramp.  Lower classes may fill only a part of an engine's slots.
"""

import math
from dataclasses import dataclass

from transport.rendezvous import weight

from routing import cold_engines

__all__ = [
    "Crew",
    "choose",
    "limit",
    "notice",
    "broke",
    "ready_in",
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


def _part(rank):
    return _PARTS[min(rank, 2)]


def _ramp(r, now_ms, engine):
    age_ms = now_ms - r.first_ms.get(engine["name"], (None, now_ms))[1]
    return min(1.0, _FIRST + age_ms / r.terms.ramp_ms)


def _turn(r, engine, crew):
    """Our place in the order in which counters get a fresh engine's places."""
    key = f"{engine['name']}|{r.first_ms.get(engine['name'], ('',))[0]}"
    mine = weight(key, crew.me)
    return sum(1 for name in crew.names if name != crew.me and weight(key, name) > mine)


def limit(r, now_ms, engine, crew, rank, service=None):
    """How many legs this node may have on an engine for a task of this rank."""
    if service is not None and "warmPerS" in service:
        return _limit_told(r, now_ms, engine, crew, rank, service)
    part = _ramp(r, now_ms, engine)
    if part >= 1.0:
        return max(1, int(engine["slots"] * _part(rank)))
    count = max(1, len(crew.names))
    places = max(1, int(engine["slots"] * part * _part(rank)))
    share = places // count + (_turn(r, engine, crew) < places % count)
    if engine["name"] not in r.broke_ms:
        return share
    return max(share, 1) if now_ms - r.broke_ms[engine["name"]] > r.terms.pauseMs else 0


def _limit_told(r, now_ms, engine, crew, rank, service):
    """As many as our part of its slots and as much again, since callers don't come
    to all counters alike; none for a while after it broke a leg of ours."""
    if now_ms - r.broke_ms.get(engine["name"], -1e12) < r.terms.pauseMs:
        return 0
    if cold_engines.is_cold(r, now_ms, engine) and not cold_engines.take(
        r, now_ms, engine, service, crew, True
    ):
        return 0
    return max(2, math.ceil(2 * engine["slots"] * _part(rank) / max(1, len(crew.names))))


def ready_in(r, now_ms, engines, crew, rank, service=None):
    """In how many ms this node will have a place on one of these at all."""
    if service is not None and "warmPerS" in service:
        return min(
            (
                cold_engines.ready_in(r, now_ms, e, service, crew)
                for e in engines
                if cold_engines.is_cold(r, now_ms, e)
            ),
            default=r.terms.pauseMs / 2,
        )
    waits = [
        (_turn(r, e, crew) + 1) / _part(rank) / e["slots"] - _ramp(r, now_ms, e) for e in engines
    ]
    return max(0.0, min(waits, default=0.0)) * r.terms.ramp_ms


def notice(r, now_ms, engine, incarnation):
    """A new incarnation starts small."""
    known = r.first_ms.get(engine)
    if known is None or known[0] != incarnation:
        r.first_ms[engine] = (incarnation, now_ms)
        r.broke_ms.pop(engine, None)


def broke(r, now_ms, engine):
    """An engine that broke a leg of ours starts small again, after a pause: it may
    well go on running what we no longer count."""
    known = r.first_ms.get(engine)
    r.first_ms[engine] = (known[0] if known else "", now_ms)
    r.broke_ms[engine] = now_ms


def choose(r, now_ms, engines, crew, task, rank, service=None):
    """The engine for a task's next leg, or None if none has a place for it."""
    free = [
        e for e in engines if r.busy.get(e["name"], 0) < limit(r, now_ms, e, crew, rank, service)
    ]
    if not free:
        return None
    best = _liked(r, free, engines, crew, task)
    if service is not None and "warmPerS" in service and cold_engines.is_cold(r, now_ms, best):
        cold_engines.take(r, now_ms, best, service, crew)
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
