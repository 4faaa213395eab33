"""Orders that reach an engine long after their calls have timed out.  None may load more than there
is room for, whatever has been settled, unloaded and loaded in the meantime.
"""

import random

from placement import engine_view
from simulation.placing import TERMS, Late
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

SEEDS = range(12)


def delayed(rng, share, first=True, again=True):
    """Responses of a scenario in which a `share` of the orders is delayed on the network."""

    def answers(call):
        given_again = "|again:" in call.id
        chosen = again if given_again else first
        if call.verb == "report" or not chosen or rng.random() > share:
            return None
        return Late(TERMS.call_timeout_ms, rng.uniform(0.0, 5000.0))

    return answers


class DelayedOrders(TestCase):
    def played(self, seed, **which):
        scenario = DemandScenario(
            seed, models=20, answers=delayed(random.Random(seed), 0.15, **which)
        )
        moving = [scenario.items[n:] + scenario.items[:n] for n in range(0, len(scenario.items), 3)]
        for items in moving[:6]:
            scenario.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return scenario

    def broken(self, scenario):
        return [b for e in scenario.scene.engines.values() for b in e.broken]

    def test_a_delayed_repeated_call(self):
        found = [self.broken(self.played(seed, first=False)) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_a_delayed_first_call(self):
        found = [self.broken(self.played(seed, again=False)) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_orders_without_a_count_exceed_the_room(self):
        """The same runs fail if orders don't name the count that they expect."""
        self.patch(engine_view, "expected_count", lambda view: None)
        found = [self.broken(self.played(seed)) for seed in SEEDS]
        self.assertThat(len([b for b in found if b]), GreaterThan(2))

    def test_both_delayed_and_models_are_still_loaded(self):
        for seed in SEEDS:
            scenario = self.played(seed)
            self.assertThat(self.broken(scenario), Equals([]), str(seed))
            scenario.scene._answers = lambda call: None
            scenario.run(30, lambda rng: None)
            self.assertThat(list(scenario.waiting), Equals([]), str(seed))
            self.assertThat(len(scenario.came_up), GreaterThan(10), str(seed))
