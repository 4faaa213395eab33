"""Computes which engine should hold which models and adapters.

`place` is a pure function of the engines, the wishes, the partners' shares and the items already
loaded.  Wishes are served by ascending `yields`, one copy at a time.  Each partner first gets its
own share of the pool's room.  Spare room is then lent in the same order; since every plan is
computed from scratch, it returns to its owner as soon as the owner has a wish for it.  To keep
moves few, an engine that already holds the item is preferred; then one in the zone with the fewest
copies, and one where nothing has to be evicted.  For each unmet wish the plan names the rule that
prevented it and the wishes that have the room.
"""

import hashlib
from dataclasses import dataclass, field

__all__ = ["Engine", "Wish", "Plan", "place", "item_name", "BEST_EFFORT"]

# Wishes with at least this `yields` are best effort: they get spare room only.
BEST_EFFORT = 1000


@dataclass(frozen=True)
class Engine:
    """An engine's zone and capacity: room in MB and adapter places."""

    name: str
    zone: str
    roomMb: int
    places: int


@dataclass(frozen=True)
class Wish:
    """A request for copies of a model or adapter.  `zones`: the zones allowed, or empty for all;
    `yields`: rank among the wishes, the lowest is served first; `only`: the one engine allowed, or
    empty."""

    id: str
    partner: str
    model: str
    adapter: str
    copies: int
    zones: tuple
    yields: int
    roomMb: int
    places: int
    only: str = ""


@dataclass
class Plan:
    """A computed placement.  `targets`: engine -> item -> id of the wish that it serves there;
    `unmet`: wish id -> why it is not fully met; `lent`: (engine, item) placed in spare room."""

    targets: dict = field(default_factory=dict)
    unmet: dict = field(default_factory=dict)
    lent: set = field(default_factory=set)


@dataclass
class _PlanInProgress:
    """Remaining capacity, usage by partner and copies by wish while a plan is computed."""

    engines: dict
    shares: dict
    present: dict
    total_mb: int
    sizes: dict
    free_mb: dict
    free_places: dict
    plan: Plan
    used_mb: dict = field(default_factory=dict)
    copies: dict = field(default_factory=dict)


def item_name(model, adapter):
    """The name of a model, or of an adapter as `model/adapter`."""
    return f"{model}/{adapter}" if adapter else model


def place(engines, wishes, shares, present):
    """Compute a Plan.  `shares`: partner -> share of the total room; `present`: engine -> items
    loaded or being loaded there."""
    work = _PlanInProgress(
        {e.name: e for e in engines},
        shares,
        present,
        sum(e.roomMb for e in engines),
        {},
        {e.name: e.roomMb for e in engines},
        {e.name: e.places for e in engines},
        Plan({e.name: {} for e in engines}),
    )
    for wish in wishes:
        work.sizes[wish.model] = wish.roomMb
    queue = sorted(
        ((w.yields, copy, w.partner, w.id), w) for w in wishes for copy in range(w.copies)
    )
    deferred = []
    for _, wish in queue:
        if wish.yields >= BEST_EFFORT or not _place_copy(work, wish, True):
            deferred.append(wish)
    missing = {}
    for wish in deferred:
        if not _place_copy(work, wish, False):
            missing[wish.id] = wish
    for wish in missing.values():
        if wish.yields < BEST_EFFORT:
            work.plan.unmet[wish.id] = _unmet_reason(work, wish)
    return work.plan


def _cost(work, wish, engine):
    """The room in MB that a copy takes on an engine: none if the model is already planned there."""
    return 0 if wish.model in work.plan.targets[engine] else wish.roomMb


def _fits(work, wish, engine):
    return _cost(work, wish, engine) <= work.free_mb[engine] and (
        not wish.adapter or wish.places <= work.free_places[engine]
    )


def _allowed_engines(work, wish):
    """Engines on which the wish may be placed by its zones and its `only`."""
    return [
        name
        for name, engine in work.engines.items()
        if (not wish.zones or engine.zone in wish.zones) and wish.only in ("", name)
    ]


def _place_copy(work, wish, own_share):
    """Place one more copy of the wish; False if no engine can take it."""
    item = item_name(wish.model, wish.adapter)
    placed_on = work.copies.setdefault(wish.id, set())
    found = [n for n in _allowed_engines(work, wish) if n not in placed_on and _fits(work, wish, n)]
    if own_share:
        left_mb = (
            work.shares.get(wish.partner, 0.0) * work.total_mb
            + 1e-6
            - work.used_mb.get(wish.partner, 0)
        )
        found = [n for n in found if _cost(work, wish, n) <= left_mb]
    if not found:
        return False
    zone_copies: dict = {}
    for name in placed_on:
        zone_copies[work.engines[name].zone] = zone_copies.get(work.engines[name].zone, 0) + 1
    best = min(found, key=lambda n: _rank(work, wish, item, n, zone_copies))
    _assign(work, wish, item, best)
    placed_on.add(best)
    if not own_share and wish.yields < BEST_EFFORT:
        work.plan.lent.add((best, item))
    return True


def _rank(work, wish, item, name, zone_copies):
    """Sort key of an engine for a copy of the item; the lowest is chosen."""
    present_items = work.present.get(name, ())
    cost_mb = _cost(work, wish, name)
    held_mb = sum(work.sizes.get(i, 0) for i in present_items if i not in work.plan.targets[name])
    evicts = wish.model not in present_items and held_mb + cost_mb > work.free_mb[name]
    return (
        item not in present_items,
        zone_copies.get(work.engines[name].zone, 0),
        evicts,
        cost_mb,
        -work.free_mb[name],
        hashlib.blake2b(f"{item}|{name}".encode()).digest(),
    )


def _assign(work, wish, item, name):
    targets = work.plan.targets[name]
    cost_mb = _cost(work, wish, name)
    work.free_mb[name] -= cost_mb
    work.used_mb[wish.partner] = work.used_mb.get(wish.partner, 0) + cost_mb
    if wish.adapter and item not in targets:
        work.free_places[name] -= wish.places
    targets.setdefault(wish.model, wish.id)
    targets.setdefault(item, wish.id)


def _unmet_reason(work, wish):
    """Why not all copies of a wish could be placed, as recorded in the ledger."""
    allowed = _allowed_engines(work, wish)
    placed_on = work.copies.get(wish.id, set())
    others = [n for n in allowed if n not in placed_on]
    winners = sorted({w for n in others for w in work.plan.targets[n].values() if w != wish.id})
    if not allowed:
        rule = "no-engine-in-zone"
    elif not others:
        rule = "more-copies-than-engines"
    elif all(work.engines[n].roomMb < wish.roomMb for n in others):
        rule = "larger-than-engines"
    elif not any(_cost(work, wish, n) <= work.free_mb[n] for n in others):
        rule = "no-room"
    else:
        rule = "no-adapter-place"
    over_share = work.used_mb.get(wish.partner, 0) >= (
        work.shares.get(wish.partner, 0.0) * work.total_mb - wish.roomMb
    )
    return {
        "wanted": wish.copies,
        "placed": len(placed_on),
        "rule": rule,
        "shareSpent": over_share,
        "partner": wish.partner,
        "won": winners[:8],
    }
