"""What answers and reports prove of an order: what is charged, until what."""

import random

from adapter import configuration
from configuration import registry as registries
from placement import again, engine_reports, ledger, orders, placer, state, world
from replication.shard_log import ShardLog
from simulation import platform_made as made
from simulation.placing import SHARDS, TERMS, engine_facts
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Not
from transport.effects import EngineCall, Wake
from transport.events import CallEnded

ENDS_MS = 1e9


class OrdersHarness(TestCase):
    """One engine and a placer that gives it orders by hand."""

    def setUp(self):
        super().setUp()
        whole = made.configuration(random.Random(2), 1)
        self.service = whole["services"][0]["name"]
        self.registry = registries.Registry(reader=configuration.READER)
        record, _, failure = registries.decide(
            self.registry, "written", {"expect": 0, "written": whole, "partial": False}
        )
        self.assertThat(failure, Equals(None))
        registries.apply(self.registry, record)
        self.registry.engines["e0"] = self.facts = engine_facts("e0", self.service)
        self.model = whole["services"][0]["engine"]["parcels"][0]["name"]
        self.size_mb = world.size_of(self.registry, self.model)[0]
        self.p = state.Placer(1, 1, ShardLog(1, 1, ready=True))
        self.p.not_before_ms, self.now_ms, self.calls = 0.0, 1000.0, []
        self.report(["other"], at=900.0)

    def report(self, items, at, busy=False, orders=None):
        """A report asked for at a time, its lag taken off, and answered now."""
        engine_reports.on_report(
            self.p,
            self.now_ms,
            "e0",
            {
                "incarnation": "i",
                "roomMb": 1 << 40,
                "adapterPlaces": 1 << 20,
                "items": {i: "loaded" for i in items},
                "busy": busy,
                "orders": orders,
            },
            at,
            self.registry,
        )

    def give(self, verb="load"):
        """An order given and sent; its id."""
        orders.give(self.p, "e0", self.model, verb, self.size_mb, 0, self.service)
        self.p.held.waiting, waiting = [], self.p.held.waiting
        (call,) = placer.on_durable(
            self.p, self.now_ms, waiting[-1][1], self.registry, TERMS, ENDS_MS
        )
        self.assertThat(call.verb, Equals(verb))
        self.calls.append(call)
        return call.id.split("|", 2)[2]

    def answer(self, id_, code, begun=True):
        self.now_ms += 5
        placer.on_called(
            self.p, self.now_ms, id_, CallEnded("", code, {}, begun), self.registry, SHARDS, TERMS
        )

    def carried_out(self, verb):
        """An order that is taken, and done when it is given again."""
        self.answer(self.give(verb), 202)
        self.now_ms += 1000
        (call,) = self.due()
        self.answer(call.id.split("|", 2)[2], 200)

    def state(self):
        entry = self.p.ledger.engines["e0"].get(self.model)
        return entry and entry["state"]

    def due(self):
        """The calls that are due; the placer is woken when the next one is, and only
        if there is one to come."""
        found = again.due(self.p, self.now_ms, self.registry, self.service, TERMS, ENDS_MS)
        calls = [e for e in found if isinstance(e, EngineCall)]
        wakes = [e.at_ms for e in found if isinstance(e, Wake)]
        self.assertThat(len(calls) + len(wakes), Equals(len(found)))
        self.assertThat([at > self.now_ms for at in wakes], Equals([True] * len(wakes)))
        coming = self.state() == "taken"
        self.assertThat(len(wakes), Equals(1 if coming else 0))
        return calls


