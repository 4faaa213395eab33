"""Chooses the engine for an attempt.

Rendezvous hashing over model, adapter and the start of the prompt sends similar prompts to the
same engine, where their KV prefix is cached; a bound on the load keeps any engine from getting
much more than its share.  A fresh engine ramps up: the few slots that it offers at first are
divided among all routing nodes (role `counter`), where a hash of the engine's incarnation decides
which nodes get one first.  Lower classes may fill only a fraction of an engine's slots.
"""

import math
from dataclasses import dataclass

from transport.rendezvous import weight

from routing import cold_engines

__all__ = [
    "RoutingNodes",
    "choose",
    "limit",
    "note_incarnation",
    "note_broken_attempt",
    "ms_until_place",
]

# Fractions of an engine's slots for classes 0 and 1 and for all lower classes.
_CLASS_FRACTIONS = (1.0, 0.85, 0.6)
# No engine gets more than this multiple of the mean number of attempts in flight.
_LOAD_BOUND = 1.25
# Prompts shorter than this prefer engines of this node's zone over cached prefixes elsewhere.
_SHORT_PROMPT_TOKENS = 2000
# The fraction of its slots with which a fresh engine starts.
_INITIAL_RAMP = 0.1


@dataclass(frozen=True)
class RoutingNodes:
    """The routing nodes (counters) that share the engines, as this node knows them."""

    own_name: str
    names: tuple
    zone: str = ""


def _class_fraction(rank):
    """The fraction of an engine's slots that requests of a class may use."""
    return _CLASS_FRACTIONS[min(rank, 2)]


def _ramp_fraction(router, now_ms, engine):
    """The fraction of its slots that an engine offers now; it grows from the start of its ramp."""
    age_ms = now_ms - router.ramp_starts.get(engine["name"], (None, now_ms))[1]
    return min(1.0, _INITIAL_RAMP + age_ms / router.settings.ramp_ms)


def _hash_rank(router, engine, nodes):
    """This node's position in the order in which nodes get the slots of a fresh engine."""
    key = f"{engine['name']}|{router.ramp_starts.get(engine['name'], ('',))[0]}"
    own_weight = weight(key, nodes.own_name)
    return sum(
        1 for name in nodes.names if name != nodes.own_name and weight(key, name) > own_weight
    )


def limit(router, now_ms, engine, nodes, rank, service=None):
    """How many attempts of this class this node may have in flight on an engine."""
    if service is not None and "warmPerS" in service:
        return _limit_with_warmup_rate(router, now_ms, engine, nodes, rank, service)
    ramp = _ramp_fraction(router, now_ms, engine)
    if ramp >= 1.0:
        return max(1, int(engine["slots"] * _class_fraction(rank)))
    count = max(1, len(nodes.names))
    places = max(1, int(engine["slots"] * ramp * _class_fraction(rank)))
    share = places // count + (_hash_rank(router, engine, nodes) < places % count)
    if engine["name"] not in router.broken_at_ms:
        return share
    return (
        max(share, 1)
        if now_ms - router.broken_at_ms[engine["name"]] > router.settings.pauseMs
        else 0
    )


def _limit_with_warmup_rate(router, now_ms, engine, nodes, rank, service):
    """The limit on an engine whose service has a warm-up rate: twice this node's share of the
    slots, since callers are spread unevenly over the nodes.  It is 0 for a pause after an attempt
    broke on the engine, and while the engine is cold and this node has no token for it."""
    if now_ms - router.broken_at_ms.get(engine["name"], -1e12) < router.settings.pauseMs:
        return 0
    if cold_engines.is_cold(router, now_ms, engine) and not cold_engines.take_token(
        router, now_ms, engine, service, nodes, True
    ):
        return 0
    return max(2, math.ceil(2 * engine["slots"] * _class_fraction(rank) / max(1, len(nodes.names))))


def ms_until_place(router, now_ms, engines, nodes, rank, service=None):
    """The milliseconds until this node may have a place on any of these engines."""
    if service is not None and "warmPerS" in service:
        return min(
            (
                cold_engines.ms_until_token(router, now_ms, e, service, nodes)
                for e in engines
                if cold_engines.is_cold(router, now_ms, e)
            ),
            default=router.settings.pauseMs / 2,
        )
    waits = [
        (_hash_rank(router, e, nodes) + 1) / _class_fraction(rank) / e["slots"]
        - _ramp_fraction(router, now_ms, e)
        for e in engines
    ]
    return max(0.0, min(waits, default=0.0)) * router.settings.ramp_ms


def note_incarnation(router, now_ms, engine, incarnation):
    """Restart the ramp of an engine whose incarnation changed."""
    known = router.ramp_starts.get(engine)
    if known is None or known[0] != incarnation:
        router.ramp_starts[engine] = (incarnation, now_ms)
        router.broken_at_ms.pop(engine, None)


def note_broken_attempt(router, now_ms, engine):
    """Restart the ramp of an engine after a pause: it may still be running an attempt that broke
    and that this node no longer counts."""
    known = router.ramp_starts.get(engine)
    router.ramp_starts[engine] = (known[0] if known else "", now_ms)
    router.broken_at_ms[engine] = now_ms


def choose(router, now_ms, engines, nodes, task, rank, service=None):
    """The engine for a task's next attempt, or None if none has a place for it."""
    free = [
        e
        for e in engines
        if router.in_flight.get(e["name"], 0) < limit(router, now_ms, e, nodes, rank, service)
    ]
    if not free:
        return None
    best = _preferred(router, free, engines, nodes, task)
    if service is not None and "warmPerS" in service and cold_engines.is_cold(router, now_ms, best):
        cold_engines.take_token(router, now_ms, best, service, nodes)
    return best


def _preferred(router, free, engines, nodes, task):
    """The preferred engine of those with a free place.  Without a model, that is the one with the
    fewest attempts in flight; with a model, the first in rendezvous order that is within the
    bound on the load."""
    if not task.model:
        return min(
            free,
            key=lambda e: (
                router.in_flight.get(e["name"], 0) - (e["zone"] == nodes.zone),
                weight(task.id, e["name"]),
            ),
        )
    total = sum(router.in_flight.get(e["name"], 0) for e in engines) + 1
    bound = max(1, -(-int(total * _LOAD_BOUND * 100) // (len(engines) * 100)))
    key = f"{task.model}|{task.adapter}|{task.opening}"
    preferred_zone = nodes.zone if 0 < sum(task.tokens[:1]) < _SHORT_PROMPT_TOKENS else None
    order = sorted(
        free, key=lambda e: (e["zone"] == preferred_zone, weight(key, e["name"])), reverse=True
    )
    for engine in order:
        if router.in_flight.get(engine["name"], 0) < bound:
            return engine
    return min(order, key=lambda e: router.in_flight.get(e["name"], 0))
