"""The brief's faults, as steps that a seeded script is made of.

A script is a list of (atMs, fault, arguments); each fault knows how to begin
and how it heals.  Scripts can also be written by hand; an impossible one is a
typed failure before anything runs.
"""

from dataclasses import dataclass

from rehearsal import engine as engines
from rehearsal.sim import disk as disks
from rehearsal.sim import world as worlds
from waybill import failures

__all__ = ["Step", "FAULTS", "script", "checked", "begin"]


@dataclass(frozen=True)
class Step:
    atMs: float
    fault: str
    target: str
    forMs: float


def _host(run, name):
    return run.world.hosts[name]


def _kill(run, name, forMs, power=False, wipe=False, move=False):
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


def _freeze(run, name, forMs):
    host = _host(run, name)
    worlds.freeze(host)
    run.disturbed(name, forMs)
    run.frozenSpans.append((name, run.world.nowMs, run.world.nowMs + forMs))
    worlds.after(run.world, forMs, lambda: worlds.thaw(run.world, host))


def _cut(run, pairs, forMs):
    for pair in pairs:
        worlds.cut(run.world, *pair)
    for pair in pairs:
        run.disturbed(pair[0], forMs)
        run.disturbed(pair[1], forMs)
    worlds.after(run.world, forMs, lambda: [run.world.cuts.discard(p) for p in pairs])


def _cut_off(run, name, forMs):
    others = [n for n in list(run.world.hosts) + list(run.world.engines) if n != name]
    _cut(run, [(name, o) for o in others] + [(o, name) for o in others], forMs)


def _cut_one_way(run, name, forMs):
    _cut(run, [(name, o) for o in run.world.hosts if o != name], forMs)


def _lone_leader(run, name, forMs):
    """The leader loses the other depots, while counters still reach it."""
    depots = [n for n in run.world.hosts if n[0] == "d" and n != name]
    _cut(run, [(name, o) for o in depots] + [(o, name) for o in depots], forMs)


def _freeze_ordering(run, name, forMs):
    """The holder of a shard freezes between logging an order and sending it."""
    run.ordering[int(name)] = lambda holder: _freeze(run, holder, forMs)


def _split(run, name, forMs):
    """The core in two: one depot, and half of the counters, from the rest."""
    names = sorted(run.world.hosts)
    part = {name} | {n for i, n in enumerate(names) if n.startswith("c") and i % 2}
    pairs = [(a, b) for a in names for b in names if (a in part) != (b in part)]
    _cut(run, pairs, forMs)


def _disk(run, name, forMs, **how):
    disk = _host(run, name).disk
    slowMs = disk.slowMs
    for key, value in how.items():
        setattr(disk, key, value)
    run.disturbed(name, forMs)
    worlds.after(run.world, forMs, lambda: [setattr(disk, "slowMs", slowMs),
                                            setattr(disk, "stalled", False)])


def _engine_restart(run, name, forMs):
    engine = run.world.engines[name]
    engine.up, engine.life = False, engine.life + 1
    def back():
        engine.up, engine.born = True, run.world.nowMs
        engines.restart(engine.core, f"{name}.{engine.life + 1}")
    worlds.after(run.world, forMs, back)


def _engine_flag(flag):
    def fault(run, name, forMs):
        engine = run.world.engines[name]
        setattr(engine, flag, True)
        worlds.after(run.world, forMs, lambda: setattr(engine, flag, False))
    return fault


def _clock(run, name, forMs):
    """The wall clock jumps; durations are on the monotonic one, which only runs
    on.  A boot elsewhere shows as another origin."""
    run.jumped.append(name)


def _leaving(run, name, forMs):
    run.engine_state(name, "leaving")
    worlds.after(run.world, forMs, lambda: run.engine_state(name, "join"))


def _evacuate(run, name, forMs):
    run.evacuate(name, True)
    worlds.after(run.world, forMs, lambda: run.evacuate(name, False))


def _race(run, name, forMs):
    for number in range(4):
        worlds.after(run.world, 3.0 * number * run.world.random.random(),
                     lambda n=number: run.change_layout(n))


def _routes(run, name, forMs):
    run.change_layout(0, routes=400)


def _crowd(run, name, forMs):
    for _ in range(400):
        worlds.after(run.world, 1000 * run.world.random.random(), run.ask_crowd)


def _burst(run, name, forMs):
    for _ in range(60):
        worlds.after(run.world, 300 * run.world.random.random(), run.ask_rare)


