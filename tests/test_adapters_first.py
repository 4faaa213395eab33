"""Adapters load fast, but an engine carries out one order at a time.  Requests for an adapter must
not wait behind one model load after another, however urgent those are.
"""

from test_demand_placement import ADAPTERS, DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

SEEDS = range(4)
LOAD_S = 4.0
SPAN_MS = 40_000.0
ASK_EVERY_MS = 400.0
RARE_WAITS_MS = 9000


class Crowded(DemandScenario):
    """More rare models are requested, by the most urgent class, than engines can load.  One model
    is loaded, and its adapters are requested too."""

    def __init__(self, seed):
        super().__init__(seed, models=40, engines=4, per_s=8.0, loadS=LOAD_S)
        models = [item for item in self.items if "/" not in item]
        self.hot = next(m for m in models if f"{m}/a{ADAPTERS}" in self.items)
        self.rare = [m for m in models if m != self.hot]
        self.adapters = [f"{self.hot}/a{n + 1}" for n in range(ADAPTERS)]
        for engine in self.scene.engines.values():
            engine.items = {self.hot, self.rare[0]}
        self.held, self.numbers, self.adapter_waits_ms, self.rare_up = {}, 0, {}, set()

    def hold(self, item, rank, wait_ms):
        if item in self.held or self.up(item):
            return
        self.numbers += 1
        model, _, adapter = item.partition("/")
        id_ = f"h{self.numbers}"
        self.held[item] = id_, self.scene.now_ms, self.scene.now_ms + wait_ms
        hold = {"id": id_, "service": self.name, "model": model, "adapter": adapter}
        hold |= {"class": f"rank{rank}", "waitMs": wait_ms, "node": "c", "life": "l"}
        self.scene.command("hold", hold)

    def ended(self):
        for item, (id_, since_ms, until_ms) in list(self.held.items()):
            up = self.up(item)
            if up and "/" in item:
                self.adapter_waits_ms[item] = self.scene.now_ms - since_ms
            elif up:
                self.rare_up.add(item)
            if up or self.scene.now_ms > until_ms:
                del self.held[item]
                self.scene.command("unhold", {"id": id_, "why": "done"})

    def played(self):
        for _ in range(20):
            self.scene.step()
        start_ms = asked_ms = self.scene.now_ms
        while self.scene.now_ms - start_ms < SPAN_MS:
            if self.scene.now_ms - asked_ms > ASK_EVERY_MS:
                asked_ms = self.scene.now_ms
                self.hold(self.rng.choice(self.rare), 0, RARE_WAITS_MS)
            if self.scene.now_ms - start_ms > 2 * LOAD_S * 1000:
                self.scene.command("wanted", {"items": {self.hot: 4}})
                for adapter in self.adapters:
                    if adapter not in self.adapter_waits_ms:
                        self.hold(adapter, 1, int(SPAN_MS))
            self.scene.step()
            self.ended()
        return self


class AdaptersFirst(TestCase):
    def test_adapters_wait_for_one_load_at_most(self):
        for seed in SEEDS:
            scenario = Crowded(seed).played()
            waits_ms = scenario.adapter_waits_ms
            self.assertThat(sorted(waits_ms), Equals(sorted(scenario.adapters)), str(seed))
            self.assertThat(max(waits_ms.values()), LessThan(1.5 * LOAD_S * 1000), str(seed))

    def test_rare_models_are_loaded_too(self):
        for seed in SEEDS:
            self.assertThat(len(Crowded(seed).played().rare_up), GreaterThan(10), str(seed))
