"""A soak: real processes, callers that keep their connections, and troubles in series that
overlap, from one seed; what broke, as a report."""

import random
import threading
import time
from dataclasses import dataclass, field

from simulation.judge.comparison import differences
from simulation.judge.operators import unanswered
from simulation.judge.senders import Senders
from simulation.judge.starvation import starved
from simulation.judge.trial import ACKNOWLEDGE_MS, CONTACT_MS, Plan, Trial
from simulation.platform_faults import Fault
from simulation.platform_serving import now_ms
from simulation.soak import checks
from simulation.soak.kept_callers import KeptCallers
from simulation.soak.nodes import Nodes
from simulation.soak.plan import ORDERLY_STOPS, SIZES, TroubleKind, troubles

__all__ = ["SoakReport", "soak"]

_SETTLE_S = 9.0
_MOST_TRIES = 1_000_000
_BESIDE_CALLERS = 4
_ANSWERS_AT_ONCE = 6
_ENGINE_ANSWERS = tuple(fault for fault in Fault if fault is not Fault.SILENT)


@dataclass
class SoakReport:
    """What a soak did and found; `broken` is empty if all is well."""

    seed: int
    size: str
    tries: int = 0
    ran: int = 0
    served: int = 0
    kept_on: int = 0
    orders: int = 0
    struck: dict = field(default_factory=dict)
    stops: int = 0
    longest_stop_s: float = 0.0
    broken: list = field(default_factory=list)


class _Soak:
    def __init__(self, plan):
        size = SIZES[plan.size]
        self.plan, self.size = plan, size
        self.trial = Trial(
            Plan(
                plan.seed,
                plan.seconds,
                _MOST_TRIES,
                size.callers,
                models=size.models,
                counters=size.counters,
                engines_by_zone=size.engines,
                load_ms=size.load_ms,
                hold_ms=size.hold_ms,
                aim_ms=size.aim_ms,
                drops_models=size.drops_models,
            )
        )
        self.fleet, self.nodes = self.trial.fleet, Nodes(self.trial.fleet)
        self.struck, self.hurt, self.core_hurt, self.stops = {}, [], [], []
        self._lock = threading.Lock()

    def run(self):
        """Callers and changes until the time is over, and each Trouble at its time."""
        self.trial.start()
        before = self._uses()
        start_s = time.monotonic()
        end_s = start_s + self.plan.seconds

        def over():
            return time.monotonic() > end_s

        trial, plan = self.trial, self.plan
        kept = KeptCallers(trial.ready, trial.traffic, trial.ledger, plan.seed, self.size.callers)
        beside = Senders(trial.ready, trial.traffic, trial.ledger, plan.seed, _BESIDE_CALLERS)
        workers = [
            threading.Thread(target=trial.change, args=(over,)),
            threading.Thread(target=kept.run, args=(over, _MOST_TRIES)),
            threading.Thread(target=beside.run, args=(over, _MOST_TRIES)),
        ]
        workers += [
            threading.Thread(target=self._at, args=(start_s, trouble)) for trouble in troubles(plan)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        time.sleep(_SETTLE_S)
        trial.operator.order("PATCH", "/config", {"edition": 1, "upsert": {}}, 0)
        return self._report(kept, beside, before)

    def _at(self, start_s, trouble):
        time.sleep(max(0.0, start_s + trouble.at_s - time.monotonic()))
        begun_ms = now_ms()
        if trouble.kind.name.startswith("ENGINE"):
            with self._lock:
                self._strike_engine(trouble)
        else:
            names = self.fleet.depots if trouble.on_depot else self.fleet.counters
            name = names[int(trouble.target * len(names))]
            self.nodes.strike(name, trouble.kind, trouble.for_s)
            if trouble.on_depot:
                self.core_hurt.append((begun_ms, now_ms() + CONTACT_MS))
            if trouble.kind in ORDERLY_STOPS and not trouble.on_depot:
                self.stops.append((self.fleet.address(name, "counter"), begun_ms, now_ms()))
            else:
                self.hurt.append((begun_ms, now_ms() + CONTACT_MS))
        self.struck[trouble.kind.name] = self.struck.get(trouble.kind.name, 0) + 1

    def _strike_engine(self, trouble):
        doors = sorted(self.fleet.platform.doors.items())
        id_, door = doors[int(trouble.target * len(doors))]
        platform, replace = self.fleet.platform, self.trial.replace
        begun_ms = now_ms()
        if trouble.kind is TroubleKind.ENGINE_CRASH:
            platform.crash(id_)
            replace(door.engine, None)
        elif trouble.kind is TroubleKind.ENGINE_LEAVES:
            replace(door.engine, None)
            platform.leave(id_)
        elif trouble.kind is TroubleKind.ENGINE_MOVES_IN:
            others = [d.engine for _, d in doors if d.engine.service != door.engine.service]
            platform.crash(id_)
            if others:
                replace(others[0], door.engine.address)
            replace(door.engine, None)
        else:
            rng = random.Random(f"{self.plan.seed} {trouble.at_s}")
            door.faults.extend(rng.choice(_ENGINE_ANSWERS) for _ in range(_ANSWERS_AT_ONCE))
        self.hurt.append((begun_ms, now_ms() + CONTACT_MS))

    def _uses(self):
        addresses = self.fleet.peer_addresses()
        return {
            name: checks.use_of(process.pid, addresses)
            for name, process in self.fleet.running.items()
            if process.poll() is None
        }

    def _report(self, kept, beside, before):
        trial, ends = self.trial, self.nodes.ends
        asked, orders = kept.asked + beside.asked, trial.operator.orders
        after = self._uses()
        first = max(before.values(), key=lambda use: use.files)
        broken = [vars(d) for d in differences(trial.ledger)]
        broken += [
            {"rule": "ACKS", "id": o.what, "detail": f"{o.answered_ms - o.sent_ms:.0f} ms"}
            for o in unanswered(orders, self.core_hurt, ACKNOWLEDGE_MS, CONTACT_MS)
        ]
        broken += [
            {"rule": "STARVED", "id": s.sort, "detail": f"{s.names} of {s.asked_for}"}
            for s in starved(trial.asked_for_listed(asked))
        ]
        broken += [
            {"rule": "LIMIT", "id": engine.id, "detail": str(wrong)}
            for engine in self.fleet.platform.engines()
            for wrong in engine.wrong
            if wrong[1] == "beyond room"
        ]
        found = checks.abrupt_ends(ends + self.nodes.unasked_ends()) + checks.late_stops(ends)
        found += checks.cut_by_stops(kept.lost, self.stops, self.hurt)
        found += checks.tracebacks(self.fleet.folder)
        for name, use in sorted(after.items()):
            found += checks.grown(name, before.get(name, first), use, len(self.fleet.ip))
        broken += [vars(d) for d in found]
        return SoakReport(
            self.plan.seed,
            self.plan.size,
            len(trial.ledger.sent),
            len(trial.ledger.ran),
            sum(a.served for a in asked),
            kept.kept_on,
            len(orders),
            dict(sorted(self.struck.items())),
            len(ends),
            max((end.took_s for end in ends), default=0.0),
            broken,
        )


def soak(plan):
    """Run a SoakPlan and return its SoakReport."""
    made = _Soak(plan)
    try:
        return made.run()
    finally:
        made.fleet.stop_all()
