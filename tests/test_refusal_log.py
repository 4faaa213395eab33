"""A request that no engine could take is logged with what was known of each engine."""

import random

from adapter import configuration
from configuration import registry as registries
from placement import cluster_state, ledger, registry_view
from routing import choice, refusal_log, router
from simulation import platform_made as made
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import ContainsDict, Equals
from transport import failures

SETTINGS = router.RoutingSettings(
    staleMs=1e12,
    ramp_ms=1000.0,
    pauseMs=480.0,
    retryRatio=1.0,
    retryWindowMs=10000.0,
    attempt_ms=20000.0,
    retryAllowance=50.0,
)
NODES = choice.RoutingNodes("c0", ("c0", "c1", "c2"), "z")
DEADLINE_MS = 20000.0


class Scene(TestCase):
    """A routing node and two engines, of which `e0` has the model."""

    def setUp(self):
        super().setUp()
        whole = made.configuration(random.Random(2), 1)
        service = whole["services"][0]
        self.service, self.model = service["name"], service["engine"]["parcels"][0]["name"]
        self.floor = cluster_state.ClusterState(SHARDS, reader=configuration.READER)
        self.floor.registry.reader = configuration.READER
        record, _, _ = registries.decide(
            self.floor.registry, "written", {"expect": 0, "written": whole, "partial": False}
        )
        registries.apply(self.floor.registry, record)
        for name in ("e0", "e1"):
            self.floor.registry.engines[name] = engine_facts(name, self.service)
        self.ledger = cluster_state.ledger_of(
            self.floor, registry_view.shard_of(self.service, SHARDS)
        )
        self.holds("e0")
        self.router, self.now_ms, self.count = router.Router(SETTINGS), 1000.0, 0

    def holds(self, engine):
        """Record that an engine reported the model."""
        facts = {"state": "loaded", "mb": 1.0, "places": 0}
        record = ledger.found_record(engine, "i0", {self.model: facts}, self.service)
        ledger.apply(self.ledger, record)

    def begin(self, max_attempts=2):
        self.count += 1
        token = f"t{self.count}"
        task = router.Task(
            token,
            token,
            self.service,
            self.model,
            "",
            "rank0",
            "",
            False,
            True,
            self.now_ms + DEADLINE_MS,
            from_platform=True,
            max_attempts=max_attempts,
            patience_ms=4800.0,
        )
        effects = router.begin(self.router, self.now_ms, self.floor, 0.0, NODES, task)
        return token, [effect.outcome for effect in effects if hasattr(effect, "outcome")]

    def ended(self, token, proof):
        effects = router.ended(self.router, self.now_ms, self.floor, 0.0, NODES, token, proof)
        return [effect.outcome for effect in effects if hasattr(effect, "outcome")]

    def wait(self, span_ms, step_ms=40.0):
        """Run ticks like a node; returns the outcomes."""
        outcomes, end_ms = [], self.now_ms + span_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            effects = router.tick(self.router, self.now_ms, self.floor)
            effects += router.retry_waiting(self.router, self.now_ms, self.floor, 0.0, NODES)
            outcomes += [(e.token, e.outcome) for e in effects if hasattr(e, "outcome")]
        return outcomes

    def logged_facts(self):
        return [note.facts for note in refusal_log.take_notes(self.router)]


class Refused(Scene):
    def engine(self, name):
        (facts,) = self.logged_facts()
        return next(e for e in facts["engines"] if e["engine"] == name)

    def test_all_places_are_taken(self):
        while self.begin()[1]:
            pass
        ((_, refusal),) = self.wait(2000.0)
        self.assertThat(refusal, Equals(failures.Overloaded(1000, "all-busy")))
        engine = self.engine("e0")
        self.assertThat(engine, ContainsDict({"has": Equals(True), "coldMs": Equals(0)}))
        self.assertThat(engine["busy"], Equals(self.router.in_flight["e0"]))

    def test_an_engine_with_a_broken_attempt(self):
        """The other engine also has the model, and has just refused a request."""
        self.holds("e1")
        tokens = {attempt.engine: token for token, (attempt,) in (self.begin() for _ in range(4))}
        self.ended(tokens["e0"], "unknown")
        self.now_ms += 40.0
        (refusal,) = self.ended(tokens["e1"], "not-run")
        self.assertThat(refusal.cause, Equals("all-busy"))
        (facts,) = self.logged_facts()
        broken, refused = facts["engines"]
        self.assertThat(broken, ContainsDict({"brokeMs": Equals(40), "limit": Equals(0)}))
        self.assertThat(refused, ContainsDict({"avoidedMs": Equals(100)}))

    # The refusal was reported as "all-busy", which misled the search for its cause.
    def test_an_engine_that_refuses(self):
        token, _ = self.begin(max_attempts=1)
        (refusal,) = self.ended(token, "not-run")
        self.assertThat(refusal, Equals(failures.Overloaded(1000, "engines-refused")))
        (facts,) = self.logged_facts()
        self.assertThat(facts, ContainsDict({"cause": Equals(refusal.cause)}))
        self.assertThat(facts["attempted"], Equals(["e0"]))

    def test_facts_about_the_other_engines(self):
        self.ledger.suspects["e1"] = True
        token, _ = self.begin(max_attempts=1)
        self.ended(token, "not-run")
        self.assertThat(
            self.engine("e1"), ContainsDict({"suspect": Equals(True), "has": Equals(False)})
        )

    def test_one_line_per_interval(self):
        for expected, span_ms in ((1, 0.0), (0, 500.0), (1, 600.0)):
            self.now_ms += span_ms
            token, _ = self.begin(max_attempts=1)
            self.ended(token, "not-run")
            notes = self.logged_facts()
            self.assertThat(len(notes), Equals(expected))
        self.assertThat(notes[0]["unlogged"], Equals(1))
