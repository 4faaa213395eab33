"""An attempt without a response for long is replaced by one at another engine or kept waiting, but
never ended without a replacement."""

from configuration import document_facts
from configuration.registry import Registry
from placement import cluster_state
from routing import choice, router
from routing.tasks import Attempt, KeepWaiting
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import Equals

NODES = choice.RoutingNodes("c0", ("c0",), "z")


class SilentAttempts(TestCase):
    def setUp(self):
        super().setUp()
        section = document_facts.section(
            {}, {"s": {"kind": "plain", "warmPerS": 0.0, "warmMs": 0.0}}
        )
        self.floor = cluster_state.ClusterState(
            SHARDS,
            registry=Registry(
                sections={"floor": section},
                engines={f"e{n}": engine_facts(f"e{n}", "s") for n in range(9)},
            ),
        )

    def router(self, allowance, stale=1e12):
        return router.Router(
            router.RoutingSettings(
                staleMs=stale,
                ramp_ms=1000.0,
                pauseMs=100.0,
                retryRatio=0.0,
                retryWindowMs=10000.0,
                attempt_ms=1e6,
                retryAllowance=allowance,
            )
        )

    def begin(self, state, token="t", repeatable=True, max_attempts=3):
        task = router.Task(
            token,
            token,
            "s",
            "",
            "",
            "rank1",
            "",
            repeatable,
            False,
            9000.0,
            rank=1,
            aimMs=500.0,
            max_attempts=max_attempts,
            from_platform=True,
        )
        (reply,) = router.begin(state, 1000.0, self.floor, 0.0, NODES, task)
        return reply.outcome

    def silent(self, state, token="t", age_ms=0.0):
        return router.attempt_silent(state, 1400.0, self.floor, age_ms, NODES, token)[0].outcome

    def test_another_engine(self):
        state = self.router(5.0)
        first, second = self.begin(state), self.silent(state)
        self.assertIsInstance(second, Attempt)
        self.assertThat(first.engine == second.engine, Equals(False))
        self.assertThat(state.in_flight[first.engine], Equals(0))

    def test_not_if_unrepeatable_or_without_attempts_left(self):
        for facts in ({"repeatable": False}, {"max_attempts": 1}):
            state = self.router(5.0)
            self.begin(state, **facts)
            self.assertThat((self.silent(state), len(state.tasks)), Equals((KeepWaiting(), 1)))
        self.assertThat(self.silent(self.router(5.0), "unknown"), Equals(KeepWaiting()))

    def test_not_without_another_engine(self):
        state = self.router(5.0)
        first = self.begin(state)
        for name in set(self.floor.registry.engines) - {first.engine}:
            del self.floor.registry.engines[name]
        self.assertThat((self.silent(state), len(state.tasks)), Equals((KeepWaiting(), 1)))

    def test_an_exhausted_budget_does_not_end_the_attempt_in_flight(self):
        """Silence alone doesn't end an attempt: it goes on if it can't be replaced."""
        state = self.router(2.0)
        for number in range(2):
            self.begin(state, f"t{number}")
            self.assertIsInstance(self.silent(state, f"t{number}"), Attempt)
        before = self.begin(state, "t2")
        budget = state.retry_budgets[state.tasks["t2"].service]
        retries = budget.retries
        self.assertThat(self.silent(state, "t2"), Equals(KeepWaiting()))
        self.assertThat(
            ("t2" in state.tasks, state.in_flight[before.engine] > 0), Equals((True, True))
        )
        self.assertTrue(budget.retries <= retries)

    def test_nor_does_a_stale_layout(self):
        state = self.router(5.0, stale=500.0)
        self.begin(state)
        self.assertThat(
            (self.silent(state, age_ms=600.0), len(state.tasks)), Equals((KeepWaiting(), 1))
        )
