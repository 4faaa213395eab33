"""A stand-in for the platform's engines: slots, a queue, a batch that slows, kept parts
of prompts, adapters, warm-up, orders with fences, and its own disk of weights.

Functions over dataclasses; the time is given.  What a rule forbids is kept in `wrong`.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = [
    "Sizes",
    "Store",
    "Engine",
    "Asked",
    "admit",
    "may_start",
    "start",
    "finish",
    "read_ms",
    "event_ms",
    "order",
    "report",
    "parcels",
    "warm_left",
]


@dataclass(frozen=True)
class Sizes:
    slots: int
    cacheTokens: int
    roomMb: float
    places: int
    loadMs: float
    stepMs: float
    readPerMs: float
    eventTokens: int
    warmupMs: float
    warmupPerS: float
    models: dict
    insertMb: float
    workMs: float = 5.0
    lagMs: float = 200.0


@dataclass
class Store:
    """Where all engines' weights come from; more than `atOnce` slow each other."""

    perS: float
    atOnce: int
    beganMs: list = field(default_factory=list)
    endsMs: list = field(default_factory=list)


@dataclass(frozen=True)
class Asked:
    """A request, as an engine reads it."""

    id: str
    method: str
    path: str
    host: str
    engine: str
    model: str
    adapter: str
    parts: tuple
    tokens: int
    most: int
    rank: int
    after: int
    endMs: float


@dataclass
class Engine:
    id: str
    service: str
    zone: str
    address: str
    sizes: Sizes
    store: Store
    bornMs: float
    plain: bool
    state: str = "open"
    coldMs: float = 0.0
    disk: set = field(default_factory=set)
    items: dict = field(default_factory=dict)
    order: tuple = ()
    doneMs: float = 0.0
    callSeq: int = 0
    fence: int = -1
    running: dict = field(default_factory=dict)
    waiting: list = field(default_factory=list)
    kept: dict = field(default_factory=dict)
    arrivedMs: deque = field(default_factory=deque)
    ran: list = field(default_factory=list)
    reports: list = field(default_factory=list)
    wrong: list = field(default_factory=list)


def warm_left(e, nowMs):
    return max(0.0, e.coldMs - nowMs)


def _arrived(e, nowMs):
    """Count what a cold engine bears."""
    e.arrivedMs.append(nowMs)
    while nowMs - e.arrivedMs[0] > 1000:
        e.arrivedMs.popleft()
    if warm_left(e, nowMs) and len(e.arrivedMs) > 1.5 * e.sizes.warmupPerS + 5:
        e.wrong.append((nowMs, "overrun", len(e.arrivedMs)))


def _has(e, model, adapter):
    return model in e.items and (not adapter or adapter in e.items[model])


def admit(e, nowMs, asked):
    """0 and a place in the queue, or a status that says that it has not run."""
    _advance(e, nowMs)
    if asked.engine not in ("", e.id) or e.state == "gone":
        return 421
    if not e.plain and not _has(e, asked.model, asked.adapter):
        return 503 if e.order[:2] == ("load", asked.model) else 421
    _arrived(e, nowMs)
    if not asked.id:
        return 400
    if e.order and e.order[1] == asked.model and e.order[2] in ("", asked.adapter):
        return 503
    if len(e.waiting) >= e.sizes.slots or asked.tokens > e.sizes.cacheTokens:
        return 503
    e.waiting.append(asked)
    e.waiting.sort(key=lambda a: a.rank)
    return 0


def may_start(e, asked):
    """Whether it is this request's turn, and there is a slot and memory."""
    usedTokens = sum(a.tokens for a in e.running.values())
    return (
        e.waiting[0] is asked
        and len(e.running) < e.sizes.slots
        and (usedTokens + asked.tokens <= e.sizes.cacheTokens)
    )


def start(e, nowMs, asked):
    """It runs from now on; how many tokens of its prompt must be read."""
    e.waiting.remove(asked)
    e.running[id(asked)] = asked
    e.ran.append((nowMs, asked))
    missing, key, known = 0, (asked.model, asked.adapter), True
    for part, tokens in asked.parts:
        key += (part,)
        known = known and key in e.kept
        missing += 0 if known else tokens
        e.kept.pop(key, None)
        e.kept[key] = tokens
    _give_way(e)
    return missing


