"""A configuration changes the size of a model: the larger size is charged."""

import copy

import test_order_repeats
from configuration import registry as registries
from placement import orders, registry_view
from simulation import platform_made
from testtools.matchers import Equals


class SizeChanges(test_order_repeats.Orders):
    def configure(self, weightMb):
        """Apply the next configuration, in which the model has this size."""
        self.whole = copy.deepcopy(self.whole)
        self.whole["edition"] += 1
        self.whole["services"][0]["engine"]["parcels"][0]["weightMb"] = weightMb
        body = {"expect": self.whole["edition"] - 1, "written": self.whole, "partial": False}
        record, _, failure = registries.decide(self.registry, "written", body)
        self.assertThat(failure, Equals(None))
        registries.apply(self.registry, record)

    def setUp(self):
        made = []
        configuration = platform_made.configuration
        self.patch(
            platform_made,
            "configuration",
            lambda *how: made.append(configuration(*how)) or made[-1],
        )
        super().setUp()
        self.whole = made[0]

    def charge(self):
        return registry_view.charged(self.registry, self.p.ledger, "e0")[0]

    def test_a_model_that_grows_or_shrinks_while_it_is_loaded(self):
        ordered_mb = registry_view.item_size(self.registry, self.model)[0]
        before_mb = self.charge()
        orders.give_order(self.p, "e0", self.model, "load", ordered_mb, 0, self.service)
        self.assertThat(self.charge(), Equals(before_mb + ordered_mb))
        for told_mb, charged_mb in ((1000 * ordered_mb, 1000 * ordered_mb), (1.0, ordered_mb)):
            self.configure(told_mb)
            self.assertThat(self.charge(), Equals(before_mb + charged_mb))
