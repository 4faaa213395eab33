"""The brief's faults on real processes, judged by the simulator's checkers.

Callers run all the time; every engine writes down, in a file that outlives it,
what reached it and when (one clock for all processes of a machine).  From that,
from what callers saw and from what operators were told, a history like a
simulated run's is put together.
"""

import json
import random
import threading
import time
from types import SimpleNamespace

from pulleyhitch.config import Bounds
from transport import failures

from simulation import deployments, records
from simulation.calling import read_stream
from simulation.sim import checkers, floor

__all__ = ["Trial", "STEPS", "run"]

_KINDS = {
    "overloaded": failures.Overloaded,
    "no-room": failures.NoRoom,
    "stale": failures.Stale,
    "unknown-model": failures.UnknownModel,
}


class Trial:
    """`go` takes a fleet through steps by name and returns what checkers found."""

    def __init__(self, fleet, say=print):
        self.fleet, self._say, self._rng = fleet, say, random.Random(1)
        self.history, self.back_ms, self._count = floor.History(), None, 0
        self._stop, self._lock = threading.Event(), threading.Lock()

    def go(self, steps):
        callers = [threading.Thread(target=self._caller, args=(n,)) for n in range(6)]
        for caller in callers:
            caller.start()
        try:
            for name in steps:
                start_s = time.monotonic()
                STEPS[name](self)
                self._say(f"  {name}: {time.monotonic() - start_s:.1f} s")
        finally:
            self._stop.set()
            for caller in callers:
                caller.join()
        return self._judge()

    def node(self, among="dc"):
        up = [n for n in self.fleet.running if n[0] in among]
        return self._rng.choice(sorted(up))

    def change(self, verb, body, actor="platform"):
        """Until it is acknowledged, by whichever node; remembers what it was told."""
        self._count += 1
        body = {**body, "change": f"trial{self._count}"}

        def asked():
            code, told = self.fleet.call(
                self.node(),
                "POST",
                f"/operator/{verb}",
                body,
                [f"X-Partner: {actor}"],
                timeout_ms=4000,
            )
            return told if code == 200 else None

        told = self.fleet.until(asked)
        if not told.get("same"):
            self.history.acked.append((body["change"], told["stamp"], _now_ms()))
        self._last = (verb, body, actor)
        return told["stamp"]

    def shut(self, news, key, shut, verb, body):
        told = {"atMs": _now_ms(), "key": key, "shut": shut, "stamp": None}
        if not shut:
            news.append(told)
        told["stamp"] = self.change(verb, body)
        if shut:
            news.append({**told, "atMs": _now_ms()})

    def zone(self, name, evacuated):
        self.shut(
            self.history.zone_news, name, evacuated, "zone", {"zone": name, "evacuated": evacuated}
        )

    def engine(self, name, state):
        (facts,) = [
            f
            for f in deployments.engine_list(
                self.fleet.deployment, lambda n: f"http://127.0.0.1:{self.fleet.engine_port[n]}"
            )
            if f["name"] == name
        ]
        self.shut(
            self.history.engine_news,
            name,
            state != "join",
            "engines",
            {"engines": [{**facts, "state": state}]},
        )

    def leader(self):
        at = {a: n for n, a in self.fleet.address.items()}
        return self.fleet.until(
            lambda: at.get(
                self.fleet.call(self.node("c"), "GET", "/operator/believes", timeout_ms=3000)[
                    1
                ].get("leader")
            )
        )

    def serving(self, names):
        d = self.fleet.deployment
        for name in names:
            self.fleet.until(
                lambda n=name: (
                    self.fleet.call(n, "GET", f"/v1/lookup/{d.plain_service}/x", timeout_ms=2000)[0]
                    == 200
                )
            )

    def _caller(self, number):
        while not self._stop.wait(0.15):
            self.ask(random.Random(f"{number}.{time.monotonic()}"))

    def ask(self, rng, hot=False):
        d = self.fleet.deployment
        up = [n for n in list(self.fleet.running) if n[0] == "c"]
        if not up:
            return
        with self._lock:
            self.history.asked += 1
            id_ = f"t{self.history.asked}"
        node, at_ms = rng.choice(sorted(up)), _now_ms()
        cls, _, stream, deadlineMs = rng.choices(d.classes, [c[1] for c in d.classes])[0]
        body = {
            "id": id_,
            "service": d.service,
            "class": cls,
            "prompt": f"p{rng.random()}",
            "model": f"m{0 if hot else rng.randrange(d.models):02d}",
            "stream": stream,
            "deadlineMs": deadlineMs,
        }
        seen, outcome = [], failures.OutcomeUnknown("broken")
        try:
            if stream:
                whole, seen = read_stream(self.fleet.http[node], body)
                outcome = {"whole": True} if whole else outcome
            else:
                code, told = self.fleet.call(node, "POST", "/v1/task", body)
                kind = _KINDS.get(told.get("failure"))
                if code == 200:
                    outcome, seen = told, [{**told, "n": 0, "last": True}]
                elif kind:
                    outcome = kind(
                        *(
                            [1000, ""]
                            if kind is failures.Overloaded
                            else [1000, "", ""]
                            if kind is failures.NoRoom
                            else [0, 0]
                        )
                    )
        except OSError:
            pass
        seen = [{**p, "task": p["task"].rpartition(".")[0]} for p in seen]
        with self._lock:
            self.history.ended.append(
                {
                    "id": id_,
                    "told": body,
                    "outcome": outcome,
                    "seen": seen,
                    "atMs": at_ms,
                    "endMs": _now_ms(),
                    "node": node,
                    "legs": 0,
                    "left": False,
                }
            )

    def _judge(self):
        lives = records.read(self.fleet, self.history)
        verb, body, actor = self._last
        final = {}
        for change, _, _ in self.history.acked:
            told = self.fleet.until(
                lambda c=change: (
                    self.fleet.call(
                        self.node(),
                        "POST",
                        f"/operator/{verb}",
                        {**body, "change": c},
                        [f"X-Partner: {actor}"],
                    )[1]
                    or None
                )
            )
            final[change] = told.get("stamp")
        run_ = SimpleNamespace(
            history=self.history,
            deployment=self.fleet.deployment,
            bounds=Bounds(),
            world=SimpleNamespace(engines=lives),
            final_changes={"(log)": final},
            back_ms=self.back_ms if self.back_ms is not None else 0.0,
            missing=[],
        )
        return {name: found for name in records.CHECKED if (found := checkers.ALL[name](run_))}