def _give_way(e):
    roomTokens = e.sizes.cacheTokens - sum(a.tokens for a in e.running.values())
    while e.kept and sum(e.kept.values()) > roomTokens:
        del e.kept[next(iter(e.kept))]


def finish(e, asked):
    if asked in e.waiting:
        e.waiting.remove(asked)
    e.running.pop(id(asked), None)


def read_ms(e, missing):
    return missing / e.sizes.readPerMs


def event_ms(e):
    return e.sizes.eventTokens * e.sizes.stepMs * (1 + 0.03 * len(e.running))


def _advance(e, nowMs):
    if not e.order or nowMs < e.doneMs:
        return
    verb, model, adapter = e.order
    if verb == "unload" and any(
        a.model == model and adapter in ("", a.adapter) for a in e.running.values()
    ):
        return
    e.order = ()
    if verb == "load" and adapter:
        e.items.setdefault(model, set()).add(adapter)
    elif verb == "load":
        e.items[model] = set()
        e.disk.add(model)
    elif adapter:
        e.items[model].discard(adapter)
    else:
        e.items.pop(model, None)
        e.kept = {k: t for k, t in e.kept.items() if k[0] != model}


def order(e, nowMs, told, engine):
    """An order's status."""
    _advance(e, nowMs)
    verb, model, adapter = told.get("order"), told.get("parcel"), told.get("insert", "")
    if engine not in ("", e.id) or e.state == "gone":
        return 421
    if (
        verb not in ("load", "unload")
        or model not in e.sizes.models
        or not told.get("holder")
        or not isinstance(told.get("fenceNumber"), int)
    ):
        return 400
    if told["fenceNumber"] < e.fence:
        return 412
    e.fence = told["fenceNumber"]
    if adapter and (model not in e.items or adapter not in e.sizes.models[model][1]):
        return 400
    if e.order or told.get("expectedCount", e.callSeq) != e.callSeq:
        return 409
    if (verb == "load") == _has(e, model, adapter):
        return 200
    e.callSeq += 1
    e.order, e.doneMs = (verb, model, adapter), nowMs + _took_ms(e, nowMs, verb, model, adapter)
    return 202


def _took_ms(e, nowMs, verb, model, adapter):
    if verb == "unload":
        return 1.0
    usedMb = sum(e.sizes.models[m][0] + e.sizes.insertMb * len(a) for m, a in e.items.items())
    ownMb = e.sizes.insertMb if adapter else e.sizes.models[model][0]
    places = sum(len(a) for a in e.items.values()) + bool(adapter)
    if usedMb + ownMb > e.sizes.roomMb or places > e.sizes.places:
        e.wrong.append((nowMs, "beyond room", f"{model}/{adapter}"))
    if adapter:
        return 10.0
    if model in e.disk:
        return 0.4 * e.sizes.loadMs
    return _fetch(e, nowMs)


def _fetch(e, nowMs):
    """Weights from the store, which keeps count over five seconds."""
    s = e.store
    s.beganMs.append(nowMs)
    if sum(1 for ms in s.beganMs if nowMs - ms <= 5000) > 5 * s.perS * 1.1 + 3:
        e.wrong.append((nowMs, "beyond the store's rate", ""))
    s.endsMs = [ms for ms in s.endsMs if ms > nowMs]
    tookMs = e.sizes.loadMs * max(1.0, (len(s.endsMs) + 1) / s.atOnce)
    s.endsMs.append(nowMs + tookMs)
    return tookMs


def parcels(e):
    return [
        {"name": m, "edition": 1, "inserts": sorted(a)} for m, a in sorted(dict(e.items).items())
    ]


def report(e, nowMs):
    """How things stood `lagMs` ago."""
    _advance(e, nowMs)
    e.reports.append(
        (
            nowMs,
            {
                "leg": "both",
                "parcels": parcels(e),
                "busy": bool(e.order),
                "callSeq": e.callSeq,
                "queued": len(e.waiting),
                "inTransit": len(e.running),
                "cacheUsed": sum(a.tokens for a in e.running.values()),
                "cacheCapacity": e.sizes.cacheTokens,
                "handles": 0,
            },
        )
    )
    old = [r for r in e.reports if r[0] <= nowMs - e.sizes.lagMs]
    e.reports = old[-1:] + [r for r in e.reports if r[0] > nowMs - e.sizes.lagMs]
    return e.reports[0][1]
