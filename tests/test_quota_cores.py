"""The cores of the rate limits by themselves: buckets, shares, queues and messages."""

import heapq
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from quota_records import SETTINGS, tenant
from quota_world import World
from quotas import bucket as buckets
from quotas import depot_choice, grant_shares, granting, spending
from quotas.settings import RateLimit
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport.quota_messages import QuotaReply, QuotaRequest, TokenDemand, TokenGrant

EMPTY_FOR_20_S = TokenGrant(0, 0.0, 20_000.0)


class Cores(TestCase):
    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_a_bucket_never_gives_more_than_a_plain_count_allows(self, data):
        """In any window the draws are at most the capacity and the refill."""
        capacity = data.draw(st.floats(1, 50))
        rate = data.draw(st.floats(0, 0.5))
        found, now_ms, drawn = buckets.Bucket(capacity, 0.0, capacity, rate), 0.0, []
        for _ in range(data.draw(st.integers(1, 30))):
            now_ms += data.draw(st.floats(0, 500))
            found = buckets.refill(found, now_ms)
            count = min(buckets.whole_tokens(found), data.draw(st.integers(0, 20)))
            found = buckets.draw(found, count)
            drawn.append((now_ms, count))
        for first, (start_ms, _) in enumerate(drawn):
            total = 0
            for at_ms, count in drawn[first:]:
                total += count
                self.assertThat(total, LessThan(capacity + rate * (at_ms - start_ms) + 1e-3))

    def test_the_check_detects_a_flood_without_limits(self):
        """If every request is admitted, the check reports the excess."""
        self.patch(spending, "request_token", lambda *facts: spending.Granted())
        world = World(1, {"flood": tenant("flood", 100, 10, 400)}, 4).run(10_000)
        self.assertThat(world.worst("flood")[0], GreaterThan(1000))

    def test_requests_to_one_depot_are_sent_in_one_message(self):
        state = spending.SpendingState("n", SETTINGS)
        depot_choice.update(state.depots, ["only"])
        for name in ("a", "b", "a"):
            limit = tenant(name, 5, 5, 1).limit(0.0)
            self.assertThat(
                spending.request_token(state, 0.0, limit, name), Equals(spending.Pending())
            )
        _, lease_requests = spending.advance(state, 0.0)
        self.assertThat(len(lease_requests), Equals(1))
        self.assertThat(
            [(w.tenant, w.needed) for w in lease_requests[0].message.demands],
            Equals([("a", 2), ("b", 1)]),
        )
        self.assertThat(spending.advance(state, 1.0), Equals(([], [])))

    def test_a_request_whose_caller_left_spends_nothing(self):
        state = spending.SpendingState("n", SETTINGS)
        depot_choice.update(state.depots, ["only"])
        spending.request_token(state, 0.0, tenant("a", 5, 5, 1).limit(0.0), "gone")
        _, lease_requests = spending.advance(state, 0.0)
        spending.cancel(state, "gone")
        share = grant_shares.Share(1, -1e12)
        grant = granting.on_request(
            granting.GrantingState(SETTINGS), 1.0, lease_requests[0].message, share
        )
        spending.on_grant(state, 2.0, "only", grant)
        self.assertThat(spending.advance(state, 2.0), Equals(([], [])))
        self.assertThat(state.tenants["a"].spent, Equals(0))
        self.assertThat(state.queued, Equals(set()))

    # Rule SHORT: with thousands of tenants, new ones were refused and each request for tokens
    # searched all buckets.
    def test_thousands_of_tenants_are_granted_their_first_requests(self):
        state, share = granting.GrantingState(SETTINGS), grant_shares.Share(5, -1e12)
        for number in range(6000):
            want = TokenDemand(f"t{number}", 1, 0.01, 1.0, 1, 0)
            grant = granting.on_request(state, float(number), QuotaRequest(1, (want,)), share)
            self.assertThat(grant.given[0].given, Equals(1))

    def test_a_full_depot_searches_for_room_once_a_second(self):
        self.patch(granting, "_MAX_BUCKETS", 10)
        looks, true_drop = [], granting._drop_full_buckets
        self.patch(
            granting, "_drop_full_buckets", lambda *facts: looks.append(1) or true_drop(*facts)
        )
        state, share = granting.GrantingState(SETTINGS), grant_shares.Share(5, -1e12)
        for number in range(300):
            want = TokenDemand(f"t{number}", 1, 0.01, 1.0, 1, 0)
            granting.on_request(state, 10.0 * number, QuotaRequest(1, (want,)), share)
        self.assertThat(len(looks), LessThan(4))

    # Rule SHORT: a tenant whose limit was raised was refused because of older reports of depots.
    def test_reports_on_an_older_limit_are_dropped(self):
        state = spending.SpendingState("n", SETTINGS)
        depot_choice.update(state.depots, ["only"])
        spending.request_token(state, 0.0, tenant("a", 0.05, 1, 1).limit(0.0), "first")
        _, lease_requests = spending.advance(state, 0.0)
        none_left = QuotaReply(lease_requests[0].message.number, True, (EMPTY_FOR_20_S,))
        spending.on_grant(state, 1.0, "only", none_left)
        spending.advance(state, 1.0)
        same = RateLimit("a", 2, 0.05, 1.0)
        self.assertIsInstance(spending.request_token(state, 2.0, same, "same"), spending.Refused)
        raised = RateLimit("a", 3, 100.0, 50.0)
        self.assertThat(
            spending.request_token(state, 3.0, raised, "next"), Equals(spending.Pending())
        )
        self.assertThat(len(spending.advance(state, 3.0)[1]), Equals(1))

    def test_full_buckets_are_dropped_when_there_are_too_many(self):
        self.patch(granting, "_MAX_BUCKETS", 10)
        state, share = granting.GrantingState(SETTINGS), grant_shares.Share(1, -1e12)
        rng, given = random.Random(1), []
        for number in range(200):
            want = spending.TokenDemand(f"t{rng.randrange(60)}", 1, 0.2, 1.0, 1, 0)
            grant = granting.on_request(
                state, 100.0 * number, spending.QuotaRequest(1, (want,)), share
            )
            given.append((want.tenant, grant.given[0].given))
            self.assertThat(len(state.tenants), LessThan(11))
        for name in {name for name, _ in given}:
            total = sum(count for other, count in given if other == name)
            self.assertThat(
                total, LessThan(granting.quota_settings.bucket_capacity(SETTINGS, 1.0) + 4 + 1)
            )

    def test_the_newest_version_of_a_limit_applies(self):
        state, share = granting.GrantingState(SETTINGS), grant_shares.Share(2, -1e12)

        def ask(now_ms, version, rate, burst):
            want = spending.TokenDemand("a", version, rate, burst, 1, 0)
            granting.on_request(state, now_ms, spending.QuotaRequest(1, (want,)), share)
            return state.tenants["a"].bucket

        self.assertThat(ask(0.0, 2, 10.0, 100.0).capacity, Equals(57.5))
        self.assertThat(ask(1.0, 3, 1.0, 0.0).tokens, Equals(4.0))
        self.assertThat(ask(2.0, 2, 10.0, 100.0).capacity, Equals(5.0))
        self.assertThat(ask(3.0, 4, 10.0, 100.0).tokens, LessThan(3.0))

    # Rule QUOTA: a founder that was removed, restarted and added again granted at once.
    def test_a_founder_that_is_added_again_waits_like_a_new_member(self):
        founders = {f"d{number}" for number in range(5)}
        eligibility = grant_shares.GrantEligibility("d0", 1000.0, 5, restarted=True)
        grant_shares.observe(eligibility, 0.0, founders - {"d0"}, founders)
        grant_shares.observe(eligibility, 10.0, founders, founders)
        self.assertThat(grant_shares.current_share(eligibility, 1009.0, 0.0), Equals(None))
        self.assertThat(
            grant_shares.current_share(eligibility, 1010.0, 0.0),
            Equals(grant_shares.Share(5, 1010.0)),
        )

    def test_shares_never_exceed_the_whole(self):
        """Depots learn of any one-by-one changes in any order, against a plain sum."""
        for seed in range(300):
            self.assertThat(worst_sum(seed), LessThan(1 + 1e-9), seed)


