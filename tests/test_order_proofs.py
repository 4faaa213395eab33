"""What does not prove that an engine has room, though it looks as if it did.

Orders name the count of orders that an engine must have taken, so one is only beyond the
room if the ledger lacked something that the engine held at that count.
"""

import random

import test_platform_again
from placement import engine_view, world
from simulation.placing import TERMS, Late, Stale
from test_platform_asked import Floor
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport.events import CallEnded

SEEDS = range(8)


class Counted(test_platform_again.OrdersHarness):
    """A model that was loaded by an order, at a known count."""

    def setUp(self):
        super().setUp()
        self.report(["other"], at=self.now_ms, orders=3)
        self.carried_out("load")
        self.assertThat((self.state(), self.count()), Equals(("loaded", 4)))

    def count(self):
        return engine_view.expected_count(self.p.engines["e0"])

    def told(self, items, orders=4, busy=False):
        """A report asked for just now."""
        self.now_ms += 1000
        self.report(items, at=self.now_ms - 10, busy=busy, orders=orders)


class Unload(Counted):
    def test_done_at_once_is_no_proof(self):
        """An engine that is told for the first time to unload what it holds says that it
        will; "done" may be an answer to something else."""
        self.answer(self.give("unload"), 200)
        self.assertThat(self.state(), Equals("unknown"))
        self.assertFalse(engine_view.count_known(self.p.engines["e0"]))

    def test_a_report_settles_it_either_way(self):
        self.answer(self.give("unload"), 200)
        self.told(["other", self.model])
        self.assertThat((self.state(), self.count()), Equals(("loaded", 4)))
        self.answer(self.give("unload"), 200)
        self.told(["other"])
        self.assertThat((self.state(), self.count()), Equals((None, 4)))

    def test_done_after_it_was_taken_is(self):
        self.carried_out("unload")
        self.assertThat((self.state(), self.count()), Equals((None, 5)))


class Reports(Counted):
    def test_a_busy_one_takes_nothing_away(self):
        """The load was under way at this very count: what the engine holds has changed."""
        for _ in range(3):
            self.told(["other"], busy=True)
        self.assertThat(self.state(), Equals("loaded"))

    def test_a_doubt_ends_when_the_model_is_seen_again(self):
        self.told(["other"])
        self.assertThat(self.state(), Equals("loaded"))
        self.told(["other", self.model])
        self.told(["other"])
        self.assertThat(self.state(), Equals("loaded"))
        self.told(["other"])
        self.assertThat(self.state(), Equals(None))

    def test_a_lower_count_is_known_at_once(self):
        """The engine has begun anew: an order that named the old count would be in vain."""
        self.answer(self.give("unload"), 0)
        self.told(["other"], orders=0)
        self.assertThat((self.state(), self.count()), Equals((None, 0)))


class Overlapping(TestCase):
    def test_each_call_for_a_report_has_an_id_of_its_own(self):
        """One that is answered after the next was made is judged by its own time."""
        floor = Floor(1)
        floor.scene._answers = lambda call: Stale(1e9) if call.verb == "report" else None
        for _ in range(100):
            floor.step()
        ids = [c.id for _, c in floor.scene.calls if c.verb == "report" and c.engine == "e0"]
        self.assertThat(len(ids), GreaterThan(1))
        self.assertThat(len(set(ids)), Equals(len(ids)))


class Floors(TestCase):
    """Whole floors on which such answers come now and then: no load is beyond the room."""

    def broken(self, seed, answers):
        floor = Floor(seed, models=20, answers=answers)
        moving = [floor.items[n:] + floor.items[:n] for n in range(0, len(floor.items), 3)]
        for items in moving[:6]:
            floor.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return [b for e in floor.scene.engines.values() for b in e.broken]

    def test_answers_that_belong_to_other_calls(self):
        def answers_for(rng):
            def answers(call):
                if call.verb != "unload" or "|again:" in call.id or rng.random() > 0.1:
                    return None
                return CallEnded(call.id, 200)

            return answers

        found = [self.broken(seed, answers_for(random.Random(seed))) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_reports_that_come_late(self):
        def answers_for(rng):
            def answers(call):
                late = call.verb == "report" and rng.random() < 0.5
                return Stale(rng.uniform(0, 4 * TERMS.call_ms)) if late else None

            return answers

        found = [self.broken(seed, answers_for(random.Random(seed))) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))


class AnotherEngine(Counted):
    """Whatever has an engine's address now answers its report, but not its orders."""

    def usable(self):
        return [
            e.name
            for e in world.placement_engines(
                self.registry, self.service, engine_view.reports_of(self.p)
            )
        ]

    def test_an_engine_that_is_no_longer_there_is_not_counted_on(self):
        self.assertThat(self.usable(), Equals(["e0"]))
        self.answer(self.give("unload"), 421)
        self.assertThat(self.usable(), Equals([]))
        self.told([], orders=0)
        self.assertThat(self.usable(), Equals([]))

    def test_it_is_looked_at_again_after_a_while(self):
        self.answer(self.give("unload"), 421)
        self.now_ms += TERMS.dark_ms
        self.told(["other", self.model])
        self.assertThat((self.usable(), self.state()), Equals((["e0"], "loaded")))


class Hidden(test_platform_again.OrdersHarness):
    """An earlier order for a model is taken late, while a later one for it is on its way: the
    report's model is charged as the later order's, which then turns out never to have come."""

    def setUp(self):
        super().setUp()
        self.report(["other"], at=self.now_ms, orders=3)

    def refused(self, **answer):
        order = self.give()
        self.now_ms += 1000
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        self.answer(order, 0, **answer)

    def test_the_count_is_not_learned_beside_it(self):
        self.refused(begun=False)
        self.assertThat(
            (self.state(), engine_view.expected_count(self.p.engines["e0"])), Equals((None, 3))
        )

    def test_the_next_report_finds_it(self):
        self.refused(begun=False)
        self.now_ms += 1000
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        found = self.state(), engine_view.expected_count(self.p.engines["e0"])
        self.assertThat(found, Equals(("loaded", 4)))


class HiddenFloors(TestCase):
    """Links that hold some orders up while others can't be sent at all."""

    def broken(self, seed):
        rng = random.Random(seed)

        def answers(call):
            if call.verb == "report":
                return None
            if rng.random() < 0.15:
                return Late(TERMS.call_ms, rng.uniform(0.0, 5000.0))
            return "unsent" if rng.random() < 0.2 else None

        floor = Floor(seed, models=20, answers=answers)
        moving = [floor.items[n:] + floor.items[:n] for n in range(0, len(floor.items), 3)]
        for items in moving[:6]:
            floor.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return [b for e in floor.scene.engines.values() for b in e.broken]

    def test_no_load_is_beyond_the_room(self):
        found = [self.broken(seed) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))