def _now_ms():
    return time.monotonic() * 1000


def _lost_zone(t):
    """Power and disk of a zone's machines, just after an evacuation of it was
    acknowledged; they return empty, at new addresses where they are depots."""
    fleet = t.fleet
    lost = fleet.deployment.zones[1]
    t.zone(lost, True)
    names = [n for n in list(fleet.running) if fleet.zone(n) == lost]
    for name in names:
        fleet.kill(name)
    t.change("zone", {"zone": fleet.deployment.zones[0], "evacuated": False})
    t.serving([n for n in fleet.counters if n in fleet.running])
    for name in names:
        if name in fleet.depots:
            fleet.wipe(name)
        fleet.start(name)
    t.serving(fleet.counters)

    def members():
        return {
            m["name"]: m["address"]
            for m in fleet.call(fleet.counters[0], "GET", "/operator/believes")[1].get(
                "members", ()
            )
        }

    fleet.until(lambda: all(members().get(n) == fleet.address[n] for n in fleet.depots))
    t.zone(lost, False)


def _yes_and_gone(t):
    """The leader's machine is lost the moment it has acknowledged."""
    lead, zone = t.leader(), t.fleet.deployment.zones[2]
    t.zone(zone, True)
    t.fleet.kill(lead)
    t.fleet.wipe(lead)
    t.zone(zone, False)
    t.fleet.start(lead)
    t.fleet.until(lambda: t.fleet.call(lead, "GET", "/operator/read/zones")[0] == 200)


def _crowd(t):
    """An engine of each kind restarts, and everybody comes."""
    for name in ("e0", "p0"):
        t.fleet.kill(name)
        t.fleet.start(name)
    crowd = [threading.Thread(target=t.ask, args=(random.Random(n), True)) for n in range(150)]
    for each in crowd:
        each.start()
        time.sleep(0.01)
    for each in crowd:
        each.join()


def _rolling(t):
    """Every engine of the pool replaced, one after another, at short notice."""
    for name in [n for n in t.fleet.engines if n[0] == "e"]:
        t.engine(name, "leaving")
        t.engine(name, "gone")
        t.fleet.kill(name)
        t.fleet.start(name)
        t.engine(name, "join")
        t.fleet.until(
            lambda n=name: any(
                e["incarnation"]
                for e in t.fleet.call(t.node(), "GET", f"/operator/read/engines?name={n}")[1].get(
                    "engines", ()
                )
            )
        )


def _full_stop(t):
    fleet = t.fleet
    ours = fleet.depots + fleet.counters
    for name in ours:
        fleet.kill(name)
    start_s = time.monotonic()
    for name in ours:
        fleet.start(name)
    t.change("zone", {"zone": fleet.deployment.zones[0], "evacuated": False})
    t.serving(fleet.counters)
    t.back_ms = (time.monotonic() - start_s) * 1000


STEPS = {
    "lost-zone": _lost_zone,
    "yes-and-gone": _yes_and_gone,
    "crowd": _crowd,
    "rolling": _rolling,
    "full-stop": _full_stop,
}


def run(fleet, steps, say=print):
    """All of it on a started and furnished fleet; what the checkers found."""
    d, trial = fleet.deployment, Trial(fleet, say)
    trial.serving(fleet.counters)
    fleet.until(
        lambda: (
            fleet.call(
                "c0",
                "POST",
                "/v1/task",
                {"service": d.service, "model": "m00", "class": d.classes[0][0], "prompt": "p"},
            )[0]
            == 200
        )
    )
    found = trial.go(steps)
    answered = sum(isinstance(t["outcome"], dict) for t in trial.history.ended)
    say(
        f"{d.name}: {trial.history.asked} tasks, {answered} answered, "
        f"{len(trial.history.begun)} runs, {len(trial.history.orders)} orders, "
        f"{len(trial.history.acked)} changes, back after {trial.back_ms or 0:.0f} ms; "
        f"red: {json.dumps(found)[:2000] if found else 'none'}"
    )
    return found
