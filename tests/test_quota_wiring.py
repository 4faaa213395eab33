"""Tenants' limits in whole simulated nodes, with one service whose engines have places for all
requests."""

import random

from adapter import callers
from pulleyhitch import quota_requests
from quota_records import Request, Tenant, worst_window
from quotas.settings import RateLimit
from routing import router
from simulation import deployments
from simulation.placing import engine_facts
from simulation.sim import run
from simulation.sim import world as worlds
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport import events as e
from transport import failures
from transport.effects import Send
from transport.messages import QuotaRequest

LIMITED, UNLIMITED = "limited", "unlimited"
RATE, BURST = 40.0, 8.0
HELD_MS = 4000.0
ROUTE = {
    "host": "h",
    "prefix": "/",
    "kind": "safe",
    "holdMs": HELD_MS,
    "aimMs": 500.0,
    "rank": 0,
    "split": [{"service": "plain", "weight": 1}],
    "tries": 3,
}
SECTION = {
    "routes": {"r": ROUTE, "open": {**ROUTE, "prefix": "/open/", "public": True}},
    "services": {"plain": {"kind": "plain"}},
    "models": {},
    "tenants": {
        LIMITED: {"keys": [LIMITED], "ratePerS": RATE, "burst": BURST, "rank": None},
        UNLIMITED: {"keys": [UNLIMITED], "ratePerS": 0, "burst": 0, "rank": None},
    },
}


