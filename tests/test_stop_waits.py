"""Requests that wait at a node when its process is told to stop: each is answered in time.

Guards against LOST: a request that waited for its model, a place or a token got no answer at all,
since the process ended before its wait did.
"""

import random

from configuration import document_facts
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from pulleyhitch import config, node
from routing.draining import CLOSING
from routing.tasks import Attempt
from simulation.placing import engine_facts
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import events, failures
from transport.effects import Reply

HOST, TENANT = "h.example", "limited"
MODEL, OTHER_MODEL = "m1", "m2"
HOLD_MS = 20_000.0
ACCEPT_MS, WAIT_MS = 2400.0, 5600.0
TICK_MS = 40.0
START_MS = 1e6
_MODELS = [{"name": name, "roomMb": 1.0} for name in (MODEL, OTHER_MODEL)]
_SERVICES = {"s": {"kind": "models", "models": _MODELS, "loadsPerS": 1.0}}


def _route(prefix, public):
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": "stream",
        "holdMs": HOLD_MS,
        "aimMs": 6000.0,
        "rank": 0,
        "split": [{"service": "s", "weight": 1.0}],
        "tries": 2,
        "public": public,
    }


class StopScenario:
    """One node with one engine.  `outcomes`: token -> (time, outcome)."""

    def __init__(self, slots=64):
        raw = {
            "name": "c0",
            "role": "counter",
            "zone": "x",
            "address": "127.0.0.1:1",
            "http": "127.0.0.1:2",
            "seeds": ["127.0.0.1:1"],
            "worksUnheard": True,
        }
        self.node = node.make(config.check(raw), "life", 1)
        self.now_ms, self.outcomes = START_MS, {}
        self.node.follower.current_ms = self.now_ms
        routes = {"open": _route("/open/", True), "limited": _route("/limited/", False)}
        section = document_facts.section(routes, _SERVICES)
        section["tenants"] = {TENANT: {"keys": [TENANT], "ratePerS": 1, "burst": 1, "rank": None}}
        registry = self.node.cluster.registry
        registry.sections["floor"] = section
        registry.engines["e0"] = engine_facts("e0", "s", slots=slots, roomMb=10)
        shard = registry_view.shard_of("s", self.node.config.shards)
        self.ledger = cluster_state.ledger_of(self.node.cluster, shard)

    def event(self, event):
        for effect in node.handle(self.node, self.now_ms, event):
            if isinstance(effect, Reply):
                self.outcomes[effect.token] = self.now_ms, effect.outcome

    def ask(self, token, prefix="/open/", model=MODEL):
        fields = {"id": token, "host": HOST, "path": prefix, "deadlineMs": 30_000}
        key = TENANT.encode() if prefix == "/limited/" else b""
        fields |= {"key": key, "model": model, "adapter": "", "opening": ()}
        self.event(events.LocalRequest(token, "passage", fields | {"tokens": ()}))

    def stop(self):
        body = {"acceptMs": ACCEPT_MS, "waitMs": WAIT_MS}
        self.event(events.LocalRequest("", "leave", body))

    def spin(self, until_ms):
        """Let time pass until this time after the start."""
        while self.now_ms < START_MS + until_ms:
            self.now_ms += TICK_MS
            self.event(events.Tick())

    def order(self, state, model=MODEL):
        """An order to load a model reaches this state."""
        ledgers.apply(self.ledger, ledgers.order_record("e0", model, "load", "o1", 1.0, 0, "s"))
        ledgers.apply(self.ledger, ledgers.state_record("e0", model, "o1", state))

    def ended(self, token, proof):
        self.outcomes.pop(token, None)
        self.event(events.LocalRequest(token, "ended", {"proof": proof}))


class WaitsAtAStop(TestCase):
    def setUp(self):
        super().setUp()
        self.scenario = StopScenario()

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
        self.scenario = StopScenario(slots=2)
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
            rng, scenario = random.Random(seed), StopScenario(slots=2)
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
