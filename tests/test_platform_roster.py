"""Following the platform's list: page by page, whole or not at all, news only."""

import random

from configuration import registry as registries
from placement import roster
from placement.state import Terms
from testtools import TestCase
from testtools.matchers import Equals
from transport.events import CallEnded

TERMS = Terms(call_ms=100.0, report_ms=100.0, dark_ms=1000.0, list_ms=200.0)


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
    """A list in pages, its reader, and the registry that its news is logged in."""

    def __init__(self):
        self.roster, self.registry = roster.Roster(), registries.Registry()
        self.engines, self.now_ms, self.pages = [], 1000.0, 1

    def round(self, fails=None):
        """One reading of the whole list; page `fails` answers 429.  What is logged."""
        self.now_ms += 300
        effects = roster.tick(self.roster, self.now_ms, TERMS, "http://p", "0|1")
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
            effects, changed = roster.on_called(
                self.roster,
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


class Roster(TestCase):
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

    def test_a_failing_page_says_nothing(self):
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

    def test_an_answer_of_an_earlier_round_says_nothing(self):
        r, registry = roster.Roster(), registries.Registry()
        (first,) = roster.tick(r, 1000.0, TERMS, "http://p", "0|1")
        roster.tick(r, 1300.0, TERMS, "http://p", "0|1")
        told = CallEnded(first.id, 200, {"engines": [entry("e0")], "next": None})
        self.assertThat(
            roster.on_called(
                r, 1310.0, first.id.split("|", 2)[2], told, registry, TERMS, "http://p", "0|1"
            ),
            Equals(([], [])),
        )

    def test_not_sooner_than_it_may(self):
        r = roster.Roster()
        times = [
            ms
            for ms in range(1000, 5000, 10)
            if roster.tick(r, float(ms), TERMS, "http://p", "0|1")
        ]
        self.assertThat({b - a for a, b in zip(times, times[1:])}, Equals({200}))
        self.assertThat(roster.tick(roster.Roster(), 1000.0, TERMS, "", "0|1"), Equals([]))

    def test_a_change_of_state_is_news_once(self):
        self.list.round()
        self.list.engines[2] = entry("e2", state="leaving")
        self.assertThat([e["name"] for e in self.list.round()], Equals(["e2"]))
        self.assertThat(self.list.round(), Equals([]))

    def test_warm_up_is_news_once_and_again_when_colder(self):
        self.list.engines[1] = entry("e1", warmMs=5000)
        self.assertThat(len(self.list.round()), Equals(7))
        self.assertThat(self.list.registry.engines["e1"]["warmMs"], Equals(5000))
        told = []
        for left_ms in (4700, 4400, 4100, 9000, 8700, 8400, 0, 0):
            self.list.engines[1] = entry("e1", warmMs=left_ms)
            told.append([(e["name"], e["warmMs"]) for e in self.list.round()])
        self.assertThat(told, Equals([[], [], [], [("e1", 9000)], [], [], [], []]))

    def test_the_registry_holds_what_the_list_says(self):
        """Random lists, pages and failures: after a whole reading they are the same."""
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
