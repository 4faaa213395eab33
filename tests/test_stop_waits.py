"""Requests that wait at a node when its process is told to stop: each is answered in time.

Guards against LOST: a request that waited for its model, a place or a token got no answer at all,
since the process ended before its wait did.
"""

import random

from lone_node import ACCEPT_MS, MODEL, OTHER_MODEL, START_MS, TICK_MS, WAIT_MS, LoneNode
from routing.draining import CLOSING
from routing.tasks import Attempt
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import failures


class WaitsAtAStop(TestCase):
    def setUp(self):
        super().setUp()
        self.scenario = LoneNode()

    def assert_closing(self, token, due_ms):
        """The request was refused at this time after the start, as one that has not run."""
        at_ms, outcome = self.scenario.outcomes[token]
        self.assertThat(outcome, Equals(CLOSING))
        self.assertThat(outcome.status, Equals(503))
        self.assertThat(abs(at_ms - START_MS - due_ms), LessThan(2 * TICK_MS))

    def test_for_a_model_that_no_engine_loads(self):
        self.scenario.ask("t")
        self.scenario.stop()
        self.scenario.spin(0.9 * ACCEPT_MS)
        self.assertThat(self.scenario.outcomes, Equals({}))
        self.scenario.spin(WAIT_MS)
        self.assert_closing("t", ACCEPT_MS)
        self.assertThat(self.scenario.node.router.tasks, Equals({}))

    def test_for_a_model_that_is_being_loaded(self):
        self.scenario.order("taken")
        self.scenario.ask("late")
        self.scenario.stop()
        self.scenario.spin(0.9 * WAIT_MS)
        self.assertThat(self.scenario.outcomes, Equals({}))
        self.scenario.spin(WAIT_MS + 500)
        self.assert_closing("late", WAIT_MS)

    def test_a_model_that_is_loaded_in_time_is_used(self):
        self.scenario.order("taken")
        self.scenario.ask("t")
        self.scenario.stop()
        self.scenario.spin(0.8 * WAIT_MS)
        self.scenario.order("loaded")
        self.scenario.spin(WAIT_MS)
        self.assertIsInstance(self.scenario.outcomes["t"][1], Attempt)

    def test_for_a_place(self):
        self.scenario = LoneNode(slots=2)
        self.scenario.order("loaded")
        tokens = [f"t{n}" for n in range(12)]
        for token in tokens:
            self.scenario.ask(token)
        self.scenario.stop()
        self.scenario.spin(WAIT_MS + 500)
        self.assertThat(set(self.scenario.outcomes), Equals(set(tokens)))
        running = [t for t, (_, o) in self.scenario.outcomes.items() if isinstance(o, Attempt)]
        self.assertThat(set(self.scenario.node.router.tasks), Equals(set(running)))

    def test_for_a_token_of_a_rate_limit(self):
        """No depot answers, so the token never comes."""
        self.scenario.ask("t", "/limited/")
        self.scenario.stop()
        self.scenario.spin(WAIT_MS + 500)
        self.assert_closing("t", WAIT_MS)
        self.assertThat(self.scenario.node.quotas.spending.queued, Equals(set()))

    def test_a_request_that_arrives_while_others_are_still_accepted(self):
        self.scenario.order("loaded")
        self.scenario.stop()
        self.scenario.spin(0.5 * ACCEPT_MS)
        self.scenario.ask("early")
        self.assertIsInstance(self.scenario.outcomes["early"][1], Attempt)

    def test_a_request_that_arrives_later_is_refused_at_once(self):
        """On a connection that was accepted before."""
        self.scenario.order("loaded")
        self.scenario.stop()
        self.scenario.spin(ACCEPT_MS)
        for token, model in (("present", MODEL), ("missing", OTHER_MODEL)):
            self.scenario.ask(token, model=model)
            self.assert_closing(token, ACCEPT_MS)

    def test_an_attempt_that_the_engine_refused_is_not_repeated_too_late(self):
        self.scenario.order("loaded")
        self.scenario.ask("t")
        self.scenario.stop()
        self.scenario.spin(WAIT_MS)
        self.scenario.ended("t", "not-run")
        self.assert_closing("t", WAIT_MS)

    def test_an_attempt_that_may_have_run_is_not_said_to_be_refused(self):
        self.scenario.order("loaded")
        self.scenario.ask("t")
        self.scenario.stop()
        self.scenario.spin(WAIT_MS)
        self.scenario.ended("t", "unknown")
        self.assertThat(
            self.scenario.outcomes["t"][1], Equals(failures.OutcomeUnknown("leg-broken"))
        )

    def test_no_wait_outlasts_the_stop(self):
        """Requests of all kinds at random times around the stop, and loads in any state."""
        for seed in range(40):
            rng, scenario = random.Random(seed), LoneNode(slots=2)
            stop_at_ms, tokens = rng.uniform(0, 4000), []
            while scenario.now_ms < START_MS + stop_at_ms + WAIT_MS:
                scenario.spin(scenario.now_ms - START_MS + TICK_MS)
                if scenario.node.router.drain is None and scenario.now_ms >= START_MS + stop_at_ms:
                    scenario.stop()
                if rng.random() < 0.2:
                    tokens.append(f"t{len(tokens)}")
                    prefix = rng.choice(("/open/", "/limited/"))
                    scenario.ask(tokens[-1], prefix, rng.choice((MODEL, OTHER_MODEL)))
                if rng.random() < 0.02:
                    state = rng.choice(("taken", "unknown", "loaded", "refused"))
                    scenario.order(state, rng.choice((MODEL, OTHER_MODEL)))
            scenario.spin(scenario.now_ms - START_MS + 3 * TICK_MS)
            self.assertThat(set(scenario.outcomes), Equals(set(tokens)), f"seed {seed}")
