"""Requests of every class may wait for a model that no engine holds yet."""

import random

from adapter import configuration
from configuration import registry as registries
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from routing import choice, router
from routing.tasks import Hold
from simulation import platform_made as made
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import Equals

TERMS = router.RoutingSettings(
    staleMs=1e12,
    ramp_ms=1000.0,
    pauseMs=100.0,
    retryRatio=0.1,
    retryWindowMs=10000.0,
    attempt_ms=1000.0,
)
CREW = choice.RoutingNodes("c0", ("c0",), "z")


class WaitQueue(TestCase):
    def setUp(self):
        super().setUp()
        self.furnish()

    def furnish(self):
        """A new router and one engine that holds nothing."""
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

    def begin(self, number, rank):
        task = router.Task(
            f"t{number}",
            f"i{number}",
            self.service,
            self.model,
            "",
            f"rank{rank}",
            "",
            True,
            True,
            5000.0,
            rank=rank,
            max_attempts=2,
        )
        return router.begin(self.router, 100.0, self.cluster, 0.0, CREW, task)

    def test_each_class_may_wait(self):
        for rank in range(10):
            (effect,) = self.begin(rank, rank)
            self.assertIsInstance(effect, Hold, f"{rank} {effect}")
            self.assertThat(
                (effect.verb, effect.shard, effect.body["model"]),
                Equals(("hold", registry_view.shard_of(self.service, SHARDS), self.model)),
            )

    def test_the_least_urgent_class_is_refused_first(self):
        """Each class may fill a part of the wait queue; the most urgent may fill all of it."""
        places = {}
        for rank in (9, 4, 3, 2, 1, 0):
            self.router.tasks.clear()
            places[rank] = sum(
                isinstance(self.begin(n, rank)[0], Hold) for n in range(TERMS.max_waiting + 50)
            )
        self.assertThat(places, Equals({0: 500, 1: 375, 2: 250, 3: 125, 4: 125, 9: 125}))

    def waiting_task(self):
        self.begin(1, 0)
        (task,) = self.router.tasks.values()
        return task

    def load(self, item, state="taken"):
        """An engine is loading an item, or holds it."""
        ledger = cluster_state.ledger_of(self.cluster, registry_view.shard_of(self.service, SHARDS))
        ledgers.apply(ledger, ledgers.order_record("e0", item, "load", "o1", 1.0, 0, self.service))
        ledgers.apply(ledger, ledgers.state_record("e0", item, "o1", state))

    def test_a_request_waits_longer_for_a_model_that_is_being_loaded(self):
        """A remote request is rejected after part of its time; later if its model is loading."""
        for item, waits in ((None, False), ("another", False), (self.model, True)):
            self.furnish()
            task = self.waiting_task()
            task.from_platform, task.give_up_ms = True, 2000.0
            if item:
                self.load(item)
            given_up = bool(router.tick(self.router, 2100.0, self.cluster))
            self.assertThat(given_up, Equals(not waits), str(item))
            self.assertThat(bool(router.tick(self.router, 4500.0, self.cluster)), Equals(waits))

    def test_a_load_on_a_suspect_engine_does_not_count(self):
        task = self.waiting_task()
        task.from_platform, task.give_up_ms = True, 2000.0
        self.load(self.model)
        cluster_state.ledger_of(
            self.cluster, registry_view.shard_of(self.service, SHARDS)
        ).suspects["e0"] = True
        self.assertThat(bool(router.tick(self.router, 2100.0, self.cluster)), Equals(True))

    def test_a_request_is_rejected_before_its_caller_leaves(self):
        """Callers of a stream leave after a silence that their route configures.  A request that
        would wait longer is rejected in time to say when to retry."""
        for patience_ms, given_up_ms in ((1000.0, 100.0 + 750.0), (1e9, 100.0 + 0.45 * 4900.0)):
            self.furnish()
            task = router.Task(
                "t", "i", self.service, self.model, "", "rank0", "", False, True, 5e3
            )
            task.from_platform, task.patience_ms = True, patience_ms
            router.begin(self.router, 100.0, self.cluster, 0.0, CREW, task)
            self.assertThat(round(task.give_up_ms), Equals(round(given_up_ms)))
            self.load(self.model)
            self.assertThat(
                bool(router.tick(self.router, task.give_up_ms, self.cluster)), Equals(False)
            )
            later_ms = min(100.0 + 0.9 * patience_ms, 100.0 + 0.8 * 4900.0)
            self.assertThat(bool(router.tick(self.router, later_ms, self.cluster)), Equals(True))

    def test_how_long_callers_tolerate_silence(self):
        for kind, target, gap, patience_ms in (
            ("stream", 315, 300, 2400.0),
            ("stream", 100, 100, 2000.0),
            ("stream", 6015, 300, 24060.0),
            ("safe", 6015, 300, 0.0),
        ):
            item = {"kind": kind, "targetMs": target, "gapTargetMs": gap}
            self.assertThat(configuration._patience_ms(item), Equals(patience_ms))
