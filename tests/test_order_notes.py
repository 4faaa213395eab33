"""What a placer logs: enough to work out from its lines why it thought there was room."""

import test_platform_again
from placement import order_notes, placer
from simulation.placing import SHARDS, TERMS
from test_platform_asked import Floor
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan
from transport.effects import LogLine
from transport.events import CallEnded


class Lines(test_platform_again.OrdersHarness):
    def lines(self):
        return [(note.what, note.facts) for note in order_notes.drain(self.p)]

    def test_an_order_tells_its_count_and_what_is_charged_beside_it(self):
        self.lines()
        order = self.give()
        ((what, facts),) = self.lines()
        self.assertThat((what, facts["order"], facts["expected"]), Equals(("order", order, None)))
        self.assertThat(facts["charged"][0], GreaterThan(0))

    def test_an_answer_tells_its_code_and_whether_its_connection_was_used_before(self):
        order = self.give()
        self.lines()
        notes = placer.on_called(
            self.p,
            self.now_ms,
            order,
            CallEnded("", 202, {}, True, True),
            self.registry,
            SHARDS,
            TERMS,
        )
        (note,) = [n for n in notes if isinstance(n, LogLine)]
        self.assertThat((note.what, note.urgent), Equals(("order-answered", True)))
        self.assertThat((note.facts["code"], note.facts["kept"]), Equals((202, True)))
        self.assertThat(self.lines(), Equals([]))

    def test_a_report_that_settles_tells_its_age_and_counts(self):
        self.answer(self.give(), 0)
        self.now_ms += 1000
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        (facts,) = [facts for what, facts in self.lines() if what == "order-reported"]
        self.assertThat(facts["was"], Equals("load unknown"))
        self.assertThat((facts["state"], facts["ageMs"]), Equals(("loaded", 10)))

    def test_what_no_order_explains_is_told(self):
        self.lines()
        self.report(["other", self.model], at=self.now_ms)
        ((what, facts),) = self.lines()
        self.assertThat((what, facts["items"]), Equals(("found", [self.model])))


class Waiting(TestCase):
    def test_who_waits_and_why_is_told_once_a_second(self):
        floor = Floor(1, models=20, engines=3)
        seen = []
        kept = floor.scene._do
        floor.scene._do = lambda effects: (seen.extend(effects), kept(effects))
        for item in floor.items:
            floor.ask(item)
        floor.run(5, lambda rng: None)
        told = [e.facts for e in seen if isinstance(e, LogLine) and e.what == "waiting"]
        self.assertThat(len(told), Equals(5))
        self.assertThat(told[0]["missing"], GreaterThan(0))
        self.assertThat(list(told[0]["heldUp"]), Contains("engine busy"))
