"""Tenants' limits over many nodes: the exact count in every window against the bound, and refusals
against one exact counter."""

import functools

import quota_faults
from quota_records import tenant
from quota_world import World
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

SEEDS = 8


@functools.cache
def calm_day(seed):
    return quota_faults.calm_day(seed, counters=40)


class PlainCounter:
    """One exact token bucket for all nodes."""

    def __init__(self, limit):
        self.limit, self.tokens, self.at_ms = limit, float(limit.burst), 0.0

    def admits(self, now_ms):
        filled = self.tokens + (now_ms - self.at_ms) * self.limit.rate_per_s / 1000
        self.tokens, self.at_ms = min(self.limit.burst, filled), now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def wrongly_refused(world, name):
    """(requests refused that one exact counter admits, all requests that it admits)."""
    counter = PlainCounter(world.tenants[name].limit(0.0))
    owed = [r for r in world.requests if r.tenant == name and counter.admits(r.sent_ms)]
    return sum(r.outcome != "run" for r in owed), len(owed)


class Bound(TestCase):
    # Rule QUOTA: a tenant exceeded its limit.
    def test_no_window_exceeds_the_bound_with_faults(self):
        for seed in range(SEEDS):
            self.assertThat(quota_faults.faulty_day(seed).broken(), Equals({}), seed)

    # Rule QUOTA: a tenant exceeded its limit.
    def test_no_window_exceeds_the_bound_without_faults(self):
        for seed in range(2):
            self.assertThat(calm_day(seed).broken(), Equals({}), seed)


class Refusals(TestCase):
    # Rule SHORT: requests below a tenant's limit were refused.
    def test_a_single_tenant_below_its_limit_is_never_refused(self):
        for seed, (load, burst) in enumerate([(0.3, 1), (2, 3), (20, 8), (80, 20)]):
            world = World(seed, {"lone": tenant("lone", 1.6 * load, burst, load)}, 40)
            world.run(quota_faults.DAY_MS)
            refused, owed = wrongly_refused(world, "lone")
            self.assertThat(owed, GreaterThan(0))
            self.assertThat(refused, Equals(0), (load, burst))

    # Rule SHORT: requests below a tenant's limit were refused.
    def test_tenants_below_their_limit_beside_a_flood(self):
        refused = owed = 0
        for seed in range(2):
            world = calm_day(seed)
            for name in quota_faults.CALM:
                found = wrongly_refused(world, name)
                refused, owed = refused + found[0], owed + found[1]
        self.assertThat(refused, LessThan(0.005 * owed))

    # Rule SHORT: a tenant over its limit got less than the limit.
    def test_a_flooding_tenant_gets_what_its_limit_allows(self):
        for seed in range(2):
            world = calm_day(seed)
            refused, owed = wrongly_refused(world, "hot0")
            run = sum(r.outcome == "run" for r in world.requests if r.tenant == "hot0")
            self.assertThat(owed, GreaterThan(0))
            self.assertThat(run, GreaterThan(0.98 * owed))

    def test_a_refusal_comes_within_a_few_round_trips(self):
        world = calm_day(1)
        spans = [r.ended_ms - r.sent_ms for r in world.requests if r.outcome == "refused"]
        self.assertThat(len(spans), GreaterThan(500))
        self.assertThat(max(spans), LessThan(3.0 + 2 * 6 * 0.9))

    def test_a_depot_that_is_lost_delays_few_requests_and_refuses_none(self):
        world = World(3, {"lone": tenant("lone", 40, 8, 20)}, 10)
        world.at(8000.0, world.stop_depot, "d1")
        world.run(quota_faults.DAY_MS)
        slow = [r for r in world.requests if r.ended_ms - r.sent_ms > 100]
        self.assertThat(world.share("refused", {"lone"}), Equals(0))
        self.assertThat(len(slow), LessThan(10 * 3))
        self.assertThat(max(r.ended_ms - r.sent_ms for r in slow), LessThan(200))

    # Rule SHORT: answers that took longer than a lease lasts were useless, and used up the limit.
    def test_late_answers_admit_requests_that_waited(self):
        for seed in range(3):
            world = World(seed, {"lone": tenant("lone", 100, 50, 20)}, 5)
            world.late, world.late_ms = 1.0, 400.0
            world.run(10_000)
            self.assertThat(world.share("run", {"lone"}), GreaterThan(0.98))
            self.assertThat(world.broken(), Equals({}))

    # Rule SHORT: a node that got late answers used up the limit, so that others were refused.
    def test_a_node_with_late_answers_leaves_tokens_to_others(self):
        world = World(1, {"lone": tenant("lone", 32, 8, 20)}, 8)
        true_deliver = world._deliver

        def deliver(sender, to, message):
            if to == "c0":
                return world.after(300.0, true_deliver, sender, to, message)
            true_deliver(sender, to, message)

        world._deliver = deliver
        world.run(quota_faults.DAY_MS)
        self.assertThat(world.share("refused", {"lone"}), LessThan(0.01))
        self.assertThat(world.share("run", {"lone"}), GreaterThan(0.98))

    # Rule SHORT: while answers were late, several depots were asked for each request, which used
    # up the tenant's tokens.
    def test_late_answers_do_not_use_the_limit_up(self):
        world = World(1, {"lone": tenant("lone", 32, 32, 20)}, 12)
        true_deliver = world._deliver

        def deliver(sender, to, message):
            if to in world.counters:
                return world.after(350.0, true_deliver, sender, to, message)
            true_deliver(sender, to, message)

        world._deliver = deliver
        world.run(20_000)
        self.assertThat(world.share("run", {"lone"}), GreaterThan(0.99))
        counters = [c.spending.tenants["lone"] for c in world.counters.values()]
        drawn = sum(
            bucket.given for d in world.depots.values() for bucket in d.granting.tenants.values()
        )
        self.assertThat(drawn, LessThan(1.5 * sum(queue.spent for queue in counters)))
