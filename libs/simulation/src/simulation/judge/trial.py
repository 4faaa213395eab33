"""A judged trial: a fleet of real processes, callers, an operator and faults, bounded in
time and in tries, and what broke."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass, field

from simulation import platform_made as made
from simulation.judge.comparison import differences
from simulation.judge.faults import Faults
from simulation.judge.ledger import Ledger, Run, digest, raw_fields
from simulation.judge.operators import TimedOperator, unanswered
from simulation.judge.senders import Senders, Traffic
from simulation.judge.starvation import starved
from simulation.platform_engine import Sizes, Store
from simulation.platform_fleet import PlatformFleet
from simulation.platform_serving import now_ms

__all__ = ["ACKNOWLEDGE_MS", "CONTACT_MS", "Plan", "Report", "Trial", "judge"]

ACKNOWLEDGE_MS = 4000.0
CONTACT_MS = 3000.0
# Within this time an acknowledged configuration is in force everywhere, and requests of before are
# answered.
APPLY_MS = 4000.0
_CHANGE_PAUSE_S = 1.4
# From the last fault to the last look: what is under way ends, and orders are answered.
_SETTLE_S = 8.0
_BROKEN_NODE = ("-m", "simulation.judge.broken_node")


@dataclass(frozen=True)
class Plan:
    """What a trial does; `mutant` names what is broken in every node, if anything.  `load_ms`: how
    long a load takes; `hold_ms`, `aim_ms`: the time-out and the target of the routes;
    `drops_models`: whether the operator takes models out of the configuration, one at a time, and
    puts them back."""

    seed: int
    seconds: float
    tries: int
    callers: int = 12
    faults: bool = True
    on_core: bool = True
    mutant: str = ""
    models: int = 9
    counters: int = 3
    engines_by_zone: int = 2
    load_ms: float = 300.0
    hold_ms: int = 8000
    aim_ms: int = 500
    drops_models: bool = False


@dataclass
class Report:
    """What a trial found; `broken` is empty if all is well."""

    seed: int
    tries: int = 0
    ran: int = 0
    served: int = 0
    orders: int = 0
    longest_order_ms: float = 0.0
    struck: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)


class Trial:
    """A fleet of real processes with its engines, configuration and operator."""

    def __init__(self, plan):
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.ledger = Ledger()
        program = (*_BROKEN_NODE, plan.mutant) if plan.mutant else ("platform/start.py",)
        self.fleet = PlatformFleet(
            tempfile.mkdtemp(), plan.seed, self._observe, program, plan.counters
        )
        self._ready, self._ready_ms = [], -1e12
        self._configure()
        self.operator = TimedOperator(self._depots, random.Random(plan.seed + 1))
        self._lock = threading.Lock()
        self.drops, self._dropped, self._dropped_ms = [], "", 0.0

    def _observe(self, engine, handler, body):
        head = {name.lower(): value for name, value in handler.headers.items()}
        after = int(head.get("last-event-id") or 0)
        id_ = head.get("x-try-id", "")
        self.ledger.add_run(
            Run(
                engine.id,
                engine.service,
                id_,
                handler.command,
                handler.path,
                raw_fields(head),
                digest(body),
                after,
                now_ms(),
            )
        )

    def _configure(self):
        rng = self.rng
        models = made.models_service(rng, made.word(rng), self.plan.models, 2)
        models.update(warmupS=1.0, warmupPerS=60.0)
        models["engine"].update(loadPerS=8.0, weightMb=150000.0, slots=8)
        plain = [made.plain_service(rng, made.word(rng)) for _ in range(2)]
        kinds = ((models, "stream"), (models, "stream"), (plain[0], "safe"), (plain[1], "unsafe"))
        routes = [made.route(rng, f"r-{made.word(rng)}", [s["name"]], kind) for s, kind in kinds]
        for number, route in enumerate(routes):
            route.update(transitLimitMs=self.plan.hold_ms, targetMs=self.plan.aim_ms, tries=2)
            if number < 2:
                route.update(resumable=number == 0, gapTargetMs=600)
        self.whole = {
            "edition": 1,
            "routes": routes,
            "services": [models, *plain],
            "limits": {"headerMaxBytes": 16384, "bodyMaxBytes": 4194304},
        }
        self.parcels = models["engine"]["parcels"]
        items = [p["name"] for p in self.parcels]
        items += [f"{p['name']}/a{n + 1}" for p in self.parcels for n in range(p["inserts"])]
        self.traffic = Traffic(tuple(routes), tuple(items), hold_ms=self.plan.hold_ms)

    def furnish(self):
        """Engines of models and two plain services, in three zones."""
        models, one, other = (service["name"] for service in self.whole["services"])
        sizes = {p["name"]: (p["weightMb"], [f"a{n + 1}" for n in range(9)]) for p in self.parcels}
        self.sizes = Sizes(
            8, 20000, 150000.0, 8, self.plan.load_ms, 1.0, 80.0, 4, 1000.0, 60.0, sizes, 12.0
        )
        self.store = Store(8.0, 3)
        for number, zone in enumerate(self.fleet.zones):
            for extra in range(self.plan.engines_by_zone):
                place = self.plan.engines_by_zone * number + extra
                held = [self.parcels[place % len(self.parcels)]["name"]]
                self.fleet.engine(models, self.sizes, self.store, False, zone, held)
            self.fleet.engine(one, self.sizes, self.store, True, zone)
            self.fleet.engine(other, self.sizes, self.store, True, zone)

    def replace(self, like, address):
        """A new engine like another; at an address only if it can be had there."""
        try:
            self.fleet.engine(
                like.service, self.sizes, self.store, like.plain, like.zone, address=address
            )
        except OSError:
            if address is not None:
                self.replace(like, None)

    def _depots(self):
        return [self.fleet.address(name, "control") for name in self.fleet.depots]

    def ready(self):
        """Counters that callers are sent to, asked for about once a second."""
        with self._lock:
            if now_ms() - self._ready_ms > 1000:
                self._ready, self._ready_ms = self.fleet.ready(), now_ms()
            return self._ready

    def start(self):
        self.furnish()
        self.fleet.start_all()
        self.operator.order("PUT", "/config", self.whole, 0)
        self.fleet.until(lambda: len(self.fleet.ready()) == len(self.fleet.counters))
        self.operator.orders.clear()

    def change(self, stop):
        """One change after another, each on top of the last."""
        edition = self.whole["edition"]
        while not stop():
            hold_ms = self.plan.hold_ms + edition % 7
            upsert = {"routes": [{**self.whole["routes"][0], "transitLimitMs": hold_ms}]}
            if self.plan.drops_models:
                upsert["services"] = [self._next_models()]
            body = {"edition": edition + 3, "upsert": upsert}
            order = self.operator.order("PATCH", "/config", body, edition)
            edition = edition + 3 if order.status == 200 else edition
            time.sleep(_CHANGE_PAUSE_S)

    def _next_models(self):
        """The service of models without one of them, or with all if one was missing."""
        service, at_ms = self.whole["services"][0], now_ms()
        if self._dropped:
            self.drops.append((self._dropped, self._dropped_ms, at_ms + APPLY_MS))
            self._dropped = ""
            return service
        self._dropped, self._dropped_ms = self.rng.choice(self.parcels)["name"], at_ms
        parcels = [parcel for parcel in self.parcels if parcel["name"] != self._dropped]
        return {**service, "engine": {**service["engine"], "parcels": parcels}}

    def asked_for_listed(self, asked):
        """The requests of `asked` for items that the configuration listed all the while."""
        drops = list(self.drops)
        if self._dropped:
            drops.append((self._dropped, self._dropped_ms, float("inf")))
        return [
            request
            for request in asked
            if not any(
                name == item.partition("/")[0] and from_ms <= request.at_ms <= to_ms
                for name, from_ms, to_ms in drops
                for item in request.items
            )
        ]


def judge(plan):
    """Run a Plan and return its Report."""
    trial = Trial(plan)
    try:
        return _judged(trial)
    finally:
        trial.fleet.stop_all()


def _judged(trial):
    plan = trial.plan
    trial.start()
    end_s = time.monotonic() + plan.seconds

    def over():
        return time.monotonic() > end_s

    senders = Senders(trial.ready, trial.traffic, trial.ledger, plan.seed, plan.callers)
    faults = Faults(trial.fleet, random.Random(plan.seed + 2), trial.replace, plan.on_core)
    workers = [threading.Thread(target=trial.change, args=(over,))]
    if plan.faults:
        workers.append(threading.Thread(target=faults.run, args=(over,)))
    for worker in workers:
        worker.start()
    senders.run(over, plan.tries)
    for worker in workers:
        worker.join()
    time.sleep(_SETTLE_S)
    trial.operator.order("PATCH", "/config", {"edition": 1, "upsert": {}}, 0)
    return _report(trial, senders, faults)


def _report(trial, senders, faults):
    ledger, orders = trial.ledger, trial.operator.orders
    engines = trial.fleet.platform.engines()
    found = [vars(d) for d in differences(ledger)]
    found += [
        {"rule": "ACKS", "id": order.what, "detail": f"{order.answered_ms - order.sent_ms:.0f} ms"}
        for order in unanswered(orders, faults.hurt.core, ACKNOWLEDGE_MS, CONTACT_MS)
    ]
    found += [
        {"rule": "STARVED", "id": s.sort, "detail": f"{s.names} of {s.asked_for}"}
        for s in starved(senders.asked)
    ]
    found += [
        {"rule": "LIMIT", "id": e.id, "detail": str(wrong)}
        for e in engines
        for wrong in e.wrong
        if wrong[1] == "beyond room"
    ]
    return Report(
        trial.plan.seed,
        len(ledger.sent),
        len(ledger.ran),
        sum(asked.served for asked in senders.asked),
        len(orders),
        round(max((o.answered_ms - o.sent_ms for o in orders), default=0.0)),
        dict(faults.struck),
        found,
    )
