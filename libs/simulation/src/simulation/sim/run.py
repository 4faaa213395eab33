"""One simulated run: a deployment, a seed, a script of faults, a verdict."""

import random
from dataclasses import dataclass, field

from pulleyhitch import config as configs
from transport import failures

from simulation import deployments
from simulation.sim import checkers, engines, faults, floor, harm, unrest, warm
from simulation.sim import disk as disks
from simulation.sim import world as worlds
from simulation.sim.operators import Operators
from simulation.sim.traffic import Traffic

__all__ = ["Run", "simulate", "Verdict", "CLOSINGS"]

CLOSINGS = ("power", "zone", "split", "engines")
_SETTLE_MS = 30000.0


@dataclass(frozen=True)
class Verdict:
    seed: int
    violations: dict
    back_ms: object
    facts: dict


@dataclass
class Run(Operators, Traffic):
    seed: int
    deployment: deployments.Deployment
    world: worlds.World
    history: floor.History
    bounds: configs.Bounds = configs.Bounds()
    disturbances: list = field(default_factory=list)
    after_yes: list = field(default_factory=list)
    avoided: set = field(default_factory=set)
    small_part: set = field(default_factory=set)
    back_ms: object = None
    missing: list = field(default_factory=list)
    final_changes: dict = field(default_factory=dict)
    final_registry: object = None
    final_unmet: dict = field(default_factory=dict)
    settled: bool = False
    frozen_spans: list = field(default_factory=list)
    ordering: dict = field(default_factory=dict)
    stamps: dict = field(default_factory=dict)
    changes: int = 0
    moved: int = 0
    quiet: bool = False
    crowded: bool = False
    engine_facts: dict = field(default_factory=dict)

    def disturbed(self, name, for_ms=0.0):
        """A node is down, frozen, cut off or slow from now on for so long."""
        self.disturbances.append((name, self.world.now_ms, self.world.now_ms + for_ms))

    def leader(self):
        for name, host in sorted(self.world.hosts.items()):
            if host.node and host.node.depot and host.node.depot.writer.serving:
                return name
        return None

    def holder(self, shard):
        for host in self.world.hosts.values():
            if host.node and not host.frozen:
                part = host.node.follower.state.shards.get(shard)
                if part and part.holder:
                    return part.holder
        return None

    def move(self, host):
        """The machine comes back at another address."""
        self.world.by_address.pop(host.config.address, None)
        self.moved += 1
        address = f"10.9.{self.moved // 200}.{self.moved % 200 + 1}:7400"
        host.config = configs.Config(**{**vars(host.config), "address": address})


def _build(seed, deployment, fencing):
    rng = random.Random(seed)
    world = worlds.World(seed, rng)
    run = Run(seed, deployment, world, floor.History())
    names = [f"d{i}" for i in range(deployment.depots)] + [
        f"c{i}" for i in range(deployment.counters)
    ]
    address = {n: f"10.0.0.{i + 1}:7400" for i, n in enumerate(names)}
    seeds = tuple(address[n] for n in ("d0", "d1", "c0") if n in address)
    for number, name in enumerate(names):
        config = configs.Config(
            name,
            "depot" if name[0] == "d" else "counter",
            deployment.zones[int(name[1:]) % len(deployment.zones)],
            address[name],
            f"10.0.0.{number + 1}:7500",
            seeds,
            deployment.zones,
            "x",
            8,
            deployment.depots,
            8,
            30000,
            configs.Bounds(),
            {},
        )
        host = worlds.Host(
            name, config, disks.SimDisk() if name[0] == "d" else None, clock_ms=rng.random() * 1e6
        )
        world.hosts[name] = host
        worlds.after(world, rng.random() * 1500, lambda h=host: worlds.boot(world, h))
    run.crowded = seed % 4 == 2
    for facts in deployments.engine_list(deployment, lambda n: f"http://{n}"):
        engines.add_engine(world, facts, fencing, deployment.loadMs, seed % 3 == 1)
        run.engine_facts[facts["name"]] = facts
    if seed % 2 == 0:
        warm.up(run)
    world.on_call = lambda host, effect, life: engines.call(world, run.history, host, effect, life)
    world.on_step = run.sample
    return run


