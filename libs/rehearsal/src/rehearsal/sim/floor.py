"""Engines and callers in the simulated world.

Orders and reports travel to stand-in engine cores; callers' tasks follow the
same steps as on a real request thread: ask the owner, run the leg it gives,
tell how it ended.  Everything that matters is written into the history.
"""

from dataclasses import dataclass, field

from junction import pieces
from junction.router import Leg
from rehearsal import engine as engines
from rehearsal.sim import world as worlds
from waybill import events as e
from waybill import failures

__all__ = ["History", "SimEngine", "call", "caller", "add_engine"]

_PIECES = 6
_PIECE_MS = 40.0


@dataclass
class SimEngine:
    core: engines.Engine
    zone: str
    up: bool = True
    frozen: bool = False
    silent: bool = False
    foreign: bool = False
    born: float = 0.0
    life: int = 0


@dataclass
class History:
    begun: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    engineNews: list = field(default_factory=list)
    zoneNews: list = field(default_factory=list)
    acked: list = field(default_factory=list)
    asked: int = 0
    legs: int = 0
    firstLegs: int = 0
    wrong: list = field(default_factory=list)


def add_engine(world, facts, fencing, loadMs=300.0):
    core = engines.Engine(facts["name"], facts["roomMb"], facts["adapterPlaces"],
                          facts["slots"], facts["name"] + ".1", loadMs=loadMs,
                          fencing=fencing, plain=facts["roomMb"] == 0)
    world.engines[facts["name"]] = SimEngine(core, facts["zone"], born=world.nowMs)


def call(world, history, host, effect, life):
    """A placer's order or report, there and back."""
    if effect.notAfterMs < worlds.local(world, host):
        worlds.post(world, host, e.Called(effect.id, 0, {}, False))
        return
    done = []

    def answer(code, body, begun=True):
        if not done and host.life == life:
            done.append(1)
            worlds.post(world, host, e.Called(effect.id, code, body, begun))

    engine = world.engines.get(effect.engine)
    if engine is None or not engine.up:
        worlds.after(world, 1.0, lambda: answer(0, {}, False))
        return
    worlds.after(world, effect.timeoutMs, lambda: answer(0, {}))
    if not worlds.reaches(world, host.name, effect.engine):
        return

    sentMs = world.nowMs

    def arrive():
        if not engine.up:
            answer(0, {})
        elif engine.frozen:
            worlds.after(world, 50.0, arrive)
        else:
            code, body = _serve(world, history, engine, effect, sentMs)
            if not engine.silent and worlds.reaches(world, effect.engine, host.name):
                worlds.after(world, worlds.latency(world), lambda: answer(code, body))
    worlds.after(world, worlds.latency(world), arrive)


def _serve(world, history, engine, effect, sentMs):
    if effect.verb == "report":
        return 200, engines.report(engine.core, world.nowMs)
    code, body = engines.order(engine.core, world.nowMs, effect.verb, effect.body)
    history.orders.append((world.nowMs, engine.core.name, engine.core.incarnation,
                           effect.body["shard"], effect.body["epoch"], effect.verb,
                           effect.body["item"], code, sentMs))
    return code, body


def caller(world, history, host, told, then=None):
    """One task through a counter; its ending goes into the history."""
    history.asked += 1
    task = {"id": told["id"], "atMs": world.nowMs, "told": told, "node": host.name}
    life = host.life

    def end(outcome, seen=()):
        if "outcome" not in task:
            task.update(outcome=outcome, seen=list(seen), endMs=world.nowMs)
            history.ended.append(task)
            if then:
                then(task)

    def ask(verb, body, got):
        if host.life != life or host.node is None:
            end(failures.OutcomeUnknown("node-gone"))
            return
        world.replies[host.name, life, token] = got
        worlds.post(world, host, e.Asked(token, verb, body))

    def step(outcome):
        if isinstance(outcome, Leg):
            history.legs += 1
            if not task.get("legs"):
                history.firstLegs += 1
            task["legs"] = task.get("legs", 0) + 1
            _run_leg(world, history, host, life, told, outcome, lambda proof, answer, seen: finish(
                proof, answer, seen))
        else:
            end(outcome)

    def finish(proof, answer, seen):
        if host.life != life:
            end(failures.OutcomeUnknown("node-gone"), seen)
        elif answer is not None:
            end(answer, seen)
            ask("ended", {"proof": proof}, lambda _: None)
        else:
            ask("ended", {"proof": proof}, step)

    token = f"t{history.asked}"
    ask("task", told, step)
    def watch():
        if "outcome" not in task and host.life != life:
            end(failures.OutcomeUnknown("node-gone"))
        elif "outcome" not in task and world.nowMs < task["atMs"] + told["deadlineMs"] + 20000:
            worlds.after(world, 500.0, watch)
    watch()


def _run_leg(world, history, host, life, told, leg, done):
    """Run a task on an engine; calls done(proof, answer or None, pieces seen)."""
    engine = world.engines.get(leg.engine)
    if engine is None or not engine.up:
        worlds.after(world, 1.0, lambda: done("no-pipe", None, ()))
        return
    run, seen, state = pieces.Run(told["id"]), [], {"open": True}
    givenMs = world.nowMs

    def close(proof, answer=None):
        if state["open"]:
            state["open"] = False
            done(proof, answer, seen)

    def broken():
        if seen:
            close("gone", failures.StreamCut("leg-broken", run.next))
        else:
            close("unknown")
    worlds.after(world, leg.timeoutMs, broken)

    def arrive():
        if not engine.up:
            return broken()
        if engine.frozen:
            return worlds.after(world, 50.0, arrive)
        item = (told["model"], told["adapter"])
        why = engines.can_run(engine.core, world.nowMs, *item)
        if why:
            return worlds.after(world, worlds.latency(world), lambda: close("not-run"))
        name = engines.begin(engine.core, world.nowMs, told["id"])
        history.begun.append((world.nowMs, leg.engine, engine.zone, told["id"],
                              engine.born, told["repeatable"], engine.core.running,
                              givenMs))
        emit(name, 0, engine.life)

    def emit(name, n, engineLife):
        if engine.life != engineLife:
            return broken()
        if engine.frozen:
            return worlds.after(world, 50.0, lambda: emit(name, n, engineLife))
        last = n == _PIECES - 1
        piece = {"task": "someone-else" if engine.foreign else told["id"], "run": name,
                 "n": n, "last": last}
        if worlds.reaches(world, leg.engine, host.name):
            worlds.after(world, 0.5, lambda: take(piece))
        if last:
            engines.finish(engine.core)
        else:
            worlds.after(world, _PIECE_MS, lambda: emit(name, n + 1, engineLife))

    def take(piece):
        if not state["open"] or host.life != life:
            return
        judged = pieces.take(run, piece)
        if isinstance(judged, pieces.Cut):
            broken() if seen else close("unknown")
        elif isinstance(judged, pieces.Pass):
            if told["stream"] or judged.last:
                seen.append(piece)
            if judged.last:
                close("done", {"task": told["id"], "pieces": run.next})

    if worlds.reaches(world, host.name, leg.engine):
        worlds.after(world, worlds.latency(world), arrive)
