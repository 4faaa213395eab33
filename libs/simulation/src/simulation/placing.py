"""A placer driven without processes, against plain engines that carry out one order
at a time; time is simulated."""

import heapq
import itertools
from dataclasses import dataclass, field

from placement import counter_commands, placer, registry_view, state
from replication.shard_log import ShardLog
from transport.effects import EngineCall, Reply
from transport.events import CallEnded

__all__ = ["TERMS", "Late", "PlainEngine", "Scene", "Stale", "engine_facts"]

TERMS = state.PlacerSettings(
    call_timeout_ms=960.0, report_interval_ms=450.0, unreachable_ms=3000.0, turnMs=0.0, lagMs=300.0
)
SHARDS = 4
_TICK_MS = 40.0
_REPORT_LAG_MS = TERMS.lagMs - _TICK_MS


@dataclass(frozen=True)
class Late:
    """An order that a broken link holds up: its call ends without an answer after
    `ends_ms`, and the engine reads it after `arrives_ms`, though nobody waits any more."""

    ends_ms: float
    arrives_ms: float


@dataclass(frozen=True)
class Stale:
    """A report that an engine gives at once and that is read only after `read_ms`."""

    read_ms: float


@dataclass
class PlainEngine:
    """`broken`: what an engine would fall over, or a rule be broken, by.  `count`: how
    many orders it has taken."""

    name: str
    sizes: dict
    roomMb: float
    places: int
    loadMs: float
    items: set = field(default_factory=set)
    known: set = field(default_factory=set)
    order: tuple = ()
    done_ms: float = 0.0
    count: int = 0
    reports: list = field(default_factory=list)
    store_ms: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    broken: list = field(default_factory=list)


def engine_facts(name, service, **facts):
    return {
        "name": name,
        "service": service,
        "state": "join",
        "zone": "z",
        "slots": 8,
        "url": f"http://{name}",
        "roomMb": 0,
        "adapterPlaces": 0,
        **facts,
    }


def _advance(e, now_ms):
    """Finish what is due; keep what reports with lag may still say."""
    if e.order and now_ms >= e.done_ms:
        verb, item = e.order
        e.order = ()
        if verb == "load":
            e.items.add(item)
            e.known.add(item)
    kept = [r for r in e.reports if r[0] <= now_ms - _REPORT_LAG_MS]
    e.reports = [r for r in e.reports if r[0] > now_ms - 2000] or kept[-1:]
    e.reports.append((now_ms, tuple(sorted(e.items)), bool(e.order), e.count))


def _told(e, now_ms):
    """A report as things stood some while ago."""
    old = [r for r in e.reports if r[0] <= now_ms - _REPORT_LAG_MS] or e.reports[:1]
    _, items, busy, count = old[-1]
    return {
        "incarnation": e.name,
        "roomMb": 1 << 40,
        "adapterPlaces": 1 << 20,
        "items": {i: "loaded" for i in items},
        "busy": busy,
        "orders": count,
    }


def _ordered(e, now_ms, verb, item, expected=None):
    """An order's answer; what it breaks is kept."""
    e.orders.append((now_ms, verb, item))
    if e.order:
        return 202 if e.order == (verb, item) else 409
    if expected is not None and expected != e.count:
        return 409
    if (verb == "load") == (item in e.items):
        return 200
    if "/" in item and item.partition("/")[0] not in e.items:
        return 400
    e.count += 1
    if verb == "unload":
        e.items = {i for i in e.items if i.partition("/")[0] != item and i != item}
        return 202
    there = e.items | {item}
    if sum(e.sizes[i][0] for i in there) > e.roomMb or (
        sum(e.sizes[i][1] for i in there) > e.places
    ):
        e.broken.append((now_ms, item, "room"))
    if "/" not in item and item not in e.known:
        e.store_ms.append(now_ms)
    took_ms = 15.0 if "/" in item else e.loadMs * (0.3 if item in e.known else 1.0)
    e.order, e.done_ms = (verb, item), now_ms + took_ms
    return 202


class Scene:
    """`step` lets a tick's time pass.  `answers(call)` may give an order's answer in
    the engine's place, or say that it is "lost", that the order is "unsent", or `Late`."""

    def __init__(self, registry, service, engines, answers=None):
        self.registry, self.service, self.now_ms = registry, service, 10000.0
        self.shard = registry_view.shard_of(service, SHARDS)
        self.p = state.Placer(self.shard, 1, ShardLog(self.shard, 1, ready=True))
        self.p.not_before_ms = 0.0
        self.engines = {e.name: e for e in engines}
        self.calls, self.told, self._answers = [], [], answers or (lambda call: None)
        self._later, self._numbers = [], itertools.count()

    def _after(self, pause_ms, action):
        heapq.heappush(self._later, (self.now_ms + pause_ms, next(self._numbers), action))

    def step(self):
        self.now_ms += _TICK_MS
        for engine in self.engines.values():
            _advance(engine, self.now_ms)
        while self._later and self._later[0][0] <= self.now_ms:
            heapq.heappop(self._later)[2]()
        self._do(
            placer.tick(
                self.p,
                self.now_ms,
                self.registry,
                SHARDS,
                TERMS,
                self.now_ms + 10000,
                lambda name, life: False,
            )
        )
        self.durable()

    def command(self, verb, body):
        self._do(
            counter_commands.on_command(self.p, self.now_ms, "t", verb, body, self.registry, TERMS)
        )
        self.durable()

    def durable(self):
        """Everything logged so far is safe."""
        while self.p.held.waiting:
            waiting, self.p.held.waiting = self.p.held.waiting, []
            for _, then in waiting:
                self._do(
                    placer.on_durable(
                        self.p, self.now_ms, then, self.registry, TERMS, self.now_ms + 10000
                    )
                )
        self.p.held.unacked.clear()

    def _do(self, effects):
        for effect in effects:
            if isinstance(effect, Reply):
                self.told.append(effect)
            elif isinstance(effect, EngineCall):
                self._call(effect)

    def _call(self, call):
        self.calls.append((self.now_ms, call))
        engine, id_ = self.engines[call.engine], call.id.split("|", 2)[2]
        told = self._answers(call)
        if told is None and call.verb == "report":
            told = CallEnded(call.id, 200, _told(engine, self.now_ms))
        elif isinstance(told, Stale):
            report = CallEnded(call.id, 200, _told(engine, self.now_ms))
            self._after(told.read_ms, lambda: self._called(id_, report))
            return
        elif told == "unsent":
            told = CallEnded(call.id, 0, {}, False)
        elif isinstance(told, Late):
            self._after(told.arrives_ms, lambda: self._order(engine, call))
            self._after(told.ends_ms, lambda: self._called(id_, CallEnded(call.id, 0)))
            return
        elif told in (None, "lost"):
            code = self._order(engine, call)
            told = CallEnded(call.id, code if told is None else 0)
        self._called(id_, told)

    def _order(self, engine, call):
        body = call.body
        return _ordered(engine, self.now_ms, call.verb, body["item"], body.get("expected"))

    def _called(self, id_, told):
        self._do(placer.on_called(self.p, self.now_ms, id_, told, self.registry, SHARDS, TERMS))
