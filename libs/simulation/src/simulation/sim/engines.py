"""Engines in the simulated world: orders and reports, there and back.

Orders and reports travel to stand-in engine cores.  Loads that an engine took
are kept with their times, since the weight store serves them whatever the
platform thinks of the engine meanwhile.
"""

from dataclasses import dataclass

from transport import events as e

from simulation import engine as engines
from simulation.sim import world as worlds

__all__ = ["SimEngine", "Load", "add_engine", "call", "restart", "stop"]


@dataclass
class SimEngine:
    core: engines.Engine
    zone: str
    up: bool = True
    frozen: bool = False
    silent: bool = False
    foreign: bool = False
    snapping: bool = False
    born: float = 0.0
    life: int = 0


@dataclass
class Load:
    at_ms: float
    end_ms: float
    engine: str
    item: str


def add_engine(world, facts, fencing, loadMs=300.0, gullible=False):
    core = engines.Engine(
        facts["name"],
        facts["roomMb"],
        facts["adapterPlaces"],
        facts["slots"],
        facts["name"] + ".1",
        loadMs=loadMs,
        fencing=fencing,
        plain=facts["roomMb"] == 0,
        gullible=gullible,
        resumes=facts["name"][1:] in ("0", "2", "4", "6", "8"),
    )
    world.engines[facts["name"]] = SimEngine(core, facts["zone"], born=world.now_ms)


def call(world, history, host, effect, life):
    """A placer's order or report, there and back."""
    if effect.not_after_ms < worlds.local(world, host):
        worlds.post(world, host, e.CallEnded(effect.id, 0, {}, False))
        return
    done = []

    def answer(code, body, begun=True):
        if not done and host.life == life:
            done.append(1)
            worlds.post(world, host, e.CallEnded(effect.id, code, body, begun))

    engine = world.engines.get(effect.engine)
    if engine is None or not engine.up:
        worlds.after(world, 1.0, lambda: answer(0, {}, False))
        return
    worlds.after(world, effect.timeout_ms, lambda: answer(0, {}))
    if not worlds.reaches(world, host.name, effect.engine):
        return

    sent_ms = world.now_ms

    def arrive():
        if not engine.up:
            answer(0, {})
        elif engine.frozen:
            worlds.after(world, 50.0, arrive)
        else:
            code, body = _serve(world, history, engine, effect, sent_ms)
            if not engine.silent and worlds.reaches(world, effect.engine, host.name):
                worlds.after(world, worlds.latency(world), lambda: answer(code, body))

    worlds.after(world, worlds.latency(world), arrive)


def _serve(world, history, engine, effect, sent_ms):
    if effect.verb == "report":
        return 200, engines.report(engine.core, world.now_ms)
    code, body = engines.order(engine.core, world.now_ms, effect.verb, effect.body)
    history.orders.append(
        (
            world.now_ms,
            engine.core.name,
            engine.core.incarnation,
            effect.body["shard"],
            effect.body["epoch"],
            effect.verb,
            effect.body["item"],
            code,
            sent_ms,
        )
    )
    if code == 202 and effect.verb == "load":
        history.loads.append(
            Load(
                world.now_ms,
                world.now_ms + engine.core.loadMs,
                engine.core.name,
                effect.body["item"],
            )
        )
    return code, body


def restart(world, history, engine):
    """The engine is back, empty; what it was loading asks the store no more."""
    engine.up, engine.born = True, world.now_ms
    engines.restart(engine.core, f"{engine.core.name}.{engine.life + 1}")


def stop(world, history, engine):
    engine.up, engine.life = False, engine.life + 1
    for load in history.loads:
        if load.engine == engine.core.name:
            load.end_ms = min(load.end_ms, world.now_ms)
