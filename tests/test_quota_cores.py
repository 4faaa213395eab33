"""The cores of tenants' limits by themselves: buckets, parts, lines and messages."""

import heapq
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from quota_records import TERMS, tenant
from quota_world import World
from quotas import bucket as buckets
from quotas import depot_choice, granting, spending, standing
from quotas.terms import Limit
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport.quota_messages import QuotaReply, QuotaRequest, TokenDemand, TokenGrant

EMPTY_FOR_20_S = TokenGrant(0, 0.0, 20_000.0)


class Cores(TestCase):
    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_a_bucket_never_gives_more_than_a_plain_count_allows(self, data):
        """Any window's draws are at most capacity and what the time fills in."""
        capacity = data.draw(st.floats(1, 50))
        rate = data.draw(st.floats(0, 0.5))
        found, now_ms, drawn = buckets.Bucket(capacity, 0.0, capacity, rate), 0.0, []
        for _ in range(data.draw(st.integers(1, 30))):
            now_ms += data.draw(st.floats(0, 500))
            found = buckets.fill(found, now_ms)
            count = min(buckets.whole(found), data.draw(st.integers(0, 20)))
            found = buckets.draw(found, count)
            drawn.append((now_ms, count))
        for first, (start_ms, _) in enumerate(drawn):
            total = 0
            for at_ms, count in drawn[first:]:
                total += count
                self.assertThat(total, LessThan(capacity + rate * (at_ms - start_ms) + 1e-3))

    def test_the_plain_counter_and_the_judgement_know_a_flood_without_limits(self):
        """The judgement sees what is over the bound: every request is let in."""
        self.patch(spending, "take", lambda *facts: spending.Granted())
        world = World(1, {"flood": tenant("flood", 100, 10, 400)}, 4).run(10_000)
        self.assertThat(world.worst("flood")[0], GreaterThan(1000))

    def test_asks_of_one_turn_to_one_depot_travel_in_one_message(self):
        state = spending.Spending("n", TERMS)
        depot_choice.update(state.depots, ["only"])
        for name in ("a", "b", "a"):
            limit = tenant(name, 5, 5, 1).limit(0.0)
            self.assertThat(spending.take(state, 0.0, limit, name), Equals(spending.Pending()))
        _, asks = spending.advance(state, 0.0)
        self.assertThat(len(asks), Equals(1))
        self.assertThat(
            [(w.tenant, w.needed) for w in asks[0].ask.wants], Equals([("a", 2), ("b", 1)])
        )
        self.assertThat(spending.advance(state, 1.0), Equals(([], [])))

    def test_a_request_whose_caller_left_spends_nothing(self):
        state = spending.Spending("n", TERMS)
        depot_choice.update(state.depots, ["only"])
        spending.take(state, 0.0, tenant("a", 5, 5, 1).limit(0.0), "gone")
        _, asks = spending.advance(state, 0.0)
        spending.forget(state, "gone")
        share = standing.Share(1, -1e12)
        grant = granting.on_ask(granting.Granting(TERMS), 1.0, asks[0].ask, share)
        spending.on_grant(state, 2.0, "only", grant)
        self.assertThat(spending.advance(state, 2.0), Equals(([], [])))
        self.assertThat(state.tenants["a"].spent, Equals(0))
        self.assertThat(state.lined, Equals(set()))

    # SHORT: with thousands of tenants, new ones were refused and each ask took a long look.
    def test_thousands_of_tenants_are_granted_their_first_requests(self):
        state, share = granting.Granting(TERMS), standing.Share(5, -1e12)
        for number in range(6000):
            want = TokenDemand(f"t{number}", 1, 0.01, 1.0, 1, 0)
            grant = granting.on_ask(state, float(number), QuotaRequest(1, (want,)), share)
            self.assertThat(grant.given[0].given, Equals(1))

    def test_a_depot_without_room_looks_for_some_once_a_second(self):
        self.patch(granting, "_MOST_BUCKETS", 10)
        looks, true_drop = [], granting._drop_full
        self.patch(granting, "_drop_full", lambda *facts: looks.append(1) or true_drop(*facts))
        state, share = granting.Granting(TERMS), standing.Share(5, -1e12)
        for number in range(300):
            want = TokenDemand(f"t{number}", 1, 0.01, 1.0, 1, 0)
            granting.on_ask(state, 10.0 * number, QuotaRequest(1, (want,)), share)
        self.assertThat(len(looks), LessThan(4))

    # SHORT: a tenant whose limit was raised was refused for what depots had said before.
    def test_what_depots_said_of_another_limit_counts_no_more(self):
        state = spending.Spending("n", TERMS)
        depot_choice.update(state.depots, ["only"])
        spending.take(state, 0.0, tenant("a", 0.05, 1, 1).limit(0.0), "first")
        _, asks = spending.advance(state, 0.0)
        none_left = QuotaReply(asks[0].ask.number, True, (EMPTY_FOR_20_S,))
        spending.on_grant(state, 1.0, "only", none_left)
        spending.advance(state, 1.0)
        same = Limit("a", 2, 0.05, 1.0)
        self.assertIsInstance(spending.take(state, 2.0, same, "same"), spending.Refused)
        raised = Limit("a", 3, 100.0, 50.0)
        self.assertThat(spending.take(state, 3.0, raised, "next"), Equals(spending.Pending()))
        self.assertThat(len(spending.advance(state, 3.0)[1]), Equals(1))

    def test_full_buckets_are_dropped_when_there_are_too_many(self):
        self.patch(granting, "_MOST_BUCKETS", 10)
        state, share = granting.Granting(TERMS), standing.Share(1, -1e12)
        rng, given = random.Random(1), []
        for number in range(200):
            want = spending.TokenDemand(f"t{rng.randrange(60)}", 1, 0.2, 1.0, 1, 0)
            grant = granting.on_ask(state, 100.0 * number, spending.QuotaRequest(1, (want,)), share)
            given.append((want.tenant, grant.given[0].given))
            self.assertThat(len(state.tenants), LessThan(11))
        for name in {name for name, _ in given}:
            total = sum(count for other, count in given if other == name)
            self.assertThat(total, LessThan(granting.quota_terms.capacity(TERMS, 1.0) + 4 + 1))

    def test_the_highest_version_of_a_limit_counts(self):
        state, share = granting.Granting(TERMS), standing.Share(2, -1e12)

        def ask(now_ms, version, rate, burst):
            want = spending.TokenDemand("a", version, rate, burst, 1, 0)
            granting.on_ask(state, now_ms, spending.QuotaRequest(1, (want,)), share)
            return state.tenants["a"].bucket

        self.assertThat(ask(0.0, 2, 10.0, 100.0).capacity, Equals(57.5))
        self.assertThat(ask(1.0, 3, 1.0, 0.0).tokens, Equals(4.0))
        self.assertThat(ask(2.0, 2, 10.0, 100.0).capacity, Equals(5.0))
        self.assertThat(ask(3.0, 4, 10.0, 100.0).tokens, LessThan(3.0))

    # QUOTA: a founder that was removed, restarted and was taken back granted at once.
    def test_a_founder_that_is_taken_back_waits_as_a_newcomer_does(self):
        founders = {f"d{number}" for number in range(5)}
        stands = standing.Standing("d0", 1000.0, 5, restarted=True)
        standing.observe(stands, 0.0, founders - {"d0"}, founders)
        standing.observe(stands, 10.0, founders, founders)
        self.assertThat(standing.share(stands, 1009.0, 0.0), Equals(None))
        self.assertThat(standing.share(stands, 1010.0, 0.0), Equals(standing.Share(5, 1010.0)))

    def test_parts_never_make_up_more_than_the_whole(self):
        """Any order in which depots hear of any one-by-one changes, against a plain sum."""
        for seed in range(300):
            self.assertThat(worst_sum(seed), LessThan(1 + 1e-9), seed)


