"""The count of orders that an engine has taken: learned, advanced and invalidated."""

import test_order_repeats
from adapter import engines
from placement import engine_view
from placement.engine_view import EngineView, Report
from simulation.placing import PlainEngine, _ordered
from testtools import TestCase
from testtools.matchers import Equals, Not


def report(orders, asked_ms, busy=False):
    return Report("i", 1, 1, {}, asked_ms, busy, orders)


class Counts(TestCase):
    def setUp(self):
        super().setUp()
        self.view = EngineView()

    def read(self, told, now_ms=100.0):
        self.view.report = told
        engine_view.learn_count(self.view, now_ms, told)

    def state(self):
        return engine_view.count_known(self.view), engine_view.expected_count(self.view)

    def outdated(self, told):
        return engine_view.is_outdated(self.view, told)

    def test_nothing_is_known_before_a_report(self):
        self.assertThat(self.state(), Equals((False, None)))
        self.read(report(4, 90.0, busy=True))
        self.assertThat(self.state(), Equals((False, None)))
        self.read(report(4, 90.0))
        self.assertThat(self.state(), Equals((True, 4)))

    def test_an_engine_that_keeps_no_count_gets_orders_without_one(self):
        self.read(report(None, 90.0))
        self.assertThat(self.state(), Equals((True, None)))
        self.assertFalse(self.outdated(report(None, 0.0)))

    def test_each_taken_order_advances_the_count_once(self):
        self.read(report(4, 90.0))
        engine_view.order_taken(self.view, 110.0, 4)
        self.assertThat(self.state(), Equals((True, 5)))
        engine_view.order_taken(self.view, 120.0, 4)
        self.assertThat(self.state(), Equals((True, 5)))

    def test_an_earlier_report_is_outdated_and_a_later_one_is_used(self):
        self.read(report(4, 90.0))
        engine_view.order_taken(self.view, 110.0, 4)
        self.assertTrue(self.outdated(report(4, 110.0)))
        self.assertFalse(self.outdated(report(5, 105.0)))
        late = report(4, 111.0)
        self.assertFalse(self.outdated(late))
        self.read(late)
        self.assertThat(self.state(), Equals((True, 4)))

    def test_an_invalidated_count_is_learned_from_a_later_report_of_an_idle_engine(self):
        self.read(report(4, 90.0))
        engine_view.invalidate_count(self.view, 120.0)
        self.assertThat(self.state(), Equals((False, None)))
        self.assertTrue(self.outdated(report(4, 120.0)))
        self.assertFalse(self.outdated(report(5, 121.0)))
        self.read(report(5, 121.0, busy=True))
        self.assertThat(self.state(), Equals((False, None)))
        self.read(report(5, 130.0))
        self.assertThat(self.state(), Equals((True, 5)))

    def test_the_count_of_a_new_incarnation_is_unknown(self):
        self.read(report(4, 90.0))
        engine_view.invalidate_count(self.view, 120.0)
        engine_view.engine_restarted(self.view)
        self.assertFalse(self.outdated(report(0, 95.0)))
        self.assertThat(self.state()[1], Equals(None))


class ExpectedCounts(test_order_repeats.Orders):
    """The counts that orders name, after their responses and reports."""

    def report(self, items, at, busy=False, orders=3):
        super().report(items, at, busy, orders)

    def named(self):
        return self.calls[-1].body.get("expected")

    def test_each_call_names_the_count_that_it_must_find(self):
        order = self.give()
        self.assertThat(self.named(), Equals(3))
        self.answer(order, 202)
        self.now_ms += 1000
        (call,) = self.due()
        self.assertThat(call.body["expected"], Equals(4))
        self.answer(call.id.split("|", 2)[2], 200)
        self.carried_out("unload")
        self.assertThat(self.named(), Equals(4))
        self.answer(self.give(), 202)
        self.assertThat(self.named(), Equals(5))

    def test_a_delayed_call_is_refused_when_it_arrives(self):
        """A report settles the order while its repeated call is in flight.  The model is unloaded,
        another one is loaded in its room, and then the call arrives."""
        sizes = {i: (100.0, 0) for i in ("other", self.model, "next")}
        engine = PlainEngine("e0", sizes, 200.0, 8, 100.0, {"other"}, count=3)
        self.answer(self.give(), _ordered(engine, 0.0, "load", self.model, self.named()))
        engine.items, engine.order = {"other", self.model}, ()
        self.now_ms += 1000
        (held_up,) = self.due()
        self.now_ms += 1000
        self.answer(held_up.id.split("|", 2)[2], 0)
        self.report(["other", self.model], at=self.now_ms - 10, orders=4)
        self.assertThat(self.state(), Equals("loaded"))
        self.answer(self.give("unload"), _ordered(engine, 0.0, "unload", self.model, self.named()))
        engine.order = ()
        self.assertThat(_ordered(engine, 0.0, "load", "next", 5), Equals(202))
        engine.items, engine.order = {"other", "next"}, ()
        body = held_up.body
        self.assertThat(
            _ordered(engine, 0.0, "load", body["item"], body.get("expected")), Equals(409)
        )
        self.assertThat(engine.broken, Equals([]))

    def test_after_a_refusal_no_order_is_given_until_a_later_report(self):
        self.answer(self.give(), 409)
        self.assertFalse(engine_view.count_known(self.p.engines["e0"]))
        self.report(["other"], at=self.now_ms - 1, orders=7)
        self.assertFalse(engine_view.count_known(self.p.engines["e0"]))
        self.now_ms += 500
        self.report(["other"], at=self.now_ms - 10, orders=7)
        self.give()
        self.assertThat(self.named(), Equals(7))

    def test_a_report_from_before_an_order_settles_nothing(self):
        """It was requested later, but shows fewer orders than have been taken."""
        self.answer(self.give(), 202)
        self.report(["other"], at=self.now_ms, orders=3)
        self.assertThat(self.state(), Equals("taken"))

    def test_an_unsent_order_leaves_the_count_known(self):
        self.answer(self.give(), 0, begun=False)
        self.assertTrue(engine_view.count_known(self.p.engines["e0"]))


class Wire(TestCase):
    def body(self, **told):
        ask = engines.call_ask(
            "http://e", "load", {"engine": "i", "holder": "n", "epoch": 2, "item": "m", **told}
        )
        return ask.body.decode()

    def test_an_order_names_its_count_if_it_has_one(self):
        self.assertThat(self.body(expected=0), Equals(self.body()[:-1] + ', "expectedCount": 0}'))
        self.assertThat("expectedCount" in self.body(expected=None), Equals(False))

    def test_a_report_has_the_count_or_none(self):
        for told, count in (("7", 7), ("true", None), ('"7"', None), ("null", None), ("7.5", None)):
            found = engines.read_call(
                "report", {"engine": "i"}, 200, b'{"parcels": [], "callSeq": %s}' % told.encode()
            )
            self.assertThat(found["orders"], Equals(count), told)
        found = engines.read_call("report", {"engine": "i"}, 200, b'{"parcels": []}')
        self.assertThat((found["orders"], found), Not(Equals((None, {}))))
