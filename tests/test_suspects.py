"""Engines that seem well and answer badly: nobody's subject or model stays tied to one."""

import random
import socket

from placement import ledger as ledgers
from placement import suspects, world
from placement.floor import Floor as RoutingFloor
from placement.floor import engines_with
from placement.state import log
from routing import choice, engine_outcomes, router
from routing.engine_calls import AttemptEnd
from routing.tasks import Attempt
from simulation.placing import SHARDS, TERMS
from test_platform_asked import Floor
from test_platform_relaying import PLAIN, STREAM, Relayed, data, event, head
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

CREW = choice.RoutingNodes("c0", ("c0",), "z")
ROUTING = router.RoutingSettings(1e12, 1000.0, 100.0, 0.1, 10_000.0, 1000.0)
TICK_MS = 40.0
TELL_MS = 600.0
SUBJECTS = 12
SEEDS = range(4)


def outcomes_of(floor, told):
    floor.scene.command("wanted", {"items": {}, "outcomes": told})


class Marked(TestCase):
    """When the holder takes an engine for suspect, and for how long."""

    def setUp(self):
        super().setUp()
        self.floor = Floor(1, engines=6)
        self.ledger = self.floor.scene.p.ledger
        self.floor.step()

    def steps(self, for_ms):
        for _ in range(int(for_ms / TICK_MS)):
            self.floor.step()

    def test_most_ends_must_be_bad_and_some(self):
        for good, bad, expected in (
            (0, 2.9, {}),
            (0, 3.1, {"e0": True}),
            (7, 3.1, {"e0": True}),
            (8, 3.1, {}),
            (100, 5, {}),
        ):
            self.floor = Floor(1, engines=6)
            self.floor.step()
            outcomes_of(self.floor, {"e0": (good, bad, 0)})
            self.floor.step()
            self.assertThat(self.floor.scene.p.ledger.suspects, Equals(expected), f"{good} {bad}")

    def test_no_answer_counts_only_of_an_engine_that_gives_none(self):
        """One that is overloaded answers some; leaving it out would overload the others."""
        for good, late, expected in ((0, 4, {"e0": True}), (1, 4, {}), (1, 40, {})):
            self.floor = Floor(1, engines=6)
            self.floor.step()
            outcomes_of(self.floor, {"e0": (good, 0, late)})
            self.floor.step()
            self.assertThat(self.floor.scene.p.ledger.suspects, Equals(expected), f"{good} {late}")

    def test_bad_ends_fade(self):
        for _ in range(6):
            outcomes_of(self.floor, {"e0": (0, 1, 0)})
            self.steps(2 * TERMS.dark_ms)
        self.assertThat(self.ledger.suspects, Equals({}))

    def test_it_is_tried_again_and_then_left_out_for_longer(self):
        times = []
        for _ in range(4):
            outcomes_of(self.floor, {"e0": (0, 4, 0)})
            start_ms = self.floor.scene.now_ms
            self.floor.step()
            self.assertThat("e0" in self.ledger.suspects, Equals(True))
            while "e0" in self.ledger.suspects:
                self.floor.step()
            times.append(round((self.floor.scene.now_ms - start_ms) / TERMS.dark_ms))
        self.assertThat(times, Equals([1, 2, 4, 4]))

    def test_no_more_than_a_third_at_a_time(self):
        outcomes_of(self.floor, {f"e{n}": (0, 9, 0) for n in range(6)})
        self.floor.step()
        self.assertThat(len(self.ledger.suspects), Equals(2))

    def test_one_that_is_gone_is_forgotten(self):
        outcomes_of(self.floor, {"e0": (0, 9, 0)})
        self.floor.step()
        del self.floor.registry.engines["e0"]
        self.floor.step()
        self.assertThat(self.ledger.suspects, Equals({}))

    def test_a_new_holder_tries_them_again_in_time(self):
        log(self.floor.scene.p, ledgers.suspect_record("e1"))
        self.steps(0.8 * TERMS.dark_ms)
        self.assertThat(self.ledger.suspects, Equals({"e1": True}))
        self.steps(0.5 * TERMS.dark_ms)
        self.assertThat(self.ledger.suspects, Equals({}))