FAULTS = {
    "kill-depot": ("depot", _kill),
    "power-depot": ("depot", lambda r, n, ms: _kill(r, n, ms, power=True)),
    "wipe-depot": ("depot", lambda r, n, ms: _kill(r, n, ms, wipe=True, move=True)),
    "kill-leader": ("leader", _kill),
    "wipe-leader": ("leader", lambda r, n, ms: _kill(r, n, ms, wipe=True, move=True)),
    "kill-counter": ("counter", _kill),
    "kill-holder": ("holder", _kill),
    "freeze-depot": ("depot", _freeze),
    "freeze-leader": ("leader", _freeze),
    "freeze-holder": ("holder", _freeze),
    "freeze-ordering": ("shard", _freeze_ordering),
    "lone-leader": ("leader", _lone_leader),
    "cut-off": ("any", _cut_off),
    "cut-one-way": ("any", _cut_one_way),
    "split": ("depot", _split),
    "slow-disk": ("depot", lambda r, n, ms: _disk(r, n, ms, slowMs=80.0)),
    "stall-disk": ("leader", lambda r, n, ms: _disk(r, n, ms, stalled=True)),
    "engine-restart": ("engine", _engine_restart),
    "engine-dark": ("engine", _engine_flag("frozen")),
    "engine-silent": ("engine", _engine_flag("silent")),
    "engine-foreign": ("engine", _engine_flag("foreign")),
    "engine-leaving": ("engine", _leaving),
    "clock": ("any", _clock),
    "evacuate": ("zone", _evacuate),
    "race": ("none", _race),
    "routes": ("none", _routes),
    "burst": ("none", _burst),
    "crowd": ("none", _crowd),
}


def begin(run, step):
    kind, fault = FAULTS[step.fault]
    name = step.target
    if kind == "leader":
        name = run.leader() or "d0"
    elif kind == "holder":
        name = run.holder(int(step.target or 0)) or "c0"
    fault(run, name, step.forMs)


def script(rng, deployment, count, spanMs):
    """A seeded script.  Faults overlap freely, but while a depot's disk is lost
    and until it is replaced no other depot is touched: a second disk lost then
    would be a majority's."""
    steps, wipes, depots = [], [], []
    for _ in range(count):
        fault = rng.choice(sorted(FAULTS))
        kind = FAULTS[fault][0]
        atMs, forMs = rng.random() * spanMs, 500 + rng.random() * 6000
        target = _target(rng, kind, deployment)
        if fault.startswith("wipe"):
            forMs = 500.0
            atMs = max([atMs] + [toMs + 2000 for _, toMs in wipes + depots])
            wipes.append((atMs - 1000, atMs + forMs + 10000))
        elif kind in ("depot", "leader") or target.startswith("d"):
            for fromMs, toMs in wipes:
                if atMs < toMs and atMs + forMs > fromMs:
                    atMs = toMs
            depots.append((atMs, atMs + forMs))
        steps.append(Step(atMs, fault, target, forMs))
    return checked(sorted(steps, key=lambda s: s.atMs), deployment)


def _target(rng, kind, d):
    if kind == "zone":
        return rng.choice(d.zones)
    if kind == "engine":
        return rng.choice([f"e{i}" for i in range(d.engines)])
    if kind in ("holder", "shard"):
        return str(rng.randrange(8))
    prefix = {"depot": "d", "counter": "c"}.get(kind) or rng.choice("dc")
    return f"{prefix}{rng.randrange(d.depots if prefix == 'd' else d.counters)}"


def checked(steps, deployment):
    """The steps, or a typed failure that names the first impossible one."""
    names = ({f"d{i}" for i in range(deployment.depots)}
             | {f"c{i}" for i in range(deployment.counters)})
    known = {"zone": set(deployment.zones), "depot": names, "counter": names, "any": names,
             "engine": {f"e{i}" for i in range(deployment.engines)}
             | {f"p{i}" for i in range(deployment.plainEngines)}}
    for number, step in enumerate(steps):
        if step.fault not in FAULTS:
            return failures.FieldWrong(f"script.{number}.fault", f"no fault {step.fault}")
        kind = FAULTS[step.fault][0]
        if kind in known and step.target not in known[kind]:
            return failures.FieldWrong(f"script.{number}.target", f"no {kind} {step.target}")
        if step.atMs < 0 or step.forMs < 0:
            return failures.FieldWrong(f"script.{number}.atMs", "before the start")
    return steps
