"""Orders that reach an engine long after their calls have ended: none may load more
than there is room for, whatever has been settled, unloaded and loaded meanwhile."""

import random

from placement import engine_view
from simulation.placing import TERMS, Late
from test_platform_asked import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

SEEDS = range(12)


def held_up(rng, share, first=True, again=True):
    """Answers of a floor on which a `share` of the orders is held up on its way."""

    def answers(call):
        given_again = "|again:" in call.id
        chosen = again if given_again else first
        if call.verb == "report" or not chosen or rng.random() > share:
            return None
        return Late(TERMS.call_timeout_ms, rng.uniform(0.0, 5000.0))

    return answers


class HeldUp(TestCase):
    def played(self, seed, **which):
        floor = DemandScenario(seed, models=20, answers=held_up(random.Random(seed), 0.15, **which))
        moving = [floor.items[n:] + floor.items[:n] for n in range(0, len(floor.items), 3)]
        for items in moving[:6]:
            floor.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return floor

    def broken(self, floor):
        return [b for e in floor.scene.engines.values() for b in e.broken]

    def test_an_order_given_again(self):
        found = [self.broken(self.played(seed, first=False)) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_a_first_call(self):
        found = [self.broken(self.played(seed, again=False)) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_orders_without_a_count_are_seen(self):
        """The same runs are red as soon as orders don't name what they expect."""
        self.patch(engine_view, "expected_count", lambda view: None)
        found = [self.broken(self.played(seed)) for seed in SEEDS]
        self.assertThat(len([b for b in found if b]), GreaterThan(2))

    def test_both_and_models_still_come_up(self):
        for seed in SEEDS:
            floor = self.played(seed)
            self.assertThat(self.broken(floor), Equals([]), str(seed))
            floor.scene._answers = lambda call: None
            floor.run(30, lambda rng: None)
            self.assertThat(list(floor.waiting), Equals([]), str(seed))
            self.assertThat(len(floor.came_up), GreaterThan(10), str(seed))
