"""Scripts of faults that several mutants share; `d` is a deployment."""

from placement import registry_view

from simulation.sim import faults, harm

__all__ = [
    "step",
    "foreign",
    "restarted",
    "plain_crowd",
    "down",
    "silent",
    "dark",
    "ordering",
]


def step(at_ms, fault, target="", for_ms=3000.0):
    return faults.Step(float(at_ms), fault, target, float(for_ms))


def deaf(run_, name, for_ms):
    """A counter that still reaches all, but hears of nothing."""
    others = [n for n in run_.world.hosts if n != name]
    harm.cut(run_, [(a, name) for a in others], for_ms, [name])


faults.FAULTS["deaf"] = ("counter", deaf)


def foreign(d):
    return [step(2000 + 300 * i, "engine-foreign", f"e{i}", 9000) for i in range(d.engines)]


def restarted(d):
    return [step(1000, "engines-all", "", 500)] + [
        step(1800 + 900 * i, "hot-crowd") for i in range(6)
    ]


def plain_crowd(d):
    return [step(2000, "engine-restart", "p0", 1000)] + [
        step(2900 + 200 * i, "crowd") for i in range(3)
    ]


def down(d):
    return [step(1500, "engine-restart", f"p{i}", 6000) for i in range(d.plain_engines - 1)] + [
        step(2000 + 700 * i, "crowd") for i in range(5)
    ]


def silent(d):
    return (
        [step(500, "engine-silent", f"e{i}", 8000) for i in range(d.engines)]
        + [step(700 + 50 * i, "engine-restart", f"e{i}", 100) for i in range(d.engines)]
        + [step(1000, "burst")]
    )


def dark(d):
    return [step(2000, "burst")] + [
        step(1900, "engine-dark", f"e{i}", 18000) for i in range(d.engines)
    ]


def ordering(d):
    return [step(1000, "freeze-ordering", str(registry_view.shard_of(d.service, 8)), 7000)] + [
        step(1100, "engine-restart", f"e{i}", 200) for i in range(d.engines)
    ]