def worst_sum(seed):
    """The largest sum of the shares granted at one time.  Members change one at a time; each depot
    gets freshness marks at random times and the changes in order."""
    rng = random.Random(seed)
    size, quorum_timeout_ms = rng.choice([3, 5]), 1000.0
    names = [f"d{n}" for n in range(size)]
    changes, members, at_ms = [(0.0, frozenset(names))], set(names), 0.0
    for number in range(4):
        at_ms += rng.choice([10, 300, 1500])
        if len(members) > size or (len(members) == size and rng.random() < 0.5):
            members.discard(rng.choice(sorted(members)))
        else:
            members.add(f"n{number}")
        changes.append((at_ms, frozenset(members)))
    eligibility = {
        name: grant_shares.GrantEligibility(name, quorum_timeout_ms, size)
        for name in set().union(*(m for _, m in changes))
    }
    events, marks = [], dict.fromkeys(eligibility, -1e12)
    for name in eligibility:
        now_ms = 0.0
        while now_ms < at_ms + 2500:
            heapq.heappush(events, (now_ms + rng.uniform(0, 5), name, now_ms))
            now_ms += rng.choice([20, 100, 900]) if rng.random() < 0.9 else 2500
    worst, seen = 0.0, dict.fromkeys(eligibility, 0)
    while events:
        now_ms, name, sent_ms = heapq.heappop(events)
        while seen[name] < len(changes) and changes[seen[name]][0] <= sent_ms:
            grant_shares.observe(eligibility[name], now_ms, changes[seen[name]][1], names)
            seen[name] += 1
        marks[name] = max(marks[name], sent_ms)
        shares = [
            grant_shares.current_share(s, now_ms, now_ms - marks[n]) for n, s in eligibility.items()
        ]
        worst = max(worst, sum(1 / share.parts for share in shares if share))
    return worst
