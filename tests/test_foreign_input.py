"""Figures from outside that no process can compute with: each is refused where it comes in."""

import copy
import json
import random

from adapter.configuration import READER
from adapter.dialect import DIALECT
from configuration import engine_list
from configuration import registry as registries
from placement import engine_list_polling, engine_reports, engine_view
from placement.state import PlacerSettings
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is
from transport.effects import LogLine
from transport.events import CallEnded

# Neither fits into a floating-point number, with which every node computes.
HUGE = 10**400
ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "open",
    "warmupLeftMs": 0,
}
WRONG_ENTRIES = (
    {"slots": HUGE},
    {"warmupLeftMs": HUGE},
    {"slots": None},
    {"slots": float("inf")},
    {"id": "i\r\nX-Tokens: 9"},
    {"id": "i-\u0159"},
    {"id": "i" * 10_000},
    {"address": "no such\naddress"},
    {"zone": 7},
)


def read_list(*entries):
    """The entries of a page of the platform's list, in the product's form."""
    data = json.dumps({"engines": entries, "nextToken": None}).encode()
    return DIALECT.read_engine_response("list", {}, 200, data).get("engines")


def report(**facts):
    """An engine's report in the product's form."""
    data = json.dumps({"parcels": [], "callSeq": 1, **facts}).encode()
    return DIALECT.read_engine_response("report", {"engine": "i-1"}, 200, data)


class EngineList(TestCase):
    """A poll of the engine list against a registry."""

    def setUp(self):
        super().setUp()
        self.poll, self.registry = engine_list_polling.EngineListPoll(), registries.Registry()
        self.settings = PlacerSettings(
            call_timeout_ms=100.0,
            report_interval_ms=100.0,
            unreachable_ms=1000.0,
            list_interval_ms=200.0,
        )
        self.now_ms = 1000.0

    def follow(self, *entries):
        """Read a list once; returns its effects.  The registry follows it."""
        self.now_ms += 300
        (call,) = engine_list_polling.tick(self.poll, self.now_ms, self.settings, "http://p", "0")
        told = CallEnded(call.id, 200, {"engines": read_list(*entries) or [], "next": None})
        effects, changed = engine_list_polling.on_called(
            self.poll, self.now_ms, call.id[2:], told, self.registry, self.settings, "http://p", "0"
        )
        if changed:
            record, _, failure = registries.decide(self.registry, "engines", {"engines": changed})
            self.assertThat(failure, Is(None))
            registries.apply(self.registry, record)
        return effects

    # FAULT: a size beyond a float's range was logged, and each counter's next request ended it.
    def test_a_wrong_entry_is_left_out_and_all_others_are_followed(self):
        for wrong in WRONG_ENTRIES:
            other = {**ENTRY, "id": f"i-{self.now_ms:.0f}"}
            effects = self.follow({**ENTRY, **wrong}, other)
            self.assertThat(list(self.registry.engines), Equals([other["id"]]), str(wrong)[:80])
            self.assertThat([type(effect) for effect in effects], Equals([LogLine]))

    def test_a_wrong_entry_leaves_an_engine_as_it_is_known(self):
        self.follow({**ENTRY, "warmupLeftMs": 5000})
        before = dict(self.registry.engines)
        for wrong in ({"slots": HUGE}, {"zone": 7}, {"warmupLeftMs": "x"}):
            self.follow({**ENTRY, **wrong})
            self.assertThat(self.registry.engines, Equals(before), str(wrong)[:80])
        self.follow({**ENTRY, "id": "i-2"})
        self.assertThat(list(self.registry.engines), Equals(["i-2"]))

    # FAULT: an entry that an earlier version logged must not end a process that reads it.
    def test_sizes_in_the_log_are_brought_within_bounds(self):
        engine = {"name": "i", "state": "join", "service": "s", "zone": "z", "url": "http://i"}
        record = {"k": "engines", "engines": [{**engine, "slots": HUGE, "warmMs": HUGE}]}
        content = json.dumps({**record, "stamp": 1, "change": ""}).encode()
        registries.apply(self.registry, content)
        kept = registries.load(registries.dump(self.registry)).engines["i"]
        for found in (self.registry.engines["i"], kept):
            self.assertThat(found["slots"] * 1.0 + found["warmMs"], Equals(2e12))
            self.assertThat(engine_list.entry_fault("i", {**found}), Is(None))


class Reports(TestCase):
    # FAULT: the planner adds up what engines say they run; one figure too large ended its process.
    def test_a_report_with_a_count_that_no_engine_reaches_is_ignored(self):
        for wrong in ({"inTransit": HUGE}, {"callSeq": HUGE}, {"callSeq": -1}, {"queued": HUGE}):
            body = report(**{"inTransit": 1, **wrong})
            self.assertThat(engine_reports._is_well_formed(body), Is(False), str(wrong)[:40])
        self.assertThat(engine_reports._is_well_formed(report(inTransit=1, queued=2)), Is(True))

    def test_a_report_with_more_items_than_an_engine_can_hold_is_ignored(self):
        parcels = [{"name": f"m{n}"} for n in range(30_000)]
        self.assertThat(engine_reports._is_well_formed(report(parcels=parcels)), Is(False))
        self.assertThat(engine_view.EngineView().report, Is(None))


class Sizes(TestCase):
    """Configurations of few bytes that stand for many items."""

    def setUp(self):
        super().setUp()
        rng = random.Random(1)
        self.whole = made.configuration(rng, 1)
        self.registry = registries.Registry(reader=READER)
        self.model = self.whole["services"][0]["engine"]["parcels"][0]

    def refusal(self, written, partial=False, expect=0):
        """The fields at fault in a change; the registry follows one without."""
        body = {"expect": expect, "written": written, "partial": partial}
        record, _, failure = registries.decide(self.registry, "written", body)
        if failure is not None:
            return [field.field for field in failure.fields]
        registries.apply(self.registry, record)
        return []

    def with_adapters(self, models, inserts):
        """The service of models with so many models, each with so many adapters."""
        service = copy.deepcopy(self.whole["services"][0])
        service["engine"]["parcels"] = [
            {**self.model, "name": f"m{n}", "inserts": inserts} for n in range(models)
        ]
        return service

    # FAULT: 300 models with 10,000 adapters each fit into 27 KB and took a registry 268 MB.
    def test_more_adapters_than_nodes_can_hold_are_refused(self):
        services = [self.with_adapters(300, 10_000), *self.whole["services"][1:]]
        self.assertThat(self.refusal({**self.whole, "services": services}), Contains("adapters"))

    def test_a_change_may_not_bring_them_either(self):
        self.assertThat(self.refusal(self.whole), Equals([]))
        written = {"edition": 2, "upsert": {"services": [self.with_adapters(300, 10_000)]}}
        self.assertThat(self.refusal(written, True, 1), Contains("adapters"))

    def test_the_size_aimed_at_is_accepted(self):
        services = [self.with_adapters(1_100, 3), *self.whole["services"][1:]]
        self.assertThat(self.refusal({**self.whole, "services": services}), Equals([]))

    def test_more_routes_than_nodes_can_hold_are_refused(self):
        route = self.whole["routes"][0]
        routes = [{**route, "name": f"r{n}", "host": f"h{n}"} for n in range(20_001)]
        self.assertThat(self.refusal({**self.whole, "routes": routes}), Contains("routes"))
        self.assertThat(self.refusal({**self.whole, "routes": routes[1:]}), Equals([]))
