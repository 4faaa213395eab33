"""What each fault does to a simulated run, and how it heals."""

import dataclasses

from rehearsal import engine as engines
from rehearsal.sim import disk as disks
from rehearsal.sim import world as worlds

__all__ = ["kill", "freeze", "cut", "cut_off", "cut_one_way", "lone_leader",
           "freeze_ordering", "split", "disk", "engine_restart", "engine_flag", "clock",
           "leaving", "evacuate", "race", "routes", "crowd", "burst",
           "engine_replaced", "swap_seeds"]


def _host(run, name):
    return run.world.hosts[name]


def kill(run, name, forMs, power=False, wipe=False, move=False):
    host, world = _host(run, name), run.world
    if host.node is None:
        return
    worlds.kill(world, host, power)
    run.disturbed(name)
    if wipe:
        host.disk = disks.SimDisk(slowMs=host.disk.slowMs)
    if move:
        run.move(host)
    worlds.after(world, forMs, lambda: _back(run, host))


def _back(run, host):
    if host.node is None:
        worlds.boot(run.world, host)


def freeze(run, name, forMs):
    host = _host(run, name)
    worlds.freeze(host)
    run.disturbed(name, forMs)
    run.frozenSpans.append((name, run.world.nowMs, run.world.nowMs + forMs))
    worlds.after(run.world, forMs, lambda: worlds.thaw(run.world, host))


def cut(run, pairs, forMs):
    for pair in pairs:
        worlds.cut(run.world, *pair)
    for pair in pairs:
        run.disturbed(pair[0], forMs)
        run.disturbed(pair[1], forMs)
    worlds.after(run.world, forMs, lambda: [run.world.cuts.discard(p) for p in pairs])


def cut_off(run, name, forMs):
    others = [n for n in list(run.world.hosts) + list(run.world.engines) if n != name]
    cut(run, [(name, o) for o in others] + [(o, name) for o in others], forMs)


def cut_one_way(run, name, forMs):
    cut(run, [(name, o) for o in run.world.hosts if o != name], forMs)


def lone_leader(run, name, forMs):
    """The leader loses the other depots, while counters still reach it."""
    depots = [n for n in run.world.hosts if n[0] == "d" and n != name]
    cut(run, [(name, o) for o in depots] + [(o, name) for o in depots], forMs)


def freeze_ordering(run, name, forMs):
    """The holder of a shard freezes between logging an order and sending it."""
    run.ordering[int(name)] = lambda holder: freeze(run, holder, forMs)


def split(run, name, forMs):
    """The core in two: one depot, and half of the counters, from the rest."""
    names = sorted(run.world.hosts)
    part = {name} | {n for i, n in enumerate(names) if n.startswith("c") and i % 2}
    pairs = [(a, b) for a in names for b in names if (a in part) != (b in part)]
    cut(run, pairs, forMs)


def disk(run, name, forMs, **how):
    disk = _host(run, name).disk
    slowMs = disk.slowMs
    for key, value in how.items():
        setattr(disk, key, value)
    run.disturbed(name, forMs)
    worlds.after(run.world, forMs, lambda: [setattr(disk, "slowMs", slowMs),
                                            setattr(disk, "stalled", False)])


def engine_restart(run, name, forMs):
    engine = run.world.engines[name]
    engine.up, engine.life = False, engine.life + 1
    def back():
        engine.up, engine.born = True, run.world.nowMs
        engines.restart(engine.core, f"{name}.{engine.life + 1}")
    worlds.after(run.world, forMs, back)


def engine_flag(flag):
    def fault(run, name, forMs):
        engine = run.world.engines[name]
        setattr(engine, flag, True)
        worlds.after(run.world, forMs, lambda: setattr(engine, flag, False))
    return fault


def clock(run, name, forMs):
    """The wall clock jumps; durations are on the monotonic one, which only runs
    on.  A boot elsewhere shows as another origin."""
    run.jumped.append(name)


def leaving(run, name, forMs):
    run.engine_state(name, "leaving")
    worlds.after(run.world, forMs, lambda: run.engine_state(name, "join"))


def evacuate(run, name, forMs):
    run.evacuate(name, True)
    worlds.after(run.world, forMs, lambda: run.evacuate(name, False))


def race(run, name, forMs):
    for number in range(4):
        worlds.after(run.world, 3.0 * number * run.world.random.random(),
                     lambda n=number: run.change_layout(n))


def routes(run, name, forMs):
    run.change_layout(0, routes=400)


def crowd(run, name, forMs):
    for _ in range(400):
        worlds.after(run.world, 1000 * run.world.random.random(), run.ask_crowd)


def burst(run, name, forMs):
    for _ in range(60):
        worlds.after(run.world, 300 * run.world.random.random(), run.ask_rare)


def engine_replaced(run, name, forMs):
    """Taken off the platform's list at short notice, emptied, listed again."""
    run.engine_state(name, "gone")
    worlds.after(run.world, 200.0, lambda: engine_restart(run, name, max(300.0, forMs - 500)))
    worlds.after(run.world, forMs, lambda: run.engine_state(name, "join"))


def swap_seeds(run, name, forMs):
    """Other machines are the seeds now, and a node starts knowing only those."""
    hosts = [h for n, h in sorted(run.world.hosts.items()) if n != name and h.node]
    seeds = tuple(h.config.address for h in run.world.random.sample(hosts, min(3, len(hosts))))
    host = _host(run, name)
    host.config = dataclasses.replace(host.config, seeds=seeds or host.config.seeds)
    kill(run, name, forMs)
