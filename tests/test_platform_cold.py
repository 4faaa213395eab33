"""A cold engine bears no more than its rate, however many counters press on it."""

import random

from junction import choice, cold
from junction.router import Router, Terms
from manifest.registry import Registry
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

TERMS = Terms(
    staleMs=1000.0,
    rampMs=1000.0,
    pauseMs=100.0,
    retryRatio=0.1,
    retryWindowMs=10000.0,
    legMs=1000.0,
)
ENGINE = {"name": "e0", "service": "s", "state": "join", "zone": "z", "slots": 32, "warmMs": 60000}


def pressing(count, perS, seed, spanMs=5000.0):
    """When a cold engine is sent requests by `count` counters that never pause."""
    rng, names = random.Random(seed), tuple(f"c{n}" for n in range(count))
    service = {"warmPerS": perS, "warmMs": 60000.0}
    sentMs = []
    for name in names:
        r, crew, nowMs = Router(TERMS), choice.Crew(name, names), 10 * rng.random()
        cold.notice(r, nowMs, Registry(engines={"e0": ENGINE}), {"s": service}, lambda e: True)
        while nowMs < spanMs:
            if cold.take(r, nowMs, ENGINE, service, crew):
                sentMs.append(nowMs)
            nowMs += cold.ready_in(r, nowMs, ENGINE, service, crew) + 0.001
    return sorted(sentMs)


def most_in_a_second(sentMs):
    first, most = 0, 0
    for last, atMs in enumerate(sentMs):
        while atMs - sentMs[first] > 1000.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class Cold(TestCase):
    def test_no_second_has_more_than_it_bears(self):
        for count in range(1, 101):
            for perS in (1.0, 7.0, 33.0):
                most = most_in_a_second(pressing(count, perS, count, 3000.0))
                self.assertThat(most, LessThan(perS * 1.5 + 5 + 1e-9), f"{count} {perS}")

    def test_it_is_used_all_the_same(self):
        for count in (1, 3, 8, 30, 100):
            for perS in (2.5, 7.0, 20.0):
                sentMs = pressing(count, perS, count)
                self.assertThat(len(sentMs) / 5, GreaterThan(0.5 * perS), f"{count} {perS}")

    def test_none_goes_to_one_that_bears_none(self):
        for count in (1, 5, 50):
            self.assertThat(len(pressing(count, 0.0, count)), LessThan(6))

    def test_when_it_is_cold(self):
        r, registry = Router(TERMS), Registry(engines={"e0": {**ENGINE, "warmMs": 3000}})
        services = {"s": {"warmPerS": 5.0, "warmMs": 9000.0}}
        open_ = [True]

        def cold_at(nowMs):
            cold.notice(r, nowMs, registry, services, lambda e: open_[0])
            return cold.is_cold(r, nowMs, ENGINE)

        self.assertThat([cold_at(ms) for ms in (0.0, 2900.0, 3200.0)], Equals([True, True, False]))
        open_[0] = False
        self.assertThat(cold_at(4000.0), Equals(False))
        open_[0] = True
        self.assertThat(
            [cold_at(ms) for ms in (5000.0, 13900.0, 14100.0)], Equals([True, True, False])
        )
        registry.engines = {"e0": {**ENGINE, "warmMs": 2000}}
        self.assertThat([cold_at(ms) for ms in (20000.0, 22200.0)], Equals([True, False]))
        registry.engines = {}
        cold_at(23000.0)
        self.assertThat((r.seenEngines, r.coldUntilMs), Equals(({}, {})))
