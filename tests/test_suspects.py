"""Engines that look healthy but fail requests: no subject or model stays tied to one."""

import random
import socket

from placement import ledger as ledgers
from placement import registry_view, suspects
from placement.cluster_state import ClusterState, engines_with
from placement.state import append_record
from routing import choice, engine_outcomes, router
from routing.engine_calls import AttemptEnd
from routing.tasks import Attempt
from simulation.placing import SHARDS, TERMS
from test_demand_placement import DemandScenario
from test_platform_relaying import PLAIN, STREAM, Relayed, data, event, head
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

CREW = choice.RoutingNodes("c0", ("c0",), "z")
ROUTING = router.RoutingSettings(1e12, 1000.0, 100.0, 0.1, 10_000.0, 1000.0)
TICK_MS = 40.0
TELL_MS = 600.0
SUBJECTS = 12
SEEDS = range(4)


def outcomes_of(scenario, told):
    scenario.scene.command("wanted", {"items": {}, "outcomes": told})


class Marked(TestCase):
    """When the lease holder marks an engine as suspect, and for how long."""

    def setUp(self):
        super().setUp()
        self.scenario = DemandScenario(1, engines=6)
        self.ledger = self.scenario.scene.p.ledger
        self.scenario.step()

    def steps(self, for_ms):
        for _ in range(int(for_ms / TICK_MS)):
            self.scenario.step()

    def test_enough_attempts_and_a_high_ratio_must_fail(self):
        for good, bad, expected in (
            (0, 2.9, {}),
            (0, 3.1, {"e0": True}),
            (7, 3.1, {"e0": True}),
            (8, 3.1, {}),
            (100, 5, {}),
        ):
            self.scenario = DemandScenario(1, engines=6)
            self.scenario.step()
            outcomes_of(self.scenario, {"e0": (good, bad, 0)})
            self.scenario.step()
            self.assertThat(
                self.scenario.scene.p.ledger.suspects, Equals(expected), f"{good} {bad}"
            )

    def test_missing_responses_count_only_without_any_success(self):
        """An overloaded engine answers some; leaving it out would overload the others."""
        for good, late, expected in ((0, 4, {"e0": True}), (1, 4, {}), (1, 40, {})):
            self.scenario = DemandScenario(1, engines=6)
            self.scenario.step()
            outcomes_of(self.scenario, {"e0": (good, 0, late)})
            self.scenario.step()
            self.assertThat(
                self.scenario.scene.p.ledger.suspects, Equals(expected), f"{good} {late}"
            )

    def test_failures_decay(self):
        for _ in range(6):
            outcomes_of(self.scenario, {"e0": (0, 1, 0)})
            self.steps(2 * TERMS.unreachable_ms)
        self.assertThat(self.ledger.suspects, Equals({}))

    def test_a_suspect_gets_work_again_and_is_then_left_out_for_longer(self):
        times = []
        for _ in range(4):
            outcomes_of(self.scenario, {"e0": (0, 4, 0)})
            start_ms = self.scenario.scene.now_ms
            self.scenario.step()
            self.assertThat("e0" in self.ledger.suspects, Equals(True))
            while "e0" in self.ledger.suspects:
                self.scenario.step()
            times.append(round((self.scenario.scene.now_ms - start_ms) / TERMS.unreachable_ms))
        self.assertThat(times, Equals([1, 2, 4, 4]))

    def test_no_more_than_a_third_at_a_time(self):
        outcomes_of(self.scenario, {f"e{n}": (0, 9, 0) for n in range(6)})
        self.scenario.step()
        self.assertThat(len(self.ledger.suspects), Equals(2))

    def test_a_removed_engine_is_no_longer_suspect(self):
        outcomes_of(self.scenario, {"e0": (0, 9, 0)})
        self.scenario.step()
        del self.scenario.registry.engines["e0"]
        self.scenario.step()
        self.assertThat(self.ledger.suspects, Equals({}))

    def test_a_new_lease_holder_clears_suspects_in_time(self):
        append_record(self.scenario.scene.p, ledgers.suspect_record("e1"))
        self.steps(0.8 * TERMS.unreachable_ms)
        self.assertThat(self.ledger.suspects, Equals({"e1": True}))
        self.steps(0.5 * TERMS.unreachable_ms)
        self.assertThat(self.ledger.suspects, Equals({}))


