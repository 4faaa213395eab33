"""Requests that wait at a node when the configuration drops what they wait for.

Guards against LOST around a change of the configuration: requests waited on, for seconds, for a
model or service that no configuration lists any more.
"""

from lone_node import MODEL, START_MS, TICK_MS, LoneNode
from routing.tasks import Attempt
from testtools import TestCase
from testtools.matchers import Equals, LessThan


class DroppedWaits(TestCase):
    def setUp(self):
        super().setUp()
        self.scenario = LoneNode()

    def assert_told_at_once(self, token):
        at_ms, outcome = self.scenario.outcomes[token]
        self.assertThat((outcome.status, outcome.cause), Equals((503, "unlisted")))
        self.assertThat(at_ms - self.scenario.now_ms, LessThan(2 * TICK_MS))
        self.assertThat(self.scenario.node.router.tasks, Equals({}))

    def spin(self):
        self.scenario.spin(self.scenario.now_ms - START_MS + 2 * TICK_MS)

    def test_for_a_model(self):
        self.scenario.ask("t")
        self.spin()
        self.assertThat(self.scenario.outcomes, Equals({}))
        self.scenario.drop("models", MODEL)
        self.spin()
        self.assert_told_at_once("t")

    def test_for_a_service(self):
        self.scenario.ask("t")
        self.scenario.drop("services", "s")
        self.spin()
        self.assert_told_at_once("t")

    def test_a_model_that_is_loaded_serves_those_that_wait_for_a_place(self):
        self.scenario = LoneNode(slots=1)
        self.scenario.order("loaded")
        for token in ("t1", "t2"):
            self.scenario.ask(token)
        self.scenario.drop("models", MODEL)
        self.spin()
        self.scenario.ended("t1", "done")
        self.assertIsInstance(self.scenario.outcomes["t2"][1], Attempt)

    def test_a_request_that_arrives_later(self):
        self.scenario.drop("models", MODEL)
        self.scenario.ask("t")
        self.assert_told_at_once("t")
