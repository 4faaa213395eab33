"""A request on an existing route is never answered as if there were no such route, also if it names
no model or one that this node's configuration doesn't list.
"""

import random

from adapter import callers, configuration
from configuration import registry as registries
from placement import cluster_state
from routing import choice, router
from routing.tasks import Attempt
from simulation import platform_made as made
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

TERMS = router.RoutingSettings(
    staleMs=1e12,
    ramp_ms=1000.0,
    pauseMs=100.0,
    retryRatio=0.1,
    retryWindowMs=10000.0,
    attempt_ms=1000.0,
)
CREW = choice.RoutingNodes("c0", ("c0",), "z")


class UnnamedModel(TestCase):
    def setUp(self):
        super().setUp()
        whole = made.configuration(random.Random(2), 1)
        service = whole["services"][0]
        self.service, self.model = service["name"], service["engine"]["parcels"][0]["name"]
        self.cluster = cluster_state.ClusterState(SHARDS, reader=configuration.READER)
        self.cluster.registry.reader = configuration.READER
        record, _, _ = registries.decide(
            self.cluster.registry, "written", {"expect": 0, "written": whole, "partial": False}
        )
        registries.apply(self.cluster.registry, record)
        self.cluster.registry.engines["e0"] = engine_facts("e0", self.service)
        self.router = router.Router(TERMS)

    def begin(self, model, adapter="", told=True):
        task = router.Task(
            "t",
            "i",
            self.service,
            model,
            adapter,
            "rank1",
            "",
            False,
            True,
            5000.0,
            from_platform=told,
        )
        effects = router.begin(self.router, 100.0, self.cluster, 0.0, CREW, task)
        (effect,) = effects or router.tick(self.router, task.end_ms, self.cluster)
        return effect.outcome

    def status(self, failure):
        return callers.refusal(failure)[0]

    def test_no_model_goes_to_any_engine_of_the_service(self):
        outcome = self.begin("")
        self.assertIsInstance(outcome, Attempt)
        self.assertThat(outcome.engine, Equals("e0"))

    def test_an_unlisted_model_may_be_listed_elsewhere(self):
        for model, adapter in (("never-heard-of", ""), (self.model, "a999")):
            outcome = self.begin(model, adapter)
            self.assertIsInstance(outcome, failures.Failure)
            self.assertThat(self.status(outcome), Equals(503), f"{model} {outcome}")

    def test_without_an_engine_the_request_is_to_be_retried(self):
        self.cluster.registry.engines.clear()
        self.assertThat(self.status(self.begin("")), Equals(503))

    def test_the_products_own_interface_still_requires_a_model(self):
        for model in ("", "never-heard-of"):
            outcome = self.begin(model, told=False)
            self.assertIsInstance(outcome, failures.UnknownModel, model)
