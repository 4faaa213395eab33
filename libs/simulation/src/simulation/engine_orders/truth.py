"""An engine that knows what it holds: the plain model that a holder's view is compared with.

It carries out one order at a time and counts those that it takes.  Every function returns a
new engine; none looks at what the holder believes.
"""

from dataclasses import dataclass, replace

from simulation.model.invariants import Violation

__all__ = ["Message", "TrueEngine", "finished", "ordered", "restarted", "told"]

_TAKEN, _HOLDS, _BUSY, _NO_MODEL, _OLD_FENCE = 202, 200, 409, 400, 412


@dataclass(frozen=True)
class Message:
    """An order on its way: `call` is the id of the call that sent it, `expected` the count of
    orders that it must find (None for any), `mb` and `places` the item's size when it left."""

    call: str
    verb: str
    item: str
    expected: int | None
    fence: int
    mb: float
    places: int


@dataclass(frozen=True)
class TrueEngine:
    """`items`: item -> (MB, adapter places), as sorted pairs; `under_way`: the Message that is
    being carried out, if any; `count`: orders taken in this life; `fence`: the highest seen."""

    room_mb: float
    room_places: int
    items: tuple = ()
    under_way: Message | None = None
    count: int = 0
    fence: int = 0
    life: int = 1
    counts: bool = True


def ordered(engine, message):
    """(engine, status) after an order has arrived; raises Violation for a load beyond room."""
    if message.fence < engine.fence:
        return engine, _OLD_FENCE
    engine = replace(engine, fence=message.fence)
    if engine.under_way is not None:
        same = (engine.under_way.verb, engine.under_way.item) == (message.verb, message.item)
        return engine, _TAKEN if same else _BUSY
    if message.expected is not None and message.expected != engine.count:
        return engine, _BUSY
    held = dict(engine.items)
    if (message.verb == "load") == (message.item in held):
        return engine, _HOLDS
    if message.item.partition("/")[0] not in held and "/" in message.item:
        return engine, _NO_MODEL
    if message.verb == "load":
        _check_room(engine, held, message)
    return replace(engine, count=engine.count + 1, under_way=message), _TAKEN


def _check_room(engine, held, message):
    used_mb = sum(mb for mb, _ in held.values()) + message.mb
    used_places = sum(places for _, places in held.values()) + message.places
    if used_mb > engine.room_mb or used_places > engine.room_places:
        raise Violation("room", f"load {message.item} beside {', '.join(sorted(held))}")


def finished(engine):
    """The order under way is carried out; a model's adapters go with it."""
    message, held = engine.under_way, dict(engine.items)
    if message.verb == "load":
        held[message.item] = (message.mb, message.places)
    else:
        held = {i: s for i, s in held.items() if message.item not in (i, i.partition("/")[0])}
    return replace(engine, items=tuple(sorted(held.items())), under_way=None)


def restarted(engine):
    """A new life: nothing is held, and neither counts nor fences are remembered."""
    return TrueEngine(
        engine.room_mb, engine.room_places, life=engine.life + 1, counts=engine.counts
    )


def told(engine):
    """What a report says of the engine as it is now."""
    return {
        "incarnation": f"life-{engine.life}",
        "roomMb": int(engine.room_mb),
        "adapterPlaces": engine.room_places,
        "items": {item: "loaded" for item, _ in engine.items},
        "busy": engine.under_way is not None,
        "orders": engine.count if engine.counts else None,
    }
