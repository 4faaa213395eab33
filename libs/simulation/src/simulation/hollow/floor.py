"""Hollow engines, callers and operators: answers computed, no sockets.

An engine holds what it was given and tells so; a load is taken at once and is
up when its time has passed.  A caller's request ends a fixed time after its
leg began.  An operator changes one route, and the change is followed until
the last node has it.
"""

from dataclasses import dataclass, field

from routing.tasks import Attempt
from transport import events as e

from simulation.hollow import settings
from simulation.hollow import world as worlds

__all__ = ["Floor", "furnish", "call", "ask_on", "change", "change_on", "restart_on", "applied"]

_CALL_MS, _LOAD_MS, _LEG_MS, _PAGE = 2.0, 600.0, 400.0, 200
_UNTOLD = 1 << 40


@dataclass
class Floor:
    size: object
    world: object
    engines: dict = field(default_factory=dict)
    loading: dict = field(default_factory=dict)
    edition: int = 1
    asked: int = 0
    served: int = 0
    refused: dict = field(default_factory=dict)
    loads: int = 0
    lives: int = 0
    acked: dict = field(default_factory=dict)
    behind: dict = field(default_factory=dict)
    took_ms: list = field(default_factory=list)


def furnish(floor):
    for i in range(floor.size.engines):
        floor.engines[f"engine{i:04d}"] = dict.fromkeys(settings.placed(floor.size, i), "loaded")


def call(floor, host, effect):
    """A holder's call, there and back."""
    code, body = _answer(floor, effect)
    kind = f"{effect.verb} answered"
    worlds.after(
        floor.world,
        _CALL_MS,
        lambda: worlds.post(floor.world, host, e.CallEnded(effect.id, code, body), kind),
    )


def _answer(floor, effect):
    if effect.verb == "list":
        return 200, _page(floor, int(effect.body["token"] or 0))
    items = floor.engines[effect.engine]
    if effect.verb == "report":
        return 200, {
            "incarnation": effect.engine,
            "roomMb": _UNTOLD,
            "adapterPlaces": _UNTOLD,
            "items": {i: s for i, s in items.items() if s == "loaded"},
            "busy": any(s != "loaded" for s in items.values()),
        }
    item = effect.body["item"]
    if effect.verb == "unload":
        items.pop(item, None)
        return 200, {}
    if item not in items:
        items[item] = floor.world.now_ms + _LOAD_MS
        floor.loads += 1
    if items[item] != "loaded" and floor.world.now_ms >= items[item]:
        items[item] = "loaded"
    return (200 if items[item] == "loaded" else 202), {}


def _page(floor, first):
    last = min(floor.size.engines, first + _PAGE)
    return {
        "next": str(last) if last < floor.size.engines else None,
        "engines": [
            {
                "name": f"engine{i:04d}",
                "state": "join",
                "service": settings.SERVICE,
                "zone": f"zone{i % floor.size.zones:02d}",
                "url": f"http://10.200.{i // 250}.{i % 250}:80",
                "slots": 8,
                "warmMs": 0,
            }
            for i in range(first, last)
        ],
    }


def ask_on(floor, per_s, cold=False):
    """Callers' requests at random moments, at counters by turns at random."""
    world = floor.world
    if per_s <= 0:
        return
    _ask(floor, cold)
    worlds.after(world, world.random.expovariate(per_s) * 1000, lambda: ask_on(floor, per_s, cold))


def _ask(floor, cold):
    world, size = floor.world, floor.size
    counters = [h for h in world.hosts.values() if h.config.role == "counter"]
    host = counters[world.random.randrange(len(counters))]
    up = max(1, int(0.8 * size.models))
    number = (
        world.random.randrange(up, size.models)
        if cold and up < size.models
        else int(up * world.random.random() ** 2)
    )
    floor.asked += 1
    token = f"ask{floor.asked}"
    told = {
        "id": token,
        "host": f"region{floor.asked % 7}.example",
        "path": "/reroute",
        "model": settings.model(number),
        "adapter": "",
        "opening": [f"s{number}", "x"],
        "tokens": (300, 200),
        "deadlineMs": 20000,
    }

    def answered(outcome):
        if isinstance(outcome, Attempt):
            worlds.after(world, _LEG_MS, end)
        else:
            why = type(outcome).__name__ + "." + str(getattr(outcome, "cause", ""))
            floor.refused[why] = floor.refused.get(why, 0) + 1

    def end():
        floor.served += 1
        worlds.post(world, host, e.LocalRequest(token, "ended", {"proof": "done"}), "ended")

    world.waiting[token] = answered
    worlds.post(world, host, e.LocalRequest(token, "passage", told), "passage")


def change_on(floor, per_s):
    """One item changed at a time, a route or the whole service, at even intervals."""
    if per_s <= 0:
        return
    edition = floor.edition + 1
    changed = {"routes": [settings.route("region3", edition)]}
    if floor.size.whole:
        (service,) = settings.layout(floor.size, edition)["services"]
        changed = {"services": [{**service, "warmMs": 1000.0 + edition % 7}]}
    change(floor, {"edition": edition, "upsert": changed}, True)
    worlds.after(floor.world, 1000 / per_s, lambda: change_on(floor, per_s))


def change(floor, told, partial):
    """Offer a change at a counter; note when it is acknowledged."""
    world, before = floor.world, floor.edition if partial else 0
    edition = floor.edition = told["edition"]
    host = next(h for h in world.hosts.values() if h.config.role == "counter")
    token = f"change{edition}"
    floor.behind[edition] = set(world.hosts)

    def answered(outcome):
        floor.acked[edition] = world.now_ms
        if getattr(outcome, "status", 200) != 200:
            raise RuntimeError(outcome)
        _settle(floor, edition)

    world.waiting[token] = answered
    worlds.post(
        world,
        host,
        e.LocalRequest(
            token,
            "written",
            {"expect": before, "written": told, "partial": partial, "change": token},
        ),
        "change",
    )


def restart_on(floor, per_s, dialect):
    """Counters killed and started again, one after another at even intervals."""
    if per_s <= 0:
        return
    world = floor.world
    counters = [h for h in world.hosts.values() if h.config.role == "counter"]
    host = counters[world.random.randrange(1, len(counters))]
    floor.lives += 1
    host.node = worlds.MAKE(
        host.config, f"{host.name}.{1 + floor.lives}", world.random.getrandbits(32), None, dialect
    )
    worlds.after(world, 1000 / per_s, lambda: restart_on(floor, per_s, dialect))


def applied(floor, host):
    """After each event: does this node have what it lacked?"""
    for edition in [n for n, names in floor.behind.items() if host.name in names]:
        if host.node.cluster.registry.document["edition"] >= edition:
            floor.behind[edition].discard(host.name)
            _settle(floor, edition)


def _settle(floor, edition):
    if edition in floor.acked and not floor.behind.get(edition, True):
        del floor.behind[edition]
        floor.took_ms.append(max(0.0, floor.world.now_ms - floor.acked[edition]))
