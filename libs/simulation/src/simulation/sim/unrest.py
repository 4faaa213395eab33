"""What faults do to engines, and what operators and callers do all at once."""

from simulation.sim import engines
from simulation.sim import world as worlds

__all__ = [
    "engine_restart",
    "engine_flag",
    "engine_replaced",
    "engine_emptied",
    "engine_struck_off",
    "rolling",
    "all_engines",
    "leaving",
    "evacuate",
    "race",
    "race_zone",
    "routes",
    "many_routes",
    "crowd",
    "hot_crowd",
    "burst",
]


def engine_restart(run, name, for_ms):
    engine = run.world.engines[name]
    if not engine.up:
        return
    engines.stop(run.world, run.history, engine)
    worlds.after(run.world, for_ms, lambda: engines.restart(run.world, run.history, engine))


def all_engines(run, name, for_ms):
    for each in list(run.world.engines):
        engine_restart(run, each, min(for_ms, 1500.0))


def engine_flag(flag):
    def fault(run, name, for_ms):
        engine = run.world.engines[name]
        setattr(engine, flag, True)
        worlds.after(run.world, for_ms, lambda: setattr(engine, flag, False))

    return fault


def engine_replaced(run, name, for_ms):
    """Taken off the platform's list at short notice, emptied, listed again."""
    run.engine_state(name, "gone")
    worlds.after(run.world, 200.0, lambda: engine_restart(run, name, max(300.0, for_ms - 500)))
    worlds.after(run.world, for_ms, lambda: run.engine_state(name, "join"))


def engine_struck_off(run, name, for_ms):
    """Called gone by the platform, while it goes on with what it was told."""
    run.engine_state(name, "gone")
    worlds.after(run.world, for_ms, lambda: run.engine_state(name, "join"))


def engine_emptied(run, name, for_ms):
    """Told to leave, and gone a second later, whatever it still does."""
    run.engine_state(name, "leaving")
    worlds.after(run.world, 1000.0, lambda: engine_replaced(run, name, for_ms))


def rolling(run, name, for_ms):
    """The whole pool replaced, one engine after another."""
    names = sorted(n for n in run.world.engines if n.startswith("e"))
    for number, each in enumerate(names):
        worlds.after(run.world, 2500.0 * number, lambda n=each: engine_emptied(run, n, 2000.0))


def leaving(run, name, for_ms):
    run.engine_state(name, "leaving")
    worlds.after(run.world, for_ms, lambda: run.engine_state(name, "join"))


def evacuate(run, name, for_ms):
    run.evacuate(name, True)
    worlds.after(run.world, for_ms, lambda: run.evacuate(name, False))


def race(run, name, for_ms):
    for number in range(4):
        worlds.after(
            run.world,
            3.0 * number * run.world.random.random(),
            lambda n=number: run.change_layout(n),
        )


def race_zone(run, name, for_ms):
    """Two operators at two nodes: one evacuates, one restores, both set routes."""
    run.evacuate(name, True)
    run.evacuate(name, False)
    race(run, name, for_ms)
    worlds.after(run.world, 50.0, lambda: run.evacuate(name, False))


def routes(run, name, for_ms):
    run.change_layout(0, routes=400)


def many_routes(run, name, for_ms):
    """Five changes of four hundred routes each, a tenth of a second apart."""
    for number in range(5):
        worlds.after(run.world, 100.0 * number, lambda: run.change_layout(0, routes=400))


def crowd(run, name, for_ms):
    for _ in range(400):
        worlds.after(run.world, 1000 * run.world.random.random(), run.ask_crowd)


def hot_crowd(run, name, for_ms):
    """Everybody wants one model, for some seconds."""
    for _ in range(400):
        worlds.after(run.world, 3000 * run.world.random.random(), run.ask_hot)


def burst(run, name, for_ms):
    for _ in range(60):
        worlds.after(run.world, 300 * run.world.random.random(), run.ask_rare)
