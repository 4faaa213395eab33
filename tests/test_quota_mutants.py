"""Without any one of the rules that enforce tenants' limits, a simulated day exceeds the bound
that it keeps with all of them."""

from quota_records import tenant
from quota_world import World
from quotas import bucket as buckets
from quotas import grant_shares, granting, spending
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan


class Mutants(TestCase):
    def check(self, day, *mutants):
        self.assertThat(over(day()), LessThan(1e-9))
        for target, name, mutant in mutants:
            self.patch(target, name, mutant)
        self.assertThat(over(day()), GreaterThan(0))

    # Rule QUOTA: a node that was idle spent an old lease.
    def test_leases_without_an_end(self):
        self.check(moving_load, (spending, "_is_valid", lambda lease, now_ms: True))

    # Rule QUOTA: answers that were delayed arrived all at once and counted in full.
    def test_leases_that_start_when_the_grant_arrives(self):
        self.check(delayed_answers, (spending, "_lease_end_ms", lambda state, sent: 1e12))

    # Rule QUOTA: a duplicated answer was spent twice.
    def test_a_grant_that_counts_each_time_it_arrives(self):
        class Kept(dict):
            def pop(self, number, *default):
                return self.get(number, *default)

        def take_twice(state, *facts):
            state.sent = Kept(state.sent)
            return true_on_grant(state, *facts)

        true_on_grant = spending.on_grant
        self.check(
            duplicated_grants,
            (spending, "on_grant", take_twice),
            (spending, "_stop_counting", lambda state, sent: None),
        )

    # Rule QUOTA: a depot that restarted granted its bucket again.
    def test_a_bucket_that_is_full_after_a_restart(self):
        self.check(restarts, (grant_shares, "_since_ms", lambda *facts: -1e12))

    # Rule QUOTA: a new member granted beside the removed depot that didn't know of its removal.
    def test_a_new_member_that_does_not_wait(self):
        self.check(
            replaced, (grant_shares, "_since_ms", lambda eligibility, now_ms, founders: now_ms)
        )

    # Rule QUOTA: a removed depot that didn't know of its removal granted for ever.
    def test_a_depot_that_grants_without_freshness_marks(self):
        def always(eligibility, now_ms, mark_age_ms):
            return true_share(eligibility, now_ms, 0.0)

        true_share = grant_shares.current_share
        self.check(replaced, (grant_shares, "current_share", always))

    # Rule QUOTA: fewer members took larger shares while a removed one still granted its own.
    def test_a_share_that_grows_as_soon_as_the_group_is_smaller(self):
        self.check(
            shrunk, (grant_shares, "_members_to_count", lambda eligibility, after: len(after))
        )

    # Rule QUOTA: a raised limit filled the bucket.
    def test_a_raised_limit_that_fills_the_bucket(self):
        def filled(bucket, now_ms, capacity, rate_per_ms):
            if capacity == bucket.capacity:
                return buckets.refill(bucket, now_ms)
            return buckets.Bucket(capacity, now_ms, capacity, rate_per_ms)

        self.check(raised, (granting.buckets, "resize", filled))


def over(world):
    """The largest excess over the bound in any window of any tenant."""
    return max(world.worst(name)[0] for name in world.tenants)


def flood(rate=100, burst=10, load=400):
    return {"flood": tenant("flood", rate, burst, load)}


def moving_load():
    """Clients move from node to node, each of which keeps a lease, and then use all nodes."""
    world = World(1, {"flood": tenant("flood", 300, 100, 250, (12_000.0, 17_000.0, 3.0))}, 128)
    names = sorted(world.counters)

    def callers_at(now_ms):
        group = int((now_ms - 2000) / 625)
        return names[8 * group : 8 * group + 8] if group < 16 else names

    world.callers_at = callers_at
    return world.run(17_000)


def delayed_answers():
    world = World(2, flood(), 12)
    world.delivery_pause = (5000.0, 10_000.0)
    return world.run(16_000)


def duplicated_grants():
    world = World(2, flood(), 12)
    world.duplicated = 0.5
    return world.run(12_000)


def restarts():
    world = World(3, flood(burst=100), 12)
    for number, name in enumerate(sorted(world.depots)):
        for start_ms in range(3000, 12_000, 700):
            world.at(start_ms + number, world.restart_depot, name)
    return world.run(12_000)


def replaced():
    """A depot is cut off and goes on granting beside its replacement."""
    world = World(4, flood(load=200), 12, 3)
    world.asks_all_depots = True
    world.at(5000.0, world.cut_off_group.add, "d0")
    world.at(5100.0, world.set_members, "d1", "d2")
    world.at(5200.0, world.set_members, "d1", "d2", "new")
    return world.run(20_000)


def shrunk():
    """A depot is cut off and goes on granting beside the remaining members."""
    world = World(5, flood(load=200), 12, 3)
    world.asks_all_depots = True
    world.at(5000.0, world.cut_off_group.add, "d0")
    world.at(5100.0, world.set_members, "d1", "d2")
    return world.run(14_000)


def raised():
    """A limit that changes up and down by a little."""
    world = World(6, flood(burst=100), 12)
    for version in range(2, 30):
        limit = world.tenants["flood"].limits[0][1]
        changed = type(limit)("flood", version, 100, 100 + version % 2)
        world.tenants["flood"].limits.append((3000.0 + 400 * version, changed))
    return world.run(14_000)
