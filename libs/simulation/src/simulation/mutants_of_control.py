"""Mutants of control: configurations, the feed, the log, leases, clocks and elections."""

from pulleyhitch import config, shard_ownership
from replication import election, feed, follower, log_commit, log_replication
from routing import router

from simulation import breaking
from simulation.mutant import Mutant
from simulation.mutant_scripts import ordering, step
from simulation.sim import world as worlds

__all__ = ["MUTANTS"]

MUTANTS = (
    Mutant(
        "own age not looked at",
        "evacuated-zone",
        lambda d: (
            [step(2000, "deaf", f"c{i}", 14000) for i in (0, 2)]
            + [step(2500, "evacuate", d.zones[0], 12000)]
        ),
        lambda: [(router, "begin", breaking.fearless(router.begin))],
    ),
    Mutant(
        "an age of 3 s allowed",
        "layout-followed",
        lambda d: (
            [step(2000, "deaf", "c2", 14000)] + [step(2020 + 40 * i, "race") for i in range(3)]
        ),
        lambda: [(config, "routing_settings", breaking.stale(config.routing_settings))],
        seeds=(3, 4, 8),
    ),
    Mutant(
        "a lazy feed",
        "layout-followed",
        lambda d: [step(2000, "race"), step(9000, "race")],
        lambda: [
            (feed, "push", lambda g, n, now_ms: []),
            (feed, "push_to", breaking.lazy(feed.push_to)),
        ],
    ),
    Mutant(
        "older views taken",
        "never-back",
        lambda d: [step(2000, "cut-one-way", f"c{i}", 6000) for i in (0, 1)],
        lambda: [
            (follower, "_already_applied", breaking.never_reached),
            (follower, "_entries_or_snapshot", breaking.older),
        ],
    ),
    Mutant(
        "one depot is a majority",
        "acked-kept",
        lambda d: (
            [step(1000, "lone-leader", "", 4000)] + [step(1050 + 100 * i, "race") for i in range(4)]
        ),
        lambda: [
            (
                log_replication,
                "count",
                lambda g: log_commit.advance_commit(g, g.synced) if g.synced > g.commit else [],
            )
        ],
    ),
    Mutant(
        "one depot is a majority, and loses its disk",
        "acked-kept",
        lambda d: [step(1000, "lone-leader", "", 4000), step(1100, "wipe-yes-leader")],
        lambda: [
            (
                log_replication,
                "count",
                lambda g: log_commit.advance_commit(g, g.synced) if g.synced > g.commit else [],
            )
        ],
        seeds=(3, 4, 8, 11),
    ),
    Mutant(
        "a grant never ends",
        "one-owner",
        ordering,
        lambda: [(shard_ownership, "lease_end", lambda f, t: float("inf"))],
        more={"fencing": False},
    ),
    Mutant(
        "durations on the wall clock",
        "layout-followed",
        lambda d: (
            [step(1000 + 400 * i, "clock", f"{k}{i % 3}", 2500) for i, k in enumerate("cdcdcdcdcd")]
            + ordering(d)
        ),
        lambda: [(worlds, "local", worlds.wall)],
        more={"fencing": False},
    ),
    Mutant(
        "no election after the first",
        "service-back",
        lambda d: [step(4000, "kill-leader")],
        lambda: [(election, "tick", breaking.no_election(election.tick))],
    ),
)
