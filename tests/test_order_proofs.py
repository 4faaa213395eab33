"""Responses and reports that look as if an engine had room but don't prove it.

Orders name the count of orders that an engine must have taken.  So an order exceeds the room only
if the ledger lacked an item that the engine held at that count.
"""

import random

import test_order_repeats
from placement import engine_view, registry_view
from simulation.placing import TERMS, Late, Stale
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport.events import CallEnded

SEEDS = range(8)


class CountedOrders(test_order_repeats.OrdersHarness):
    """A model was loaded by an order, at a known order count."""

    def setUp(self):
        super().setUp()
        self.report(["other"], at=self.now_ms, orders=3)
        self.carried_out("load")
        self.assertThat((self.state(), self.count()), Equals(("loaded", 4)))

    def count(self):
        return engine_view.expected_count(self.p.engines["e0"])

    def report_now(self, items, orders=4, busy=False):
        """Read a report that was requested just now."""
        self.now_ms += 1000
        self.report(items, at=self.now_ms - 10, busy=busy, orders=orders)


class Unload(CountedOrders):
    def test_success_at_once_proves_nothing(self):
        """An engine accepts the first call of an unload order with 202; a 200 may be the response
        to another call."""
        self.answer(self.give("unload"), 200)
        self.assertThat(self.state(), Equals("unknown"))
        self.assertFalse(engine_view.count_known(self.p.engines["e0"]))

    def test_a_report_settles_the_unload_either_way(self):
        self.answer(self.give("unload"), 200)
        self.report_now(["other", self.model])
        self.assertThat((self.state(), self.count()), Equals(("loaded", 4)))
        self.answer(self.give("unload"), 200)
        self.report_now(["other"])
        self.assertThat((self.state(), self.count()), Equals((None, 4)))

    def test_success_after_it_was_taken_settles_the_unload(self):
        self.carried_out("unload")
        self.assertThat((self.state(), self.count()), Equals((None, 5)))


class Reports(CountedOrders):
    def test_a_busy_engines_report_removes_no_item(self):
        """A load was in progress at this count, so the content has changed since."""
        for _ in range(3):
            self.report_now(["other"], busy=True)
        self.assertThat(self.state(), Equals("loaded"))

    def test_a_missing_model_that_reappears_needs_two_more_reports(self):
        self.report_now(["other"])
        self.assertThat(self.state(), Equals("loaded"))
        self.report_now(["other", self.model])
        self.report_now(["other"])
        self.assertThat(self.state(), Equals("loaded"))
        self.report_now(["other"])
        self.assertThat(self.state(), Equals(None))

    def test_a_lower_count_is_learned_at_once(self):
        """The engine has restarted, and would refuse an order that names the old count."""
        self.answer(self.give("unload"), 0)
        self.report_now(["other"], orders=0)
        self.assertThat((self.state(), self.count()), Equals((None, 0)))


class Overlapping(TestCase):
    def test_each_poll_has_an_id_of_its_own(self):
        """A response that arrives after the next poll was sent is dated by its own call."""
        scenario = DemandScenario(1)
        scenario.scene._answers = lambda call: Stale(1e9) if call.verb == "report" else None
        for _ in range(100):
            scenario.step()
        ids = [c.id for _, c in scenario.scene.calls if c.verb == "report" and c.engine == "e0"]
        self.assertThat(len(ids), GreaterThan(1))
        self.assertThat(len(set(ids)), Equals(len(ids)))


class Scenarios(TestCase):
    """Whole scenarios with occasional such responses: no load exceeds the room."""

    def broken(self, seed, answers):
        scenario = DemandScenario(seed, models=20, answers=answers)
        moving = [scenario.items[n:] + scenario.items[:n] for n in range(0, len(scenario.items), 3)]
        for items in moving[:6]:
            scenario.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return [b for e in scenario.scene.engines.values() for b in e.broken]

    def test_responses_that_belong_to_other_calls(self):
        def answers_for(rng):
            def answers(call):
                if call.verb != "unload" or "|again:" in call.id or rng.random() > 0.1:
                    return None
                return CallEnded(call.id, 200)

            return answers

        found = [self.broken(seed, answers_for(random.Random(seed))) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))

    def test_late_reports(self):
        def answers_for(rng):
            def answers(call):
                late = call.verb == "report" and rng.random() < 0.5
                return Stale(rng.uniform(0, 4 * TERMS.call_timeout_ms)) if late else None

            return answers

        found = [self.broken(seed, answers_for(random.Random(seed))) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))


class AnotherEngine(CountedOrders):
    """Another engine at the address answers reports in its place, but refuses its orders."""

    def usable(self):
        return [
            e.name
            for e in registry_view.placement_engines(
                self.registry, self.service, engine_view.reports_of(self.p)
            )
        ]

    def test_an_engine_that_was_replaced_is_not_usable(self):
        self.assertThat(self.usable(), Equals(["e0"]))
        self.answer(self.give("unload"), 421)
        self.assertThat(self.usable(), Equals([]))
        self.report_now([], orders=0)
        self.assertThat(self.usable(), Equals([]))

    def test_its_reports_are_read_again_after_a_while(self):
        self.answer(self.give("unload"), 421)
        self.now_ms += TERMS.unreachable_ms
        self.report_now(["other", self.model])
        self.assertThat((self.usable(), self.state()), Equals((["e0"], "loaded")))


class HiddenOrder(test_order_repeats.OrdersHarness):
    """An earlier order for a model is taken late, while a later one is in flight.  The reported
    model is charged to the later order, which then turns out never to have arrived."""

    def setUp(self):
        super().setUp()
        self.report(["other"], at=self.now_ms, orders=3)

    def refused(self, **answer):
        order = self.give()
        self.now_ms += 1000
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        self.answer(order, 0, **answer)

    def test_the_count_is_not_learned_from_that_report(self):
        self.refused(begun=False)
        self.assertThat(
            (self.state(), engine_view.expected_count(self.p.engines["e0"])), Equals((None, 3))
        )

    def test_the_next_report_records_the_model(self):
        self.refused(begun=False)
        self.now_ms += 1000
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        found = self.state(), engine_view.expected_count(self.p.engines["e0"])
        self.assertThat(found, Equals(("loaded", 4)))


class HiddenScenarios(TestCase):
    """Some orders are delayed, and others can't be sent at all."""

    def broken(self, seed):
        rng = random.Random(seed)

        def answers(call):
            if call.verb == "report":
                return None
            if rng.random() < 0.15:
                return Late(TERMS.call_timeout_ms, rng.uniform(0.0, 5000.0))
            return "unsent" if rng.random() < 0.2 else None

        scenario = DemandScenario(seed, models=20, answers=answers)
        moving = [scenario.items[n:] + scenario.items[:n] for n in range(0, len(scenario.items), 3)]
        for items in moving[:6]:
            scenario.run(10, lambda rng, items=items: rng.choice(items[:12]))
        return [b for e in scenario.scene.engines.values() for b in e.broken]

    def test_no_load_exceeds_the_room(self):
        found = [self.broken(seed) for seed in SEEDS]
        self.assertThat([b for b in found if b], Equals([]))