def worst_sum(seed):
    """The largest sum of the parts granted at one time: members change one at a time, and
    each depot's marks come when they come, the changes in order."""
    rng = random.Random(seed)
    size, trust_ms = rng.choice([3, 5]), 1000.0
    names = [f"d{n}" for n in range(size)]
    changes, members, at_ms = [(0.0, frozenset(names))], set(names), 0.0
    for number in range(4):
        at_ms += rng.choice([10, 300, 1500])
        if len(members) > size or (len(members) == size and rng.random() < 0.5):
            members.discard(rng.choice(sorted(members)))
        else:
            members.add(f"n{number}")
        changes.append((at_ms, frozenset(members)))
    stands = {
        name: standing.Standing(name, trust_ms, size)
        for name in set().union(*(m for _, m in changes))
    }
    events, marks = [], dict.fromkeys(stands, -1e12)
    for name in stands:
        now_ms = 0.0
        while now_ms < at_ms + 2500:
            heapq.heappush(events, (now_ms + rng.uniform(0, 5), name, now_ms))
            now_ms += rng.choice([20, 100, 900]) if rng.random() < 0.9 else 2500
    worst, seen = 0.0, dict.fromkeys(stands, 0)
    while events:
        now_ms, name, sent_ms = heapq.heappop(events)
        while seen[name] < len(changes) and changes[seen[name]][0] <= sent_ms:
            standing.observe(stands[name], now_ms, changes[seen[name]][1], names)
            seen[name] += 1
        marks[name] = max(marks[name], sent_ms)
        shares = [standing.share(s, now_ms, now_ms - marks[n]) for n, s in stands.items()]
        worst = max(worst, sum(1 / share.parts for share in shares if share))
    return worst
