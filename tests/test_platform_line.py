"""Requests of every class may wait for a model that nobody holds yet."""

import random

from adapter import configuration
from configuration import registry as registries
from placement import floor, world
from routing import choice, router
from routing.tasks import Hold
from simulation import platform_made as made
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import Equals

TERMS = router.Terms(
    staleMs=1e12,
    ramp_ms=1000.0,
    pauseMs=100.0,
    retryRatio=0.1,
    retryWindowMs=10000.0,
    leg_ms=1000.0,
)
CREW = choice.Crew("c0", ("c0",), "z")


class Line(TestCase):
    def setUp(self):
        super().setUp()
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
            tries=2,
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
                isinstance(self.begin(n, rank)[0], Hold) for n in range(TERMS.waiting_max + 50)
            )
        self.assertThat(places, Equals({0: 500, 1: 375, 2: 250, 3: 125, 4: 125, 9: 125}))