class Wiring(TestCase):
    def setUp(self):
        super().setUp()
        self.made = run._build(5, deployments.SMALL, True)
        self.world = self.made.world
        worlds.spin(self.world, 8000)
        # One way between zones; now and then a message takes twenty times as long.
        self.world.network.high_ms = 0.6
        self.counters = sorted(n for n in self.world.hosts if n[0] == "c")
        self.depots = sorted(n for n in self.world.hosts if n[0] == "d")
        for name in self.counters:
            registry = self.node(name).cluster.registry
            registry.sections["quotas"] = SECTION
            registry.engines["q0"] = engine_facts("q0", "plain", slots=10**9)
            registry.memo.clear()
        self.requests, self.outcomes, self.count = [], {}, 0

    def node(self, name):
        return self.world.hosts[name].node

    def ask(self, counter, tenant=LIMITED, path="/x"):
        """A caller's request comes in at a routing node; its first outcome is kept."""
        self.count += 1
        token, host = f"t{self.count}", self.world.hosts[counter]
        fields = {"id": token, "host": "h", "path": path, "deadlineMs": 30_000}
        fields["key"] = tenant.encode()
        fields |= {"model": "", "adapter": "", "opening": (), "tokens": ()}
        request = Request(tenant, self.world.now_ms, counter)
        self.requests.append(request)

        def answered(outcome):
            request.outcome = "run" if isinstance(outcome, router.Attempt) else "refused"
            request.ended_ms = self.world.now_ms
            self.outcomes[token] = outcome

        self.world.replies[(counter, host.life, token)] = answered
        worlds.post(self.world, host, e.LocalRequest(token, "passage", fields))
        return token

    def load(self, per_s, span_ms, seed=1):
        """Requests of the limited tenant at all routing nodes for a while, then one more second."""
        rng, at_ms = random.Random(seed), 0.0
        while (at_ms := at_ms + 1000 * rng.expovariate(per_s)) < span_ms:
            name = rng.choice(self.counters)
            worlds.after(self.world, at_ms, lambda name=name: self.ask(name))
        worlds.spin(self.world, self.world.now_ms + span_ms + 1000)

    def spin(self, span_ms):
        worlds.spin(self.world, self.world.now_ms + span_ms)

    def spans(self):
        return [request.ended_ms - request.sent_ms for request in self.requests]

    def cut_from_depots(self, counter):
        self.world.cuts |= {(counter, depot) for depot in self.depots}

    # Rule QUOTA: a tenant exceeded its limit.
    def test_a_flood_is_held_to_the_limit(self):
        self.load(300, 9000)
        runs = [request for request in self.requests if request.outcome == "run"]
        settings = self.node("c0").quotas.spending.settings
        tenant = Tenant([(0.0, RateLimit(LIMITED, 1, RATE, BURST))], 0.0)
        self.assertThat(worst_window(runs, tenant, settings)[0], LessThan(1e-9))
        self.assertThat(len(runs), GreaterThan(0.95 * (9 * RATE + BURST)))
        refused = {type(x) for x in self.outcomes.values()} - {router.Attempt}
        self.assertThat(refused, Equals({failures.QuotaExceeded}))
        self.assertThat(max(self.spans()), LessThan(30))

    # Rule SHORT: requests below a tenant's limit were refused or late.
    def test_a_tenant_below_its_limit_is_admitted_after_one_round_trip(self):
        self.load(RATE / 1.6, 8000)
        self.assertThat({type(x) for x in self.outcomes.values()}, Equals({router.Attempt}))
        self.assertThat(sorted(self.spans())[len(self.requests) // 2], LessThan(4))

    def test_tokens_are_requested_while_the_request_is_handled(self):
        node = self.node("c0")
        fields = {
            "id": "x",
            "host": "h",
            "path": "/x",
            "deadlineMs": 30_000,
            "key": LIMITED.encode(),
        }
        fields |= {"model": "", "adapter": "", "opening": (), "tokens": ()}
        now_ms = worlds.local(self.world, self.world.hosts["c0"])
        effects = worlds.nodes.handle(node, now_ms, e.LocalRequest("x", "passage", fields))
        asks = [x for x in effects if isinstance(x, Send) and isinstance(x.message, QuotaRequest)]
        self.assertThat(len(asks), Equals(1))

    def test_requests_without_a_limit_need_no_tokens(self):
        for tenant, path in ((UNLIMITED, "/x"), ("", "/open/x"), ("nobody", "/open/x")):
            token = self.ask("c0", tenant, path)
            self.assertIsInstance(self.outcomes[token], router.Attempt)
        self.assertThat(self.node("c0").quotas.spending.sent, Equals({}))

    def test_a_retry_takes_no_further_token(self):
        registry = self.node("c0").cluster.registry
        registry.engines["q1"] = engine_facts("q1", "plain", slots=10**9)
        token = self.ask("c0")
        self.spin(20)
        outcomes, host = [], self.world.hosts["c0"]
        self.world.replies[("c0", host.life, token)] = outcomes.append
        worlds.post(self.world, host, e.LocalRequest(token, "ended", {"proof": "not-run"}))
        self.assertThat([type(x) for x in outcomes], Equals([router.Attempt]))
        self.assertThat(self.node("c0").quotas.spending.tenants[LIMITED].spent, Equals(1))

    def test_a_depot_that_is_lost_is_passed_over(self):
        worlds.kill(self.world, self.world.hosts[self.depots[0]])
        self.load(RATE / 4, 4000)
        self.assertThat({type(x) for x in self.outcomes.values()}, Equals({router.Attempt}))
        self.assertThat(max(self.spans()), LessThan(200))
        slow = [span for span in self.spans() if span > 50]
        self.assertThat(len(slow), LessThan(3 * len(self.counters)))

    def test_without_any_depot_a_request_waits_and_is_told_to_retry(self):
        self.cut_from_depots("c0")
        token = self.ask("c0")
        self.spin(0.4 * HELD_MS)
        self.assertThat(self.outcomes, Equals({}))
        self.spin(0.1 * HELD_MS)
        self.assertThat(self.outcomes[token], Equals(failures.Overloaded(1000, "no-quota-answer")))
        self.assertThat(self.node("c0").router.tasks, Equals({}))

    def test_a_request_goes_on_when_the_depots_are_back(self):
        self.cut_from_depots("c0")
        token = self.ask("c0")
        self.spin(500)
        self.world.cuts.clear()
        self.spin(300)
        self.assertIsInstance(self.outcomes[token], router.Attempt)

    def test_nothing_is_spent_on_a_caller_that_left(self):
        self.cut_from_depots("c0")
        token = self.ask("c0")
        self.spin(200)
        worlds.post(
            self.world, self.world.hosts["c0"], e.LocalRequest(token, "ended", {"proof": "gone"})
        )
        self.world.cuts.clear()
        self.spin(2000)
        spends = self.node("c0").quotas.spending
        self.assertThat(spends.tenants[LIMITED].spent, Equals(0))
        self.assertThat(spends.queued, Equals(set()))

    def test_a_full_queue_accepts_no_more(self):
        self.cut_from_depots("c0")
        places = self.node("c0").router.settings.max_waiting
        for _ in range(places + 20):
            self.ask("c0")
        full = {type(x) for x in self.outcomes.values()}
        self.assertThat(full, Equals({failures.Overloaded}))
        self.assertThat(len(self.outcomes), Equals(21))

    def test_operators_see_grants_and_refusals(self):
        self.load(300, 6000)
        descriptions = [quota_requests.describe(self.node(name))[LIMITED] for name in self.counters]
        self.assertThat(sum(t["refused"] for t in descriptions), GreaterThan(500))
        runs = sum(request.outcome == "run" for request in self.requests)
        self.assertThat(sum(t["spent"] for t in descriptions), Equals(runs))
        for name in self.depots:
            self.node(name).cluster.registry.sections["quotas"] = SECTION
            self.node(name).cluster.registry.memo.clear()
        depots = [quota_requests.describe(self.node(n))[LIMITED] for n in self.depots]
        self.assertThat(sum(d["depot"]["given"] for d in depots), GreaterThan(runs - 1))
        notes = [
            facts for _, what, facts in self.world.hosts["c0"].notes if what == "quota-refusals"
        ]
        self.assertThat(1 <= len(notes) <= 2, Equals(True))

    def test_a_depot_that_is_closing_grants_nothing(self):
        depot = self.node(self.depots[0])
        depot.closing = True
        ask = QuotaRequest(1, ())
        (effect,) = quota_requests.on_request(depot, 1e9, "x", ask)
        self.assertThat(effect.message.granting, Equals(False))


class RefusedResponses(TestCase):
    def test_a_refusal_has_a_retry_delay(self):
        status, head, _ = callers.refusal(failures.QuotaExceeded("a", 250))
        self.assertThat((status, head["Retry-After"]), Equals((429, "0.250")))
        self.assertThat(failures.retry_after(failures.QuotaExceeded("a", 250)), Equals(1))
