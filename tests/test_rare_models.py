"""Rare models beside popular ones that would fill every engine: each is loaded in the end.

Each rare model gets a request now and then that waits for a short time and ends; the next one
comes some seconds later.
"""

import random

from placement import ledger
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, LessThan

_POPULAR = 3
_ROOM_FOR_ONE_MB = 75000.0
_PATIENCE_MS = 2500.0
_TICKS_PER_S = 25


class Callers:
    """Requests for rare models; `served` and `asked` count them by model."""

    def __init__(self, scenario, rng, models, pause_s):
        self._scenario, self._rng, self._pause_s = scenario, rng, pause_s
        self._next_ms = {m: scenario.scene.now_ms + 1000 * rng.uniform(0, pause_s) for m in models}
        self._waiting, self._count = {}, 0
        self.asked = dict.fromkeys(models, 0)
        self.served = dict.fromkeys(models, 0)

    def step(self):
        now_ms = self._scenario.scene.now_ms
        for model, next_ms in self._next_ms.items():
            if model in self._waiting:
                self._wait_on(model, now_ms)
            elif now_ms >= next_ms:
                self._come(model, now_ms)

    def _come(self, model, now_ms):
        self.asked[model] += 1
        if self._scenario.up(model):
            self._scenario.scene.command("wanted", {"items": {model: 1}})
            return self._leave(model, now_ms, served=True)
        self._count += 1
        self._waiting[model] = (f"r{self._count}", now_ms)
        self._scenario.scene.command(
            "hold",
            {
                "id": f"r{self._count}",
                "service": self._scenario.name,
                "model": model,
                "adapter": "",
                "class": "rank1",
                "waitMs": _PATIENCE_MS,
                "node": "c0",
                "life": "l",
            },
        )

    def _wait_on(self, model, now_ms):
        id_, since_ms = self._waiting[model]
        up = self._scenario.up(model)
        if up or now_ms - since_ms > _PATIENCE_MS:
            del self._waiting[model]
            self._scenario.scene.command("unhold", {"id": id_, "why": "served" if up else "left"})
            self._leave(model, now_ms, served=up)

    def _leave(self, model, now_ms, served):
        self.served[model] += served
        self._next_ms[model] = now_ms + 1000 * self._rng.uniform(0.5, 1.5) * self._pause_s


def play(seed, seconds=40, engines=12, rare=36, pause_s=4.0, loadS=0.6):
    """Popular models with 25 requests per second each, and requests for rare ones."""
    scenario = DemandScenario(
        seed,
        models=_POPULAR + rare,
        engines=engines,
        per_s=10.0,
        loadS=loadS,
        roomMb=_ROOM_FOR_ONE_MB,
        slots=12,
    )
    models = [item for item in scenario.items if "/" not in item]
    popular, others = models[:_POPULAR], models[_POPULAR:]
    callers = Callers(scenario, random.Random(seed + 100), others, pause_s)
    for _ in range(seconds * _TICKS_PER_S):
        scenario.scene.command("wanted", {"items": dict.fromkeys(popular, 1)})
        callers.step()
        scenario.step()
    return scenario, callers, popular


class RareModels(TestCase):
    def test_each_is_loaded_though_popular_ones_could_fill_all_engines(self):
        for seed in range(3):
            scenario, callers, popular = play(seed)
            never = [m for m, served in callers.served.items() if not served]
            self.assertThat(len(never), LessThan(2), f"seed {seed}: {len(never)} never served")
            self.assertThat(
                [b for e in scenario.scene.engines.values() for b in e.broken], Equals([])
            )

    def test_popular_ones_stay_loaded(self):
        for seed in range(3):
            scenario, _, popular = play(seed)
            up = [
                m
                for m in popular
                if any(
                    ledger.is_loaded(scenario.scene.p.ledger, e, m) for e in scenario.scene.engines
                )
            ]
            self.assertThat(up, Equals(popular))

    def test_at_least_a_third_of_all_requests_is_served(self):
        for seed in range(3):
            _, callers, _ = play(seed)
            asked, served = sum(callers.asked.values()), sum(callers.served.values())
            self.assertThat(asked / 3, LessThan(served), f"seed {seed}: {served} of {asked}")

    def test_loads_that_take_longer_than_requests_wait(self):
        """No load is done in time for the request that caused it, but it serves a later one."""
        for seed in range(2):
            _, callers, _ = play(seed, seconds=60, engines=12, rare=9, loadS=4.0)
            never = [m for m, served in callers.served.items() if not served]
            self.assertThat(len(never), LessThan(2), f"seed {seed}")
