"""The brief's faults, as steps that a seeded script is made of.

A script is a list of (atMs, fault, arguments); each fault knows how to begin
and how it heals.  Scripts can also be written by hand; an impossible one is a
typed failure before anything runs.
"""

from dataclasses import dataclass

from rehearsal.sim import harm
from waybill import failures

__all__ = ["Step", "FAULTS", "script", "checked", "begin"]


@dataclass(frozen=True)
class Step:
    atMs: float
    fault: str
    target: str
    forMs: float


FAULTS = {
    "kill-depot": ("depot", harm.kill),
    "power-depot": ("depot", lambda r, n, ms: harm.kill(r, n, ms, power=True)),
    "wipe-depot": ("depot", lambda r, n, ms: harm.kill(r, n, ms, wipe=True, move=True)),
    "kill-leader": ("leader", harm.kill),
    "wipe-leader": ("leader", lambda r, n, ms: harm.kill(r, n, ms, wipe=True, move=True)),
    "kill-counter": ("counter", harm.kill),
    "kill-holder": ("holder", harm.kill),
    "freeze-depot": ("depot", harm.freeze),
    "freeze-leader": ("leader", harm.freeze),
    "freeze-holder": ("holder", harm.freeze),
    "freeze-ordering": ("shard", harm.freeze_ordering),
    "lone-leader": ("leader", harm.lone_leader),
    "cut-off": ("any", harm.cut_off),
    "cut-one-way": ("any", harm.cut_one_way),
    "split": ("depot", harm.split),
    "slow-disk": ("depot", lambda r, n, ms: harm.disk(r, n, ms, slowMs=80.0)),
    "stall-disk": ("leader", lambda r, n, ms: harm.disk(r, n, ms, stalled=True)),
    "engine-restart": ("engine", harm.engine_restart),
    "engine-dark": ("engine", harm.engine_flag("frozen")),
    "engine-silent": ("engine", harm.engine_flag("silent")),
    "engine-foreign": ("engine", harm.engine_flag("foreign")),
    "engine-replaced": ("engine", harm.engine_replaced),
    "swap-seeds": ("counter", harm.swap_seeds),
    "engine-leaving": ("engine", harm.leaving),
    "clock": ("any", harm.clock),
    "evacuate": ("zone", harm.evacuate),
    "race": ("none", harm.race),
    "routes": ("none", harm.routes),
    "burst": ("none", harm.burst),
    "crowd": ("none", harm.crowd),
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
