"""A stand-in for the platform's engines: slots, a queue, a batch that slows, kept parts
of prompts, adapters, warm-up, orders with fences, and its own disk of weights.

Functions over dataclasses; the time is given.  What a rule forbids is kept in `wrong`.
"""

from collections import deque
from dataclasses import dataclass, field

from simulation import platform_history as history

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
    "warm_left",
]


@dataclass(frozen=True)
class Sizes:
    slots: int
    cacheTokens: int
    roomMb: float
    places: int
    loadMs: float
    step_ms: float
    read_per_ms: float
    event_tokens: int
    warmup_ms: float
    warmupPerS: float
    models: dict
    insertMb: float
    work_ms: float = 5.0
    lagMs: float = 200.0


@dataclass
class Store:
    """Where all engines' weights come from; more than `atOnce` slow each other."""

    per_s: float
    atOnce: int
    began_ms: list = field(default_factory=list)
    ends_ms: list = field(default_factory=list)


@dataclass(frozen=True)
class Asked:
    """A request, as an engine reads it.  `sender`: the tenant it is told of, if any."""

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
    end_ms: float
    sender: str | None = None


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
    cold_ms: float = 0.0
    disk: set = field(default_factory=set)
    items: dict = field(default_factory=dict)
    order: tuple = ()
    done_ms: float = 0.0
    callSeq: int = 0
    fence: int = -1
    running: dict = field(default_factory=dict)
    waiting: list = field(default_factory=list)
    kept: dict = field(default_factory=dict)
    arrived_ms: deque = field(default_factory=deque)
    ran: list = field(default_factory=list)
    reports: list = field(default_factory=list)
    wrong: list = field(default_factory=list)


def warm_left(e, now_ms):
    return max(0.0, e.cold_ms - now_ms)


def _arrived(e, now_ms):
    """Count what a cold engine bears."""
    e.arrived_ms.append(now_ms)
    while now_ms - e.arrived_ms[0] > 1000:
        e.arrived_ms.popleft()
    if warm_left(e, now_ms) and len(e.arrived_ms) > 1.5 * e.sizes.warmupPerS + 5:
        e.wrong.append((now_ms, "overrun", len(e.arrived_ms)))


def _has(e, model, adapter):
    return model in e.items and (not adapter or adapter in e.items[model])


def admit(e, now_ms, asked):
    """0 and a place in the queue, or a status that says that it has not run."""
    history.begin(e)
    _advance(e, now_ms)
    if asked.engine not in ("", e.id) or e.state == "gone":
        return 421
    if not e.plain and not _has(e, asked.model, asked.adapter):
        return 503 if e.order[:2] == ("load", asked.model) else 421
    _arrived(e, now_ms)
    if not asked.id:
        return 400
    if e.order and e.order[1] == asked.model and e.order[2] in ("", asked.adapter):
        return 503
    if len(e.waiting) >= e.sizes.slots or asked.tokens > e.sizes.cacheTokens:
        return 503
    e.waiting.append(asked)
    e.waiting.sort(key=lambda a: a.rank)
    history.changed(e, now_ms)
    return 0


def may_start(e, asked):
    """Whether it is this request's turn, and there is a slot and memory."""
    used_tokens = sum(a.tokens for a in e.running.values())
    return (
        e.waiting[0] is asked
        and len(e.running) < e.sizes.slots
        and (used_tokens + asked.tokens <= e.sizes.cacheTokens)
    )


def start(e, now_ms, asked):
    """It runs from now on; how many tokens of its prompt must be read."""
    _advance(e, now_ms)
    e.waiting.remove(asked)
    e.running[id(asked)] = asked
    e.ran.append((now_ms, asked))
    missing, key, known = 0, (asked.model, asked.adapter), True
    for part, tokens in asked.parts:
        key += (part,)
        known = known and key in e.kept
        missing += 0 if known else tokens
        e.kept.pop(key, None)
        e.kept[key] = tokens
    _give_way(e)
    history.changed(e, now_ms)
    return missing


def _give_way(e):
    room_tokens = e.sizes.cacheTokens - sum(a.tokens for a in e.running.values())
    while e.kept and sum(e.kept.values()) > room_tokens:
        del e.kept[next(iter(e.kept))]


def finish(e, now_ms, asked):
    """It has ended, or waits no more."""
    _advance(e, now_ms)
    if asked in e.waiting:
        e.waiting.remove(asked)
    e.running.pop(id(asked), None)
    history.changed(e, now_ms)


def read_ms(e, missing):
    return missing / e.sizes.read_per_ms


def event_ms(e):
    return e.sizes.event_tokens * e.sizes.step_ms * (1 + 0.03 * len(e.running))


def _advance(e, now_ms):
    if not e.order or now_ms < e.done_ms:
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
    history.changed(e, e.done_ms if verb == "load" else now_ms)


def order(e, now_ms, told, engine):
    """An order's status."""
    history.begin(e)
    _advance(e, now_ms)
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
    if e.order == (verb, model, adapter):
        return 202
    if e.order or told.get("expectedCount", e.callSeq) != e.callSeq:
        return 409
    if (verb == "load") == _has(e, model, adapter):
        return 200
    e.callSeq += 1
    e.order, e.done_ms = (verb, model, adapter), now_ms + _took_ms(e, now_ms, verb, model, adapter)
    history.changed(e, now_ms)
    return 202


def _took_ms(e, now_ms, verb, model, adapter):
    if verb == "unload":
        return 1.0
    usedMb = sum(e.sizes.models[m][0] + e.sizes.insertMb * len(a) for m, a in e.items.items())
    own_mb = e.sizes.insertMb if adapter else e.sizes.models[model][0]
    places = sum(len(a) for a in e.items.values()) + bool(adapter)
    if usedMb + own_mb > e.sizes.roomMb or places > e.sizes.places:
        e.wrong.append((now_ms, "beyond room", f"{model}/{adapter}"))
    if adapter:
        return 10.0
    if model in e.disk:
        return 0.4 * e.sizes.loadMs
    return _fetch(e, now_ms)


def _fetch(e, now_ms):
    """Weights from the store, which keeps count over five seconds."""
    s = e.store
    s.began_ms.append(now_ms)
    if sum(1 for ms in s.began_ms if now_ms - ms <= 5000) > 5 * s.per_s * 1.1 + 3:
        e.wrong.append((now_ms, "beyond the store's rate", ""))
    s.ends_ms = [ms for ms in s.ends_ms if ms > now_ms]
    took_ms = e.sizes.loadMs * max(1.0, (len(s.ends_ms) + 1) / s.atOnce)
    s.ends_ms.append(now_ms + took_ms)
    return took_ms


def report(e, now_ms):
    """How things stood `lagMs` ago, however long nobody has asked."""
    history.begin(e)
    _advance(e, now_ms)
    history.changed(e, now_ms)
    return e.reports[0][1]
