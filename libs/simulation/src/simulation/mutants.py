"""Deliberately broken variants of the core, and the scripts that show them.

Each mutant names the checker that must see it; the same script on the code as
it is must be green.  The tests run them at the small size, the command
`mutants` at all sizes, so that no checker can be too kind to fail where it
matters.
"""

import dataclasses
from dataclasses import dataclass, field

from placement import ledger, line, orders, placement, settle, world
from pulleyhitch import config, shard_ownership
from replication import election, feed, follower, log_replication
from routing import choice, pieces, retry_budget, router
from transport import failures

from simulation import breaking
from simulation.sim import faults, harm, run
from simulation.sim import world as worlds

__all__ = ["Mutant", "MUTANTS", "simulate", "applied"]


@dataclass(frozen=True)
class Mutant:
    """`steps(deployment)` is the script, `patches()` what is broken."""

    name: str
    checker: str
    steps: object
    patches: object
    seeds: tuple = (3, 8)
    more: dict = field(default_factory=dict)
    size: str = "small"
    change: dict = field(default_factory=dict)


def _s(at_ms, fault, target="", for_ms=3000.0):
    return faults.Step(float(at_ms), fault, target, float(for_ms))


def _deaf(run_, name, for_ms):
    """A counter that still reaches all, but hears of nothing."""
    others = [n for n in run_.world.hosts if n != name]
    harm.cut(run_, [(a, name) for a in others], for_ms, [name])


faults.FAULTS["deaf"] = ("counter", _deaf)


def _foreign(d):
    return [_s(2000 + 300 * i, "engine-foreign", f"e{i}", 9000) for i in range(d.engines)]


def _restarted(d):
    return [_s(1000, "engines-all", "", 500)] + [_s(1800 + 900 * i, "hot-crowd") for i in range(6)]


def _plain_crowd(d):
    return [_s(2000, "engine-restart", "p0", 1000)] + [
        _s(2900 + 200 * i, "crowd") for i in range(3)
    ]


def _down(d):
    return [_s(1500, "engine-restart", f"p{i}", 6000) for i in range(d.plain_engines - 1)] + [
        _s(2000 + 700 * i, "crowd") for i in range(5)
    ]


def _silent(d):
    return (
        [_s(500, "engine-silent", f"e{i}", 8000) for i in range(d.engines)]
        + [_s(700 + 50 * i, "engine-restart", f"e{i}", 100) for i in range(d.engines)]
        + [_s(1000, "burst")]
    )


def _dark(d):
    return [_s(2000, "burst")] + [_s(1900, "engine-dark", f"e{i}", 18000) for i in range(d.engines)]


def _ordering(d):
    return [_s(1000, "freeze-ordering", str(world.shard_of(d.service, 8)), 7000)] + [
        _s(1100, "engine-restart", f"e{i}", 200) for i in range(d.engines)
    ]