class Subjects(TestCase):
    """Requests of some subjects for a model that several engines hold; one engine fails all its
    requests while its reports look healthy."""

    def served(self, seed, bad_engine="e0"):
        """{subject: (tries, served)} over twelve seconds."""
        scenario = DemandScenario(seed, engines=4)
        scene, rng = scenario.scene, random.Random(seed)
        models = [item for item in scenario.items if "/" not in item][:1]
        for engine in scene.engines.values():
            engine.items = set(models)
        for _ in range(40):
            scenario.step()
        shard = registry_view.shard_of(scenario.name, SHARDS)
        routes = ClusterState(SHARDS, registry=scenario.registry)
        routes.ledgers[shard] = scene.p.ledger
        routers, found = router.Router(ROUTING), {n: [0, 0] for n in range(SUBJECTS)}
        told_ms = scene.now_ms
        for turn in range(int(12_000 / TICK_MS)):
            scenario.step()
            subject = rng.randrange(SUBJECTS)
            self.ask(routers, routes, scene.now_ms, turn, scenario.name, models[0], subject, found)
            if scene.now_ms - told_ms > TELL_MS:
                told_ms = scene.now_ms
                told = engine_outcomes.take_unreported(routers, told_ms, scenario.registry.engines)
                outcomes_of(scenario, told)
        return found

    def ask(self, routers, routes, now_ms, turn, service, model, subject, found):
        task = router.Task(
            f"t{turn}", f"i{turn}", service, model, "", "rank0", f"{subject}", False, True, 1e12
        )
        task.from_platform = True
        effects = router.begin(routers, now_ms, routes, 0.0, CREW, task)
        (leg,) = [e.outcome for e in effects if isinstance(e.outcome, Attempt)]
        well = leg.engine != "e0"
        proof = "done" if well else "failed"
        router.ended(routers, now_ms, routes, 0.0, CREW, task.token, proof)
        found[subject][0] += 1
        found[subject][1] += well

    def never(self, seed):
        found = self.served(seed)
        return [subject for subject, (tries, served) in found.items() if tries > 3 and not served]

    def test_each_is_served_elsewhere(self):
        for seed in SEEDS:
            self.assertThat(self.never(seed), Equals([]), str(seed))

    def test_without_suspects_some_are_never_served(self):
        """The same run fails if no engine ever becomes suspect."""
        self.patch(suspects, "update_suspects", lambda *asked: None)
        self.assertThat(sum(len(self.never(seed)) for seed in SEEDS), GreaterThan(3))

    def test_few_requests_fail(self):
        for seed in SEEDS:
            found = self.served(seed).values()
            lost = sum(tries - served for tries, served in found)
            self.assertThat(lost / sum(tries for tries, _ in found), LessThan(0.12), str(seed))


class Placed(TestCase):
    def test_the_models_of_a_suspect_are_loaded_elsewhere(self):
        for seed in SEEDS:
            scenario = DemandScenario(seed, engines=6)
            for _ in range(20):
                scenario.step()
            only = [i for i in scenario.scene.engines["e0"].items if "/" not in i][0]
            outcomes_of(scenario, {"e0": (0, 9, 0)})
            scenario.step()
            routes = ClusterState(SHARDS, registry=scenario.registry)
            routes.ledgers[registry_view.shard_of(scenario.name, SHARDS)] = scenario.scene.p.ledger
            self.assertThat(engines_with(routes, scenario.name, only), Equals([]))
            scenario.scene.command(
                "hold",
                {
                    "id": "h",
                    "service": scenario.name,
                    "model": only,
                    "adapter": "",
                    "class": "rank0",
                    "waitMs": 5000,
                    "node": "c0",
                    "life": "l",
                },
            )
            for _ in range(60):
                scenario.step()
            names = [e["name"] for e in engines_with(routes, scenario.name, only)]
            self.assertThat(len(names), GreaterThan(0), str(seed))
            self.assertThat("e0" in names, Equals(False))

    def test_a_plain_service_is_never_left_without_engines(self):
        scenario = DemandScenario(2)
        routes = ClusterState(SHARDS, registry=scenario.registry)
        ledger = routes.ledgers[registry_view.shard_of(scenario.name, SHARDS)] = (
            scenario.scene.p.ledger
        )
        for name in scenario.scene.engines:
            ledger.suspects[name] = True
        self.assertThat(len(engines_with(routes, scenario.name, "")), Equals(4))


class Proofs(Relayed):
    """How the end of an attempt is counted for its engine."""

    def proofs_of(self, events, facts, **more):
        response = self.relay([events], facts, **more)
        self.body(response)
        return self.proofs

    def test_a_stream_that_ends_at_its_deadline_is_only_late(self):
        broken = [head(), *data(event(1)), ("end", AttemptEnd(0, b"", True, "56"))]
        timed_out = [head(), *data(event(1)), ("end", AttemptEnd(0, b"", True, "28"))]
        for resumable, in_time, late in (
            (False, "cut", "cut-late"),
            (True, "unknown", "timed-out"),
        ):
            facts = {**STREAM, "resumable": resumable, "repeatable": resumable}
            self.assertThat(self.proofs_of(broken, facts, left_ms=[5000.0])[0], Equals(in_time))
            self.assertThat(self.proofs_of(broken, facts, left_ms=[50.0])[0], Equals(late))
            self.assertThat(self.proofs_of(timed_out, facts, left_ms=[5000.0])[0], Equals(late))

    def test_no_response_in_time(self):
        for cause, proof in (("28", "timed-out"), ("56", "unknown")):
            events = [("end", AttemptEnd(0, b"", True, cause))]
            facts = {**PLAIN, "repeatable": False}
            self.assertThat(self.proofs_of(events, facts), Equals([proof]))

    def test_a_caller_that_left_after_its_target_time(self):
        for aim_ms, proof in ((1e9, "gone"), (0.0, "unanswered")):
            ours, theirs = socket.socketpair()
            self.addCleanup(ours.close)

            def leaves(theirs=theirs):
                theirs.close()
                return "idle", None

            events = (leaves() for _ in range(1))
            environ = {"werkzeug.socket": ours}
            found = self.proofs_of(events, {**STREAM, "aimMs": aim_ms}, environ=environ)
            self.assertThat(found, Equals([proof]))
