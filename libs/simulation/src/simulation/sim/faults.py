"""The brief's faults, as steps that a seeded script is made of.

A script is a list of (at_ms, fault, arguments); each fault knows how to begin
and how it heals.  Scripts can also be written by hand; an impossible one is a
typed failure before anything runs.
"""

from dataclasses import dataclass

from transport import failures

from simulation.sim import harm, unrest
from simulation.sim import world as worlds

__all__ = ["Step", "FAULTS", "script", "checked", "begin"]


@dataclass(frozen=True)
class Step:
    at_ms: float
    fault: str
    target: str
    for_ms: float


def _wiped(run, name, for_ms):
    harm.kill(run, name, for_ms, wipe=True, move=True)


def _powerless(run, name, for_ms):
    harm.kill(run, name, for_ms, power=True)


FAULTS = {
    "kill-depot": ("depot", harm.kill),
    "power-depot": ("depot", _powerless),
    "wipe-depot": ("depot", _wiped),
    "kill-leader": ("leader", harm.kill),
    "wipe-leader": ("leader", _wiped),
    "flap-leader": ("leader", harm.flap),
    "kill-counter": ("counter", harm.kill),
    "kill-holder": ("holder", harm.kill),
    "freeze-depot": ("depot", harm.freeze),
    "freeze-leader": ("leader", harm.freeze),
    "freeze-holder": ("holder", harm.freeze),
    "freeze-ordering": ("shard", harm.freeze_ordering),
    "lone-leader": ("leader", harm.lone_leader),
    "cut-off": ("any", harm.cut_off),
    "cut-one-way": ("any", harm.cut_one_way),
    "cut-leader-holder": ("holder", harm.cut_leader_holder),
    "split": ("depot", harm.split),
    "slow-disk": ("depot", lambda r, n, ms: harm.disk(r, n, ms, slowMs=80.0)),
    "fading-disk": ("depot", harm.fading_disk),
    "stall-disk": ("leader", lambda r, n, ms: harm.disk(r, n, ms, stalled=True)),
    "zone-power": ("zone", harm.zone),
    "wipe-zone": ("zone", lambda r, n, ms: harm.zone(r, n, ms, wipe=True)),
    "yes-power-leader": ("yes-leader", harm.after_yes(_powerless)),
    "yes-power-depot": ("depot", harm.after_yes(_powerless)),
    "wipe-yes-leader": ("yes-leader", harm.after_yes(_wiped)),
    "wipe-yes-depot": ("depot", harm.after_yes(_wiped)),
    "wipe-yes-both": ("none", harm.both_in_turn),
    "yes-evacuated-zone": (
        "zone",
        lambda r, n, ms: (
            r.after_yes.append(lambda: harm.zone(r, n, ms)),
            r.evacuate(n, True),
            worlds.after(r.world, ms + 4000.0, lambda: r.evacuate(n, False)),
        ),
    ),
    "engine-restart": ("engine", unrest.engine_restart),
    "engine-dark": ("engine", unrest.engine_flag("frozen")),
    "engine-silent": ("engine", unrest.engine_flag("silent")),
    "engine-foreign": ("engine", unrest.engine_flag("foreign")),
    "engine-snapping": ("engine", unrest.engine_flag("snapping")),
    "engine-replaced": ("engine", unrest.engine_replaced),
    "engine-emptied": ("engine", unrest.engine_emptied),
    "engine-struck-off": ("engine", unrest.engine_struck_off),
    "engine-leaving": ("engine", unrest.leaving),
    "engines-rolling": ("none", unrest.rolling),
    "engines-all": ("none", unrest.all_engines),
    "swap-seeds": ("counter", harm.swap_seeds),
    "clock": ("any", harm.clock),
    "evacuate": ("zone", unrest.evacuate),
    "race": ("none", unrest.race),
    "race-zone": ("zone", unrest.race_zone),
    "routes": ("none", unrest.routes),
    "many-routes": ("none", unrest.many_routes),
    "burst": ("none", unrest.burst),
    "crowd": ("none", unrest.crowd),
    "hot-crowd": ("none", unrest.hot_crowd),
}
_LENGTHS = {"flap-leader": 9000.0, "engines-rolling": 26000.0, "wipe-yes-both": 24000.0}


def begin(run, step):
    kind, fault = FAULTS[step.fault]
    name = step.target
    if kind == "leader":
        name = run.leader() or "d0"
    elif kind == "holder":
        name = run.holder(int(step.target or 0)) or "c0"
    fault(run, name, step.for_ms)


def script(rng, deployment, count, span_ms):
    """A seeded script.  Faults overlap freely, but while a depot's disk is lost
    and until it is replaced no other depot is touched: a second disk lost then
    would be a majority's."""
    steps, wipes, depots = [], [], []
    for _ in range(count):
        fault = rng.choice(sorted(FAULTS))
        kind = FAULTS[fault][0]
        at_ms, for_ms = rng.random() * span_ms, 500 + rng.random() * 6000
        target = _target(rng, kind, deployment)
        for_ms = _LENGTHS.get(fault, for_ms)
        if fault.startswith("wipe"):
            for_ms = max(500.0, _LENGTHS.get(fault, 0.0))
            at_ms = max([at_ms] + [to_ms + 2000 for _, to_ms in wipes + depots])
            wipes.append((at_ms - 1000, at_ms + for_ms + 10000))
        elif _at_depots(fault, kind, target):
            for from_ms, to_ms in wipes:
                if at_ms < to_ms and at_ms + for_ms > from_ms:
                    at_ms = to_ms
            depots.append((at_ms, at_ms + for_ms))
        steps.append(Step(at_ms, fault, target, for_ms))
    return checked(sorted(steps, key=lambda s: s.at_ms), deployment)


def _at_depots(fault, kind, target):
    return (
        kind in ("depot", "leader", "yes-leader")
        or target.startswith("d")
        or fault in ("zone-power", "yes-evacuated-zone", "cut-leader-holder")
    )


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
    names = {f"d{i}" for i in range(deployment.depots)} | {
        f"c{i}" for i in range(deployment.counters)
    }
    known = {
        "zone": set(deployment.zones),
        "depot": names,
        "counter": names,
        "any": names,
        "engine": {f"e{i}" for i in range(deployment.engines)}
        | {f"p{i}" for i in range(deployment.plain_engines)},
    }
    for number, step in enumerate(steps):
        if step.fault not in FAULTS:
            return failures.FieldWrong(f"script.{number}.fault", f"no fault {step.fault}")
        kind = FAULTS[step.fault][0]
        if kind in known and step.target not in known[kind]:
            return failures.FieldWrong(f"script.{number}.target", f"no {kind} {step.target}")
        if step.at_ms < 0 or step.for_ms < 0:
            return failures.FieldWrong(f"script.{number}.atMs", "before the start")
    return steps