MUTANTS = (
    Mutant(
        "unknown legs tried again",
        "stream-runs-once",
        _foreign,
        lambda: [(router, "ended", breaking.eager(router.ended))],
    ),
    Mutant(
        "unknown told as refused",
        "refused-never-runs",
        _foreign,
        lambda: [(failures, "OutcomeUnknown", lambda cause: failures.Overloaded(1000, cause))],
    ),
    Mutant(
        "pieces not judged",
        "answers-whole",
        _foreign,
        lambda: [(pieces, "take", breaking.trusting)],
    ),
    Mutant(
        "a broken stream run anew",
        "answers-whole",
        lambda d: [_s(2000 + 100 * i, "engine-snapping", f"e{i}", 9000) for i in range(d.engines)],
        lambda: [(pieces, "take", breaking.any_run)],
    ),
    Mutant(
        "engine states not looked at",
        "leaving-engine",
        lambda d: [_s(2000, "engine-leaving", f"e{i}", 9000) for i in range(3)],
        lambda: [(world, "usable", lambda reg, e: e["zone"] not in reg.zones)],
    ),
    Mutant(
        "zones not looked at",
        "evacuated-zone",
        lambda d: [_s(2000, "evacuate", d.zones[0], 9000)],
        lambda: [(world, "usable", lambda reg, e: e["state"] == "join")],
    ),
    Mutant(
        "own age not looked at",
        "evacuated-zone",
        lambda d: (
            [_s(2000, "deaf", f"c{i}", 14000) for i in (0, 2)]
            + [_s(2500, "evacuate", d.zones[0], 12000)]
        ),
        lambda: [(router, "begin", breaking.fearless(router.begin))],
    ),
    Mutant(
        "an age of 3 s allowed",
        "layout-followed",
        lambda d: [_s(2000, "deaf", "c2", 14000)] + [_s(2020 + 40 * i, "race") for i in range(3)],
        lambda: [(config, "routing", breaking.stale(config.routing))],
        seeds=(3, 4, 8),
    ),
    Mutant(
        "a lazy feed",
        "layout-followed",
        lambda d: [_s(2000, "race"), _s(9000, "race")],
        lambda: [
            (feed, "push", lambda g, n, now_ms: []),
            (feed, "push_to", breaking.lazy(feed.push_to)),
        ],
    ),
    Mutant(
        "older views taken",
        "never-back",
        lambda d: [_s(2000, "cut-one-way", f"c{i}", 6000) for i in (0, 1)],
        lambda: [
            (follower, "_reached", breaking.never_reached),
            (follower, "_catch_up", breaking.older),
        ],
    ),
    Mutant(
        "one depot is a majority",
        "acked-kept",
        lambda d: (
            [_s(1000, "lone-leader", "", 4000)] + [_s(1050 + 100 * i, "race") for i in range(4)]
        ),
        lambda: [
            (
                log_replication,
                "count",
                lambda g: log_replication.advance(g, g.synced) if g.synced > g.commit else [],
            )
        ],
    ),
    Mutant(
        "one depot is a majority, and loses its disk",
        "acked-kept",
        lambda d: [_s(1000, "lone-leader", "", 4000), _s(1100, "wipe-yes-leader")],
        lambda: [
            (
                log_replication,
                "count",
                lambda g: log_replication.advance(g, g.synced) if g.synced > g.commit else [],
            )
        ],
        seeds=(3, 4, 8, 11),
    ),
    Mutant(
        "a grant never ends",
        "one-owner",
        _ordering,
        lambda: [(shard_ownership, "lease_end", lambda f, t: float("inf"))],
        more={"fencing": False},
    ),
    Mutant(
        "durations on the wall clock",
        "layout-followed",
        lambda d: (
            [_s(1000 + 400 * i, "clock", f"{k}{i % 3}", 2500) for i, k in enumerate("cdcdcdcdcd")]
            + _ordering(d)
        ),
        lambda: [(worlds, "local", worlds.wall)],
        more={"fencing": False},
    ),
    Mutant(
        "loads not counted",
        "room-and-store",
        _silent,
        lambda: [(orders, "store_allows", lambda *a: True)],
    ),
    Mutant(
        "loads of engines called gone forgotten",
        "room-and-store",
        lambda d: (
            [_s(100, "engines-all", "", 300)]
            + [
                _s(700 + 400 * i, "engine-struck-off", f"e{i % d.engines}", 1500)
                for i in range(4 * d.engines)
            ]
        ),
        lambda: [(ledger, "is_open_load", breaking.never_lingers)],
        change={"loadMs": 4000.0},
    ),
    Mutant(
        "what was found stays without size",
        "room-and-store",
        lambda d: [_s(1000, "burst"), _s(4000, "engine-emptied", "e1", 2000)],
        lambda: [
            (
                settle,
                "_facts",
                lambda reg, e, items: {i: {"state": "loaded", "mb": 0, "places": 0} for i in items},
            ),
            (settle, "_resized", lambda *a: False),
            (world, "charge_of", lambda reg, item, entry: (entry["mb"], entry["places"])),
        ],
        seeds=(2, 8),
    ),
    Mutant(
        "every counter its own ramp",
        "no-flood",
        _restarted,
        lambda: [(choice, "limit", breaking.own_floor)],
        seeds=(3,),
        size="zatacka",
    ),
    Mutant(
        "no ramp",
        "no-flood",
        lambda d: _restarted(d) + _plain_crowd(d),
        lambda: [(choice, "limit", lambda *a: 1000)],
    ),
    Mutant(
        "no retry budget",
        "few-retries",
        lambda d: _down(d) + [_s(2000 + 200 * i, "hot-crowd") for i in range(6)],
        lambda: [(retry_budget, "may_retry", lambda *a: True)],
    ),
    Mutant(
        "no election after the first",
        "service-back",
        lambda d: [_s(4000, "kill-leader")],
        lambda: [(election, "tick", breaking.no_election(election.tick))],
    ),
    Mutant(
        "nobody gives up",
        "final-answers",
        _dark,
        lambda: [(router, "tick", lambda r, now_ms: []), (router, "wake", lambda *a: [])],
    ),
    Mutant(
        "held back towards the deadline",
        "final-answers",
        lambda d: (
            [_s(1000, "engines-all", "", 500)] + [_s(1600 + 300 * i, "burst") for i in range(4)]
        ),
        lambda: [(line, "give_up", lambda *a: None), (line, "estimate", lambda *a: None)],
        seeds=(2,),
        size="byggesag",
    ),
    Mutant(
        "shares not looked at",
        "partners",
        lambda d: [_s(1000, "race")],
        lambda: [(placement, "place", breaking.shareless(placement.place))],
        seeds=(2,),
        size="zatacka",
    ),
    Mutant(
        "unmet wishes not told",
        "partners",
        lambda d: [_s(1000, "race")],
        lambda: [(orders, "_tell_unmet", lambda *a: None)],
        seeds=(2,),
        size="zatacka",
    ),
)


def applied(mutant):
    """Break the code in this very process; returns how to mend it again."""
    kept = [(owner, name, getattr(owner, name)) for owner, name, _ in mutant.patches()]
    for owner, name, value in mutant.patches():
        setattr(owner, name, value)

    def mend():
        for owner, name, value in reversed(kept):
            setattr(owner, name, value)

    return mend


def simulate(mutant, deployment, seed):
    deployment = dataclasses.replace(deployment, **mutant.change)
    return run.simulate(
        seed, deployment, steps=mutant.steps(deployment), span_ms=20000.0, **mutant.more
    )
