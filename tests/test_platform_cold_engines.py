"""A cold engine gets no more than its warm-up rate, however many routing nodes send to it."""

import random

from configuration.registry import Registry
from routing import choice, cold_engines
from routing.router import Router, RoutingSettings
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

SETTINGS = RoutingSettings(
    staleMs=1000.0,
    ramp_ms=1000.0,
    pauseMs=100.0,
    retryRatio=0.1,
    retryWindowMs=10000.0,
    attempt_ms=1000.0,
)
ENGINE = {"name": "e0", "service": "s", "state": "join", "zone": "z", "slots": 32, "warmMs": 60000}


def request_times(count, per_s, seed, span_ms=5000.0):
    """When `count` routing nodes that send as fast as they may send to a cold engine."""
    rng, names = random.Random(seed), tuple(f"c{n}" for n in range(count))
    service = {"warmPerS": per_s, "warmMs": 60000.0}
    sent_ms = []
    for name in names:
        router, nodes, now_ms = (
            Router(SETTINGS),
            choice.RoutingNodes(name, names),
            10 * rng.random(),
        )
        cold_engines.update(
            router, now_ms, Registry(engines={"e0": ENGINE}), {"s": service}, lambda e: True
        )
        while now_ms < span_ms:
            if cold_engines.take_token(router, now_ms, ENGINE, service, nodes):
                sent_ms.append(now_ms)
            now_ms += cold_engines.ms_until_token(router, now_ms, ENGINE, service, nodes) + 0.001
    return sorted(sent_ms)


def max_per_second(sent_ms):
    first, most = 0, 0
    for last, at_ms in enumerate(sent_ms):
        while at_ms - sent_ms[first] > 1000.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdEngines(TestCase):
    def test_no_second_exceeds_the_rate(self):
        for count in range(1, 101):
            for per_s in (1.0, 7.0, 33.0):
                most = max_per_second(request_times(count, per_s, count, 3000.0))
                self.assertThat(most, LessThan(per_s * 1.5 + 5 + 1e-9), f"{count} {per_s}")

    def test_at_least_half_of_the_rate_is_used(self):
        for count in (1, 3, 8, 30, 100):
            for per_s in (2.5, 7.0, 20.0):
                sent_ms = request_times(count, per_s, count)
                self.assertThat(len(sent_ms) / 5, GreaterThan(0.5 * per_s), f"{count} {per_s}")

    def test_a_rate_of_zero(self):
        for count in (1, 5, 50):
            self.assertThat(len(request_times(count, 0.0, count)), LessThan(6))

    def test_when_it_is_cold(self):
        router, registry = Router(SETTINGS), Registry(engines={"e0": {**ENGINE, "warmMs": 3000}})
        services = {"s": {"warmPerS": 5.0, "warmMs": 9000.0}}
        open_ = [True]

        def cold_at(now_ms):
            cold_engines.update(router, now_ms, registry, services, lambda e: open_[0])
            return cold_engines.is_cold(router, now_ms, ENGINE)

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
        self.assertThat((router.known_engines, router.cold_until_ms), Equals(({}, {})))
