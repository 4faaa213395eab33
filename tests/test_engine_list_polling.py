"""Reading the platform's engine list: by pages, complete or not at all, logging only changes."""

import random

from configuration import registry as registries
from placement import engine_list_polling
from placement.state import PlacerSettings
from testtools import TestCase
from testtools.matchers import Equals
from transport.events import CallEnded

TERMS = PlacerSettings(
    call_timeout_ms=100.0, report_interval_ms=100.0, unreachable_ms=1000.0, list_interval_ms=200.0
)


def entry(name, **facts):
    return {
        "name": name,
        "state": "join",
        "service": "s",
        "zone": "z",
        "url": f"http://{name}",
        "slots": 4,
        "warmMs": 0,
        **facts,
    }


class List:
    """A list in pages, its reader, and the registry that changes are logged in."""

    def __init__(self):
        self.poll, self.registry = engine_list_polling.EngineListPoll(), registries.Registry()
        self.engines, self.now_ms, self.pages = [], 1000.0, 1

    def round(self, fails=None):
        """Read the whole list once; page `fails` answers 429.  Returns what is logged."""
        self.now_ms += 300
        effects = engine_list_polling.tick(self.poll, self.now_ms, TERMS, "http://p", "0|1")
        size, page, changed = -(-len(self.engines) // self.pages) or 1, 0, []
        while effects:
            (call,) = effects
            at = int(call.body["token"] or 0)
            rest = self.engines[at + size :]
            told = CallEnded(
                call.id,
                200,
                {"engines": self.engines[at : at + size], "next": str(at + size) if rest else None},
            )
            if page == fails:
                told = CallEnded(call.id, 429, {})
            effects, changed = engine_list_polling.on_called(
                self.poll,
                self.now_ms,
                call.id.split("|", 2)[2],
                told,
                self.registry,
                TERMS,
                "http://p",
                "0|1",
            )
            page += 1
        if changed:
            record, _, failure = registries.decide(self.registry, "engines", {"engines": changed})
            assert failure is None, failure
            registries.apply(self.registry, record)
        return changed


class EngineListPolling(TestCase):
    def setUp(self):
        super().setUp()
        self.list = List()
        self.list.engines = [entry(f"e{n}") for n in range(7)]

    def names(self):
        return sorted(self.list.registry.engines)

    def test_pages(self):
        for pages in (1, 2, 3, 7):
            self.list.pages = pages
            self.list.round()
            self.assertThat(self.names(), Equals([f"e{n}" for n in range(7)]))
            self.assertThat(self.list.round(), Equals([]))

    def test_a_failed_page_changes_nothing(self):
        self.list.pages = 3
        for fails in (0, 1, 2):
            self.assertThat(self.list.round(fails), Equals([]))
            self.assertThat(self.names(), Equals([]))
        self.list.round()
        gone = self.list.engines.pop(0)
        for fails in (0, 1, 2):
            self.assertThat(self.list.round(fails), Equals([]))
            self.assertThat(self.names()[0], Equals(gone["name"]))
        self.assertThat(
            [(e["name"], e["state"]) for e in self.list.round()], Equals([("e0", "gone")])
        )
        self.assertThat(self.names()[0], Equals("e1"))

    def test_a_response_of_an_earlier_round_changes_nothing(self):
        poll, registry = engine_list_polling.EngineListPoll(), registries.Registry()
        (first,) = engine_list_polling.tick(poll, 1000.0, TERMS, "http://p", "0|1")
        engine_list_polling.tick(poll, 1300.0, TERMS, "http://p", "0|1")
        told = CallEnded(first.id, 200, {"engines": [entry("e0")], "next": None})
        self.assertThat(
            engine_list_polling.on_called(
                poll, 1310.0, first.id.split("|", 2)[2], told, registry, TERMS, "http://p", "0|1"
            ),
            Equals(([], [])),
        )

    def test_the_interval_between_rounds_is_kept(self):
        poll = engine_list_polling.EngineListPoll()
        times = [
            ms
            for ms in range(1000, 5000, 10)
            if engine_list_polling.tick(poll, float(ms), TERMS, "http://p", "0|1")
        ]
        self.assertThat({b - a for a, b in zip(times, times[1:])}, Equals({200}))
        self.assertThat(
            engine_list_polling.tick(
                engine_list_polling.EngineListPoll(), 1000.0, TERMS, "", "0|1"
            ),
            Equals([]),
        )

    def test_a_change_of_state_is_logged_once(self):
        self.list.round()
        self.list.engines[2] = entry("e2", state="leaving")
        self.assertThat([e["name"] for e in self.list.round()], Equals(["e2"]))
        self.assertThat(self.list.round(), Equals([]))

    def test_warm_up_is_logged_once_and_again_if_extended(self):
        self.list.engines[1] = entry("e1", warmMs=5000)
        self.assertThat(len(self.list.round()), Equals(7))
        self.assertThat(self.list.registry.engines["e1"]["warmMs"], Equals(5000))
        told = []
        for left_ms in (4700, 4400, 4100, 9000, 8700, 8400, 0, 0):
            self.list.engines[1] = entry("e1", warmMs=left_ms)
            told.append([(e["name"], e["warmMs"]) for e in self.list.round()])
        self.assertThat(told, Equals([[], [], [], [("e1", 9000)], [], [], [], []]))

    def test_the_registry_matches_the_list(self):
        """Random lists, pages and failures: after a complete round, both are equal."""
        rng, known = random.Random(9), [f"e{n}" for n in range(20)]
        for _ in range(200):
            self.list.pages = rng.randrange(1, 5)
            self.list.engines = [
                entry(n, state=rng.choice(["join", "leaving"]), zone=rng.choice("xy"))
                for n in known
                if rng.random() < 0.7
            ]
            before = dict(self.list.registry.engines)
            if rng.random() < 0.3:
                self.list.round(0)
                self.assertThat(self.list.registry.engines, Equals(before))
                continue
            self.list.round()
            want = {e["name"]: (e["state"], e["zone"]) for e in self.list.engines}
            self.assertThat(
                {n: (e["state"], e["zone"]) for n, e in self.list.registry.engines.items()},
                Equals(want),
            )
