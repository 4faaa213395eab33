"""Callers in the simulated world.

Callers' tasks follow the same steps as on a real request thread: ask the
owner, run the leg it gives, tell how it ended.  Everything that matters is
written into the history.
"""

from dataclasses import dataclass, field

from routing import pieces
from routing.router import Attempt, Done
from transport import events as e
from transport import failures

from simulation import engine as engines
from simulation.sim import world as worlds

__all__ = ["History", "Begun", "caller"]

_PIECES = 6
_PIECE_MS = 40.0


@dataclass(frozen=True)
class Begun:
    """A task began to run on an engine; `given_ms` and `stamp` are of the node
    that gave it out, when it did."""

    at_ms: float
    engine: str
    zone: str
    task: str
    born: float
    repeatable: bool
    running: int
    given_ms: float
    node: str
    stamp: int


@dataclass
class History:
    begun: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    loads: list = field(default_factory=list)
    engine_news: list = field(default_factory=list)
    zone_news: list = field(default_factory=list)
    acked: list = field(default_factory=list)
    asked: int = 0
    asked_ms: list = field(default_factory=list)
    retries_ms: list = field(default_factory=list)
    resumed: int = 0
    wrong: list = field(default_factory=list)


def caller(world, history, host, told, then=None, leaves_ms=None):
    """One task through a counter; its ending goes into the history.  With
    `leaves_ms` the caller hangs up after that long, wherever its task is."""
    history.asked += 1
    history.asked_ms.append(world.now_ms)
    task = {
        "id": told["id"],
        "atMs": world.now_ms,
        "told": told,
        "node": host.name,
        "legs": 0,
        "left": False,
    }
    life = host.life

    def end(outcome, seen=()):
        if "outcome" not in task:
            task.update(outcome=outcome, seen=list(seen), endMs=world.now_ms)
            history.ended.append(task)
            if then:
                then(task)

    def ask(verb, body, got):
        if host.life != life or host.node is None:
            end(failures.OutcomeUnknown("node-gone"))
            return
        world.replies[host.name, life, token] = got
        worlds.post(world, host, e.LocalRequest(token, verb, body))

    def step(outcome):
        if isinstance(outcome, Attempt):
            if task["legs"]:
                history.retries_ms.append(world.now_ms)
            task["legs"] += 1
            _run_leg(world, history, host, life, task, outcome, finish, ask)
        elif isinstance(outcome, Done) and task["left"]:
            end(failures.OutcomeUnknown("caller-left"))
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

    def leave():
        """A whole answer's thread does not look while its leg runs."""
        if "outcome" not in task and host.life == life and host.node is not None:
            task["left"] = True
            if not task["legs"]:
                worlds.post(world, host, e.LocalRequest(token, "ended", {"proof": "gone"}))

    if leaves_ms is not None:
        worlds.after(world, leaves_ms, leave)

    def watch():
        if "outcome" not in task and host.life != life:
            end(failures.OutcomeUnknown("node-gone"))
        elif "outcome" not in task and world.now_ms < task["atMs"] + told["deadlineMs"] + 20000:
            worlds.after(world, 500.0, watch)

    watch()


def _prefix(told):
    """What an engine's cache knows the opening of a prompt by."""
    return f"{told['model']}|{told['adapter']}|{told['prompt'][:64]}" if told["model"] else ""


def _run_leg(world, history, host, life, task, leg, done, ask):
    """Run a task on an engine; calls done(proof, answer or None, pieces seen)."""
    told, engine = task["told"], world.engines.get(leg.engine)
    if engine is None or not engine.up:
        worlds.after(world, 1.0, lambda: done("no-pipe", None, ()))
        return
    run, seen, made = pieces.Run(told["id"]), [], []
    state = {"open": True, "pipe": 1}
    given_ms, stamp = world.now_ms, host.node.cluster.registry.stamp

    def close(proof, answer=None):
        if state["open"]:
            state["open"] = False
            done(proof, answer, seen)

    def cut():
        if seen:
            close("gone", failures.StreamCut("leg-broken", run.next))
        else:
            close("unknown")

    worlds.after(world, leg.timeout_ms, cut)

    def broken():
        """The pipe is gone; what the engine still makes is lost, unless resumed."""
        state["pipe"] += 1
        if seen and run.resumes and told["stream"] and state["open"]:
            ask("resume", {"incarnation": run.incarnation}, resumed)
        else:
            cut()

    def resumed(outcome):
        known = engine.up and engine.core.incarnation == run.incarnation
        if (
            not isinstance(outcome, Attempt)
            or not known
            or not worlds.reaches(world, host.name, leg.engine)
        ):
            return cut()
        history.resumed += 1
        state["pipe"] += 1
        for piece in made[run.next :]:
            send(piece)

    def arrive():
        if not engine.up:
            return cut()
        if engine.frozen:
            return worlds.after(world, 50.0, arrive)
        item = (told["model"], told["adapter"])
        why = engines.can_run(engine.core, world.now_ms, *item)
        if why:
            return worlds.after(world, worlds.latency(world), lambda: close("not-run"))
        name = engines.begin(engine.core, world.now_ms, told["id"], _prefix(told))
        history.begun.append(
            Begun(
                world.now_ms,
                leg.engine,
                engine.zone,
                told["id"],
                engine.born,
                told["repeatable"],
                engine.core.running,
                given_ms,
                host.name,
                stamp,
            )
        )
        emit(name, 0, engine.life, engine.core.incarnation)

    def emit(name, n, engine_life, incarnation):
        if engine.life != engine_life:
            return broken()
        if engine.frozen:
            return worlds.after(world, 50.0, lambda: emit(name, n, engine_life, incarnation))
        last = n == _PIECES - 1
        piece = {
            "task": "someone-else" if engine.foreign else told["id"],
            "run": name,
            "n": n,
            "last": last,
        }
        if engine.core.resumes:
            piece.update(incarnation=incarnation, resumes=True)
        made.append(piece)
        if engine.snapping and n == 3:
            broken()
        else:
            send(piece)
        if last:
            engines.finish(engine.core)
        else:
            worlds.after(world, _PIECE_MS, lambda: emit(name, n + 1, engine_life, incarnation))

    def send(piece):
        pipe = state["pipe"]
        if worlds.reaches(world, leg.engine, host.name):
            worlds.after(world, 0.5, lambda: take(piece) if state["pipe"] == pipe else None)

    def take(piece):
        if not state["open"] or host.life != life:
            return
        if task["left"] and told["stream"]:
            return close("gone", failures.OutcomeUnknown("caller-left"))
        judged = pieces.check_piece(run, piece)
        if isinstance(judged, pieces.Cut):
            cut()
        elif isinstance(judged, pieces.Forward):
            if told["stream"] or judged.last:
                seen.append(piece)
            if judged.last:
                close("done", {"task": told["id"], "pieces": run.next})

    if worlds.reaches(world, host.name, leg.engine):
        worlds.after(world, worlds.latency(world), arrive)