def simulate(seed, deployment, count=8, span_ms=40000.0, steps=None, fencing=None, closing=""):
    """Run it all; `steps` replaces the seeded script, `closing` names the fault
    that the run ends with."""
    rng = random.Random(seed * 7919 + 1)
    fencing = rng.random() < 0.5 if fencing is None else fencing
    steps = (
        faults.script(rng, deployment, count, span_ms)
        if steps is None
        else (faults.checked(steps, deployment))
    )
    if isinstance(steps, failures.Failure):
        return steps
    if closing and closing not in CLOSINGS:
        return failures.FieldWrong("closing", f"not one of {', '.join(CLOSINGS)}")
    run = _build(seed, deployment, fencing)
    _lossy(run, seed)
    run.furnish()
    run.traffic()
    worlds.spin(run.world, _SETTLE_MS)
    for step in steps:
        worlds.after(run.world, step.at_ms, lambda s=step: faults.begin(run, s))
    end_ms = _SETTLE_MS + max([span_ms] + [s.at_ms + s.for_ms for s in steps])
    worlds.spin(run.world, end_ms)
    if closing == "power":
        _all_down(run)
    _heal(run)
    gone = _close(run, closing)
    run.probe(gone)
    worlds.spin(run.world, run.world.now_ms + run.bounds.serviceBackMs + 8000)
    firstAckMs = min([a[2] for a in run.history.acked if a[2] > _SETTLE_MS], default=1e9)
    run.quiet = True
    if gone:
        _heal(run)
    worlds.spin(run.world, run.world.now_ms + 32000)
    run.finish()
    return Verdict(
        seed,
        checkers.check(run),
        run.back_ms,
        {
            "fencing": fencing,
            "asked": run.history.asked,
            "begun": len(run.history.begun),
            "hits": sum(x.core.hits for x in run.world.engines.values()),
            "misses": sum(x.core.misses for x in run.world.engines.values()),
            "busiest": _busiest(run),
            "resumed": run.history.resumed,
            "firstAckMs": round(firstAckMs),
            "acked": len(run.history.acked),
            "orders": len(run.history.orders),
            "fenced": sum(x.core.fenced for x in run.world.engines.values()),
            "virtualMs": round(run.world.now_ms),
            "steps": run.world.steps,
            "script": [(round(s.at_ms), s.fault, s.target, round(s.for_ms)) for s in steps],
        },
    )


def _busiest(run):
    """Runs begun on the busiest model engine, over the mean of those with any."""
    counts = {}
    for b in run.history.begun:
        if not b.repeatable:
            counts[b.engine] = counts.get(b.engine, 0) + 1
    return round(max(counts.values()) * len(counts) / sum(counts.values()), 2) if counts else 0


def _lossy(run, seed):
    """Pipes that are not up yet lose what is sent: much of it at first."""
    run.world.network.loss = 0.4 if seed % 2 else 0.0
    worlds.after(
        run.world, 2500, lambda: setattr(run.world.network, "loss", 0.01 if seed % 4 == 1 else 0.0)
    )


def _close(run, closing):
    """A closing fault that lasts to the end: the nodes that can't be expected to
    serve.  Those of the other zones, or of the larger part, must.  A disk lost
    before has been replaced by then, or this would be a second one."""
    if closing in ("zone", "split"):
        worlds.spin(run.world, run.world.now_ms + 8000)
    if closing == "zone":
        lost = run.deployment.zones[run.seed % 3]
        harm.zone(run, lost, 1e9, wipe=run.seed % 2 == 0, back=False)
        return {n for n, h in run.world.hosts.items() if h.config.zone == lost}
    if closing == "split":
        harm.split(run, f"d{run.seed % run.deployment.depots}", 1e9)
        return set(run.small_part)
    if closing == "engines":
        unrest.all_engines(run, "", 1000.0)
    return set()


def _all_down(run):
    """The power goes everywhere at once."""
    for host in run.world.hosts.values():
        if host.node is not None:
            worlds.kill(run.world, host, power=True)
            run.disturbed(host.name, 3000.0)
    worlds.spin(run.world, run.world.now_ms + 3000)


def _heal(run):
    worlds.heal(run.world)
    for host in run.world.hosts.values():
        if host.disk is not None:
            host.disk.stalled, host.disk.slowMs = False, 1.0
        if host.frozen:
            worlds.thaw(run.world, host)
        if host.node is None:
            worlds.reseed(run.world, host)
            worlds.boot(run.world, host)
            run.disturbed(host.name)
    for engine in run.world.engines.values():
        engine.frozen = engine.silent = engine.foreign = engine.snapping = False
        if not engine.up:
            engines.restart(run.world, run.history, engine)
    run.disturbances = [(n, f, min(t, run.world.now_ms)) for n, f, t in run.disturbances]