class Orders(OrdersHarness):
    def test_taken_then_settled_by_giving_it_again(self):
        order = self.give()
        self.assertThat((self.state(), self.due()), Equals(("intended", [])))
        self.answer(order, 202)
        self.assertThat((self.state(), self.due()), Equals(("taken", [])))
        asked = []
        for _ in range(200):
            self.now_ms += 10
            for call in self.due():
                asked.append(self.now_ms)
                id_ = call.id.split("|", 2)[2]
                self.assertThat(
                    (call.body["item"], call.body["order"], call.verb),
                    Equals((self.model, order, "load")),
                )
                self.answer(id_, {0: 409, 1: 202, 2: 0, 3: 503}.get(len(asked) - 1, 200))
                if len(asked) <= 4:
                    self.assertThat(self.state(), Equals("taken"))
        self.assertThat((self.state(), len(asked)), Equals(("loaded", 5)))

    def test_unloads_settle_alike(self):
        id_ = self.give()
        self.answer(id_, 200)
        self.assertThat(self.state(), Equals("loaded"))
        self.answer(self.give("unload"), 202)
        self.assertThat(self.state(), Equals("taken"))
        self.now_ms += 1000
        (call,) = self.due()
        self.assertThat(call.verb, Equals("unload"))
        self.answer(call.id.split("|", 2)[2], 200)
        self.assertThat(self.state(), Equals(None))

    def test_refused_frees_the_charge(self):
        before = ledger.charged(self.p.ledger, "e0")
        for code in (409, 412, 421, 400, 503):
            self.answer(self.give(), code)
            self.assertThat(self.state(), Equals(None), str(code))
            self.assertThat(ledger.charged(self.p.ledger, "e0"), Equals(before))
            self.assertThat(self.p.demand.pauseMs["e0"], GreaterThan(self.now_ms))
        self.answer(self.give(), 0, begun=False)
        self.assertThat(self.state(), Equals(None))

    def test_refused_unload_is_still_there(self):
        self.answer(self.give(), 200)
        for code in (409, 412, 421):
            self.answer(self.give("unload"), code)
            self.assertThat(self.state(), Equals("loaded"))

    def test_no_answer_stays_charged_until_later_reports(self):
        usedMb, _ = ledger.charged(self.p.ledger, "e0")
        self.answer(self.give(), 0)
        self.assertThat(self.state(), Equals("unknown"))
        self.now_ms += 500
        self.report(["other"], at=self.now_ms - 510)
        self.assertThat(self.state(), Equals("unknown"))
        self.report(["other"], at=self.now_ms - 10)
        self.assertThat(self.state(), Equals("unknown"))
        self.assertThat(ledger.charged(self.p.ledger, "e0")[0], Equals(usedMb + self.size_mb))
        self.now_ms += 500
        self.report(["other"], at=self.now_ms - 10)
        self.assertThat(
            (self.state(), ledger.charged(self.p.ledger, "e0")[0]), Equals((None, usedMb))
        )

    def test_no_answer_and_a_report_that_has_it(self):
        self.answer(self.give(), 0)
        self.now_ms += 100
        self.report(["other", self.model], at=self.now_ms - 10)
        self.assertThat(self.state(), Equals("loaded"))

    def test_a_report_older_than_the_order_proves_nothing(self):
        self.answer(self.give(), 200)
        self.answer(self.give("unload"), 202)
        self.now_ms += 300
        self.report(["other"], at=self.now_ms - 320)
        self.assertThat(self.state(), Equals("taken"))
        self.report(["other"], at=self.now_ms - 10)
        self.assertThat(self.state(), Equals(None))
        self.answer(self.give(), 200)
        self.report(["other"], at=self.now_ms - 20)
        self.assertThat(self.state(), Equals("loaded"))

    def test_an_item_that_came_up_is_not_found_twice_by_an_old_report(self):
        """A report from before an unload was done doesn't bring the item back."""
        self.answer(self.give(), 200)
        self.carried_out("unload")
        self.report(["other", self.model], at=self.now_ms - 50)
        self.assertThat(list(self.p.ledger.engines["e0"]), Not(Contains(self.model)))

    def test_busy_reports_leave_open_orders_open(self):
        for code in (202, 0):
            id_ = self.give()
            self.answer(id_, code)
            before = self.state()
            for _ in range(3):
                self.now_ms += 500
                self.report(["other"], at=self.now_ms - 10, busy=True)
                self.assertThat(self.state(), Equals(before))
            self.now_ms += 500
            self.report(["other"], at=self.now_ms - 10)
            self.now_ms += 500
            self.report(["other"], at=self.now_ms - 10)
            self.assertThat(self.state(), Equals(None))

    def test_nothing_is_given_again_near_the_grants_end(self):
        self.answer(self.give(), 202)
        self.now_ms += 5000
        self.assertThat(
            again.due(
                self.p,
                self.now_ms,
                self.registry,
                self.service,
                TERMS,
                self.now_ms + TERMS.call_ms - 1,
            ),
            Equals([]),
        )

    def test_a_new_life_forgets(self):
        self.answer(self.give(), 200)
        self.now_ms += 100
        engine_reports.on_report(
            self.p,
            self.now_ms,
            "e0",
            {"incarnation": "j", "roomMb": 1 << 40, "adapterPlaces": 1 << 20, "items": {}},
            self.now_ms - 10,
            self.registry,
        )
        self.assertThat(self.p.ledger.engines["e0"], Equals({}))


class Unloading(TestCase):
    def test_a_models_adapters_go_with_it(self):
        """The engine drops them, so an adapter on the way out, or gone, is up nowhere."""
        kept = ledger.Ledger()
        for item in ("m", "m/a1", "n", "n/a1"):
            ledger.apply(kept, ledger.order_record("e", item, "load", f"o{item}", 1, 0, "s"))
            ledger.apply(kept, ledger.state_record("e", item, f"o{item}", "loaded"))
        ledger.apply(kept, ledger.order_record("e", "m", "unload", "u", 1, 0, "s"))
        self.assertFalse(ledger.loaded(kept, "e", "m/a1"), "its model is being unloaded")
        ledger.apply(kept, ledger.state_record("e", "m", "u", "unloaded"))
        self.assertThat(sorted(kept.engines["e"]), Equals(["n", "n/a1"]))
        self.assertTrue(ledger.loaded(kept, "e", "n/a1"))
