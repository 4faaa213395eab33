"""Retries of all routers together, checked for each service against a plain sliding window."""

import random

from routing import retry_budget
from routing.choice import RoutingNodes
from routing.router import Router, RoutingSettings
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

ROUTERS = 30
WINDOW_S = 10.0
RATIO, ALLOWANCE = 0.2, 174.0
STEP_MS = 20.0
SECONDS = 40


class Window:
    """The times of requests and retries; `worst` is a slow, plain check."""

    def __init__(self):
        self.requests_ms, self.retries_ms = [], []

    def worst(self):
        """The largest excess of a window's retries over what its requests allow."""
        span_ms = 1000 * WINDOW_S
        found = []
        for first in self.retries_ms:
            retries = sum(first <= ms < first + span_ms for ms in self.retries_ms)
            requests = max(
                sum(start <= ms < start + span_ms for ms in self.requests_ms)
                for start in (first, first - span_ms / 2, first - span_ms)
            )
            found.append(retries - RATIO * requests - ALLOWANCE)
        return max(found, default=-ALLOWANCE)


class Shared(TestCase):
    def routers(self):
        terms = RoutingSettings(1e12, 1.0, 1.0, RATIO / 2, 1000 * WINDOW_S, 1.0, 1, ALLOWANCE / 2)
        return [Router(terms) for _ in range(ROUTERS)]

    def test_each_service_keeps_to_its_own_requests(self):
        """Engines of one service fail all the time; the other service has most of the requests."""
        names = tuple(f"c{n}" for n in range(ROUTERS))
        for seed in range(3):
            rng, routers = random.Random(seed), self.routers()
            seen = {"busy": Window(), "failing": Window()}
            for step in range(int(1000 * SECONDS / STEP_MS)):
                now_ms = 1000 + step * STEP_MS
                for service, per_s in (("busy", 300), ("failing", 40)):
                    if rng.random() > per_s * STEP_MS / 1000 / 6:
                        continue
                    for _ in range(6):
                        number = rng.randrange(ROUTERS)
                        router, nodes = routers[number], RoutingNodes(names[number], names)
                        retry_budget.count_request(router, now_ms, service)
                        seen[service].requests_ms.append(now_ms)
                        while service == "failing" and retry_budget.retry_allowed(
                            router, now_ms, service, 0.0, nodes
                        ):
                            seen[service].retries_ms.append(now_ms)
            self.assertThat(len(seen["failing"].retries_ms), GreaterThan(100))
            self.assertThat(seen["failing"].worst() <= 0, Equals(True), str(seed))

    def test_a_peek_spends_nothing_and_an_old_layout_allows_nothing(self):
        (router, *_), nodes = self.routers(), RoutingNodes("c0", ("c0",))
        budget = retry_budget.retry_allowed(router, 0.0, "s", 0.0, nodes, peek=True)
        self.assertThat((budget, router.retry_budgets["s"].retries), Equals((True, 0.0)))
        self.assertFalse(retry_budget.retry_allowed(router, 0.0, "s", 2e12, nodes))
