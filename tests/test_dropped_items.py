"""A placer goes on whatever the configuration drops.

Guards against FAULT: a model in use left the configuration, or a service whose requests waited, and
the process that held the shard's lease ended by itself; the next holder met the same state.
"""

from configuration import registry as registries
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not


class DroppedModel(TestCase):
    def drop(self, scenario, model):
        """The next configuration no longer lists the model."""
        service = scenario.registry.document["parts"]["services"][scenario.name]
        engine = service["engine"]
        parcels = [parcel for parcel in engine["parcels"] if parcel["name"] != model]
        changed = {**service, "engine": {**engine, "parcels": parcels}}
        written = {"edition": 2, "upsert": {"services": [changed]}}
        body = {"expect": 1, "partial": True, "written": written}
        record, _, failure = registries.decide(scenario.registry, "written", body)
        self.assertThat(failure, Equals(None))
        registries.apply(scenario.registry, record)

    def test_a_model_in_use_leaves_the_configuration(self):
        """It is loaded on one engine, and its request rate asks for a second copy."""
        scenario = DemandScenario(1, engines=3)
        for _ in range(50):
            scenario.step()
        (model,) = scenario.scene.engines["e0"].items
        scenario.scene.command("wanted", {"items": {model: 100}})
        self.drop(scenario, model)
        for _ in range(50):
            scenario.step()
        loads = [item for e in scenario.scene.engines.values() for _, verb, item in e.orders]
        self.assertThat(loads, Not(Contains(model)))