class Subjects(TestCase):
    """Callers of some subjects, of two models that several engines hold; one engine fails
    all that it gets while it says that it is well."""

    def served(self, seed, bad_engine="e0"):
        """{subject: (tries, served)} of twelve seconds."""
        floor = Floor(seed, engines=4)
        scene, rng = floor.scene, random.Random(seed)
        models = [item for item in floor.items if "/" not in item][:1]
        for engine in scene.engines.values():
            engine.items = set(models)
        for _ in range(40):
            floor.step()
        shard = world.shard_of(floor.name, SHARDS)
        routes = RoutingFloor(SHARDS, registry=floor.registry)
        routes.ledgers[shard] = scene.p.ledger
        routers, found = router.Router(ROUTING), {n: [0, 0] for n in range(SUBJECTS)}
        told_ms = scene.now_ms
        for turn in range(int(12_000 / TICK_MS)):
            floor.step()
            subject = rng.randrange(SUBJECTS)
            self.ask(routers, routes, scene.now_ms, turn, floor.name, models[0], subject, found)
            if scene.now_ms - told_ms > TELL_MS:
                told_ms = scene.now_ms
                told = engine_outcomes.take_unreported(routers, told_ms, floor.registry.engines)
                outcomes_of(floor, told)
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
        """The same run is red if nobody is ever taken for suspect."""
        self.patch(suspects, "due", lambda *asked: None)
        self.assertThat(sum(len(self.never(seed)) for seed in SEEDS), GreaterThan(3))

    def test_few_are_lost(self):
        for seed in SEEDS:
            found = self.served(seed).values()
            lost = sum(tries - served for tries, served in found)
            self.assertThat(lost / sum(tries for tries, _ in found), LessThan(0.12), str(seed))


class Placed(TestCase):
    def test_what_a_suspect_holds_comes_up_elsewhere(self):
        for seed in SEEDS:
            floor = Floor(seed, engines=6)
            for _ in range(20):
                floor.step()
            only = [i for i in floor.scene.engines["e0"].items if "/" not in i][0]
            outcomes_of(floor, {"e0": (0, 9, 0)})
            floor.step()
            routes = RoutingFloor(SHARDS, registry=floor.registry)
            routes.ledgers[world.shard_of(floor.name, SHARDS)] = floor.scene.p.ledger
            self.assertThat(engines_with(routes, floor.name, only), Equals([]))
            floor.scene.command(
                "hold",
                {
                    "id": "h",
                    "service": floor.name,
                    "model": only,
                    "adapter": "",
                    "class": "rank0",
                    "waitMs": 5000,
                    "node": "c0",
                    "life": "l",
                },
            )
            for _ in range(60):
                floor.step()
            names = [e["name"] for e in engines_with(routes, floor.name, only)]
            self.assertThat(len(names), GreaterThan(0), str(seed))
            self.assertThat("e0" in names, Equals(False))

    def test_a_plain_service_is_never_left_without_engines(self):
        floor = Floor(2)
        routes = RoutingFloor(SHARDS, registry=floor.registry)
        ledger = routes.ledgers[world.shard_of(floor.name, SHARDS)] = floor.scene.p.ledger
        for name in floor.scene.engines:
            ledger.suspects[name] = True
        self.assertThat(len(engines_with(routes, floor.name, "")), Equals(4))


class Proofs(Relayed):
    """What the end of an attempt says of its engine."""

    def proofs_of(self, events, facts, **more):
        response = self.relay([events], facts, **more)
        self.body(response)
        return self.proofs

    def test_a_stream_that_ends_with_its_time_is_only_late(self):
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

    def test_no_answer_in_time(self):
        for cause, proof in (("28", "timed-out"), ("56", "unknown")):
            events = [("end", AttemptEnd(0, b"", True, cause))]
            facts = {**PLAIN, "repeatable": False}
            self.assertThat(self.proofs_of(events, facts), Equals([proof]))

    def test_a_caller_that_left_past_its_aim(self):
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
