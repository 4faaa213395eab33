"""A stand-in engine's core: room, adapters, orders, reports, runs.

Loads take time; an order is taken or refused, never answered with its
outcome.  A fencing engine refuses orders of an older epoch or number than it
has seen; a gullible one takes what it has no room for.  The same core stands
behind the HTTP stand-in and in the simulator;
it also keeps the counts that checkers read.
"""

from dataclasses import dataclass, field

__all__ = ["Engine", "order", "report", "settle", "can_run", "begin", "finish", "restart", "resume"]


@dataclass
class Engine:
    name: str
    roomMb: int
    places: int
    slots: int
    incarnation: str
    loadMs: float = 400.0
    fencing: bool = True
    plain: bool = False
    gullible: bool = False
    resumes: bool = False
    runs: dict = field(default_factory=dict)
    prefix_room: int = 8
    prefixes: dict = field(default_factory=dict)
    hits: int = 0
    misses: int = 0
    items: dict = field(default_factory=dict)
    sizes: dict = field(default_factory=dict)
    change_ms: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    running: int = 0
    mostRunning: int = 0
    overRoom: int = 0
    fenced: int = 0
    loads: int = 0
    ran: dict = field(default_factory=dict)
    history: list = field(default_factory=list)


def settle(engine, now_ms):
    """Loads and unloads whose time has come are done."""
    for item, at_ms in list(engine.change_ms.items()):
        if now_ms >= at_ms:
            del engine.change_ms[item]
            if engine.items.get(item) == "loading":
                engine.items[item] = "loaded"
            elif engine.items.get(item) == "unloading":
                del engine.items[item]
                engine.sizes.pop(item, None)


def _used(engine):
    return (sum(s[0] for s in engine.sizes.values()), sum(s[1] for s in engine.sizes.values()))


def order(engine, now_ms, verb, body):
    """(status, answer) for a load or unload."""
    settle(engine, now_ms)
    mark, told = (body["epoch"], body["number"]), engine.seen.get(body["shard"], (0, 0))
    engine.history.append(
        (now_ms, verb, body["shard"], body["epoch"], body["number"], body["item"])
    )
    if engine.fencing and mark <= told:
        engine.fenced += 1
        return 409, {"refused": "old-order"}
    engine.seen[body["shard"]] = max(mark, told)
    item = body["item"]
    if verb == "unload":
        if engine.items.get(item) != "loaded":
            return 409, {"refused": "not-loaded"}
        if any(i.startswith(item + "/") for i in engine.items):
            return 409, {"refused": "adapters-on-it"}
        engine.items[item] = "unloading"
        engine.change_ms[item] = now_ms + engine.loadMs / 4
        return 202, {"taken": body["order"]}
    if item in engine.items:
        return 409, {"refused": "already-there"}
    usedMb, used_places = _used(engine)
    if usedMb + body["roomMb"] > engine.roomMb or used_places + body["places"] > engine.places:
        engine.overRoom += 1
        if not engine.gullible:
            return 409, {"refused": "no-room"}
    if "/" in item and engine.items.get(item.partition("/")[0]) != "loaded":
        return 409, {"refused": "no-base"}
    engine.loads += 1
    engine.items[item] = "loading"
    engine.sizes[item] = (body["roomMb"], body["places"])
    engine.change_ms[item] = now_ms + engine.loadMs
    return 202, {"taken": body["order"]}


def report(engine, now_ms):
    settle(engine, now_ms)
    return {
        "incarnation": engine.incarnation,
        "roomMb": engine.roomMb,
        "adapterPlaces": engine.places,
        "items": dict(engine.items),
    }


def can_run(engine, now_ms, model, adapter):
    """None, or why a task is refused without having run."""
    settle(engine, now_ms)
    if engine.running >= engine.slots:
        return "busy"
    if engine.plain:
        return None
    for item in [model] + ([f"{model}/{adapter}"] if adapter else []):
        if engine.items.get(item) != "loaded":
            return "not-loaded"
    return None


def begin(engine, now_ms, task, prefix=""):
    """A task begins; returns its run id.  A second run of a task is counted, and
    whether its prefix was still in the cache."""
    if prefix:
        engine.hits += prefix in engine.prefixes
        engine.misses += prefix not in engine.prefixes
        engine.prefixes.pop(prefix, None)
        engine.prefixes[prefix] = now_ms
        if len(engine.prefixes) > engine.prefix_room:
            del engine.prefixes[next(iter(engine.prefixes))]
    engine.running += 1
    engine.mostRunning = max(engine.mostRunning, engine.running)
    engine.ran[task] = engine.ran.get(task, 0) + 1
    run = f"{engine.incarnation}.{task}.{engine.ran[task]}"
    if engine.resumes:
        engine.runs[run] = (task, now_ms)
    return run


def resume(engine, body):
    """When a run that is to be resumed began, or None if it is not known here."""
    task, start_ms = engine.runs.get(body["run"], ("", None))
    known = task == body["task"] and body["incarnation"] == engine.incarnation
    return start_ms if known else None


def finish(engine):
    engine.running -= 1


def restart(engine, incarnation):
    """The engine comes back empty and has forgotten its orders."""
    engine.incarnation, engine.running = incarnation, 0
    engine.runs, engine.prefixes = {}, {}
    engine.items, engine.sizes, engine.change_ms, engine.seen = {}, {}, {}, {}
