"""How long operators wait across a loss: the chain of silence, election, revocation, grant
and recovery, against the bound within which an order must be acknowledged."""

import random

from adapter.dialect import DIALECT
from pulleyhitch import config as configs
from pulleyhitch import shard_ownership
from replication.follower import FeedFollower
from simulation import platform_made as made
from simulation.register.cluster import BOUNDS, ZONES, Cluster
from simulation.register.operators import Operators
from testtools import TestCase
from testtools.matchers import Equals, LessThan

ACKNOWLEDGE_MS = 4000.0
GROWN = {**BOUNDS, "serviceBackMs": 15000, "acknowledgeMs": 5000, "layoutMs": 2500}
# More of them where operators go on reaching the node that is lost.
SEEDS = {"restart": 2, "end": 2, "freeze": 2, "cut": 8}
EVERY_MS = 400.0
FOR_MS = 6000.0
LOSSES = ("restart", "end", "freeze", "cut")
ROLES = ("leader", "holder", "follower")


def waits(seed, role, loss):
    """From each order's first sending to its answer, around a loss."""
    cluster = Cluster(seed, DIALECT, counters=2)
    operators, rng = Operators(cluster), random.Random(seed)
    operators.goes_on_elsewhere = True
    cluster.spin(4000)
    operators.change("PUT", made.configuration(rng, 3, routes=2), 0)
    cluster.spin(1500)
    leader, holder = cluster.leader(), cluster.holder()
    other = next(name for name in cluster.depots if name not in (leader, holder))
    name = {"leader": leader, "holder": holder, "follower": other}[role]
    operators.calls.clear()
    _lose(cluster, name, loss)
    if loss != "cut":
        # The list that operators pick from has lost it, or it is back soon.
        operators.reach = [n for n in cluster.depots if loss == "restart" or n != name]
    for number in range(int(FOR_MS / EVERY_MS)):
        zone, evacuated = ZONES[number % 3], number % 2 == 0
        cluster.after(number * EVERY_MS, lambda z=zone, e=evacuated: operators.zone(z, e))
    cluster.spin(20000)
    return [call.ended_ms - call.begun_ms for call in operators.calls]


def _lose(cluster, name, loss):
    if loss in ("restart", "end"):
        cluster.kill(name)
    if loss == "restart":
        cluster.after(1000.0, lambda: cluster.boot(name))
    elif loss == "freeze":
        cluster.freeze(name)
    elif loss == "cut":
        cluster.cut_off(name)


class Chain(TestCase):
    def test_the_longest_chain_of_timers(self):
        """Silence and an election of its longest, revocation counted from the new leader,
        then a ping for the grant to be told and one to recover: inside the bound, and a
        holder's own clock ends its lease before anybody else has it."""
        for bounds in (BOUNDS, GROWN):
            cluster = Cluster(1, DIALECT, bounds=bounds)
            times = configs.times(cluster.world.hosts["d0"].config)
            self.assertThat(
                shard_ownership.lease_end(FeedFollower(direct_ms=0.0), times),
                LessThan(times.revoke_ms),
            )
            longest_ms = 2 * times.election_ms + times.revoke_ms + 2 * times.ping_ms
            self.assertThat(longest_ms, LessThan(float(bounds["acknowledgeMs"])))

    def test_every_order_is_acknowledged_in_time(self):
        for role in ROLES:
            for loss in LOSSES:
                worst_ms = max(max(waits(seed, role, loss)) for seed in range(SEEDS[loss]))
                self.assertThat(worst_ms, LessThan(ACKNOWLEDGE_MS), f"{role} {loss}")

    def test_nothing_was_lost_or_refused(self):
        for role in ROLES:
            found = waits(9, role, "end")
            self.assertThat(len(found), Equals(int(FOR_MS / EVERY_MS)))
