"""Requests of every class may wait for a model that nobody holds yet."""

import random

from adapter import configuration
from configuration import registry as registries
from placement import floor, world
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


class Line(TestCase):
    def setUp(self):
        super().setUp()
        self.furnish()

    def furnish(self):
        """A fresh router before one engine that holds nothing."""
        whole = made.configuration(random.Random(2), 1)
        service = whole["services"][0]
        self.service, self.model = service["name"], service["engine"]["parcels"][0]["name"]
        self.floor = floor.Floor(SHARDS, reader=configuration.READER)
        self.floor.registry.reader = configuration.READER
        record, _, _ = registries.decide(
            self.floor.registry, "written", {"expect": 0, "written": whole, "partial": False}
        )
        registries.apply(self.floor.registry, record)
        self.floor.registry.engines["e0"] = engine_facts("e0", self.service)
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
        return router.begin(self.router, 100.0, self.floor, 0.0, CREW, task)

    def test_each_class_may_wait(self):
        for rank in range(10):
            (effect,) = self.begin(rank, rank)
            self.assertIsInstance(effect, Hold, f"{rank} {effect}")
            self.assertThat(
                (effect.verb, effect.shard, effect.body["model"]),
                Equals(("hold", world.shard_of(self.service, SHARDS), self.model)),
            )

    def test_the_lowest_is_shut_out_first(self):
        """Of a line that fills, each class gets its part; the first gets all."""
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
        """An engine is loading something, or has it."""
        ledger = floor.ledger_of(self.floor, world.shard_of(self.service, SHARDS))
        ledgers.apply(ledger, ledgers.order_record("e0", item, "load", "o1", 1.0, 0, self.service))
        ledgers.apply(ledger, ledgers.state_record("e0", item, "o1", state))

    def test_what_is_on_its_way_is_waited_for(self):
        """A caller from afar gives up after a part of its time, later if its model comes."""
        for item, waits in ((None, False), ("another", False), (self.model, True)):
            self.furnish()
            task = self.waiting_task()
            task.from_platform, task.give_up_ms = True, 2000.0
            if item:
                self.load(item)
            given_up = bool(router.tick(self.router, 2100.0, self.floor))
            self.assertThat(given_up, Equals(not waits), str(item))
            self.assertThat(bool(router.tick(self.router, 4500.0, self.floor)), Equals(waits))

    def test_what_a_suspect_engine_loads_is_no_hope(self):
        task = self.waiting_task()
        task.from_platform, task.give_up_ms = True, 2000.0
        self.load(self.model)
        floor.ledger_of(self.floor, world.shard_of(self.service, SHARDS)).suspects["e0"] = True
        self.assertThat(bool(router.tick(self.router, 2100.0, self.floor)), Equals(True))

    def test_nobody_is_held_until_it_leaves(self):
        """Callers of a stream leave after a silence that their route tells; a line that is
        longer than that is left in time to say when to come back."""
        for patience_ms, given_up_ms in ((1000.0, 100.0 + 750.0), (1e9, 100.0 + 0.45 * 4900.0)):
            self.furnish()
            task = router.Task(
                "t", "i", self.service, self.model, "", "rank0", "", False, True, 5e3
            )
            task.from_platform, task.patience_ms = True, patience_ms
            router.begin(self.router, 100.0, self.floor, 0.0, CREW, task)
            self.assertThat(round(task.give_up_ms), Equals(round(given_up_ms)))
            self.load(self.model)
            self.assertThat(
                bool(router.tick(self.router, task.give_up_ms, self.floor)), Equals(False)
            )
            later_ms = min(100.0 + 0.9 * patience_ms, 100.0 + 0.8 * 4900.0)
            self.assertThat(bool(router.tick(self.router, later_ms, self.floor)), Equals(True))

    def test_how_long_callers_bear_silence(self):
        for kind, target, gap, patience_ms in (
            ("stream", 315, 300, 2400.0),
            ("stream", 100, 100, 2000.0),
            ("stream", 6015, 300, 24060.0),
            ("safe", 6015, 300, 0.0),
        ):
            item = {"kind": kind, "targetMs": target, "gapTargetMs": gap}
            self.assertThat(configuration._patience_ms(item), Equals(patience_ms))
