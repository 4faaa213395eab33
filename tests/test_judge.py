"""The judge of real processes: what it compares, and a short run of it."""

import random
from dataclasses import replace

from simulation.judge.comparison import differences
from simulation.judge.ledger import Answered, Ledger, Run, SentTry
from simulation.judge.operators import Order, unanswered
from simulation.judge.starvation import Asked, starved
from simulation.judge.trial import Plan, judge
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

SENT = SentTry(
    "t1", "unsafe", frozenset({"s"}), "POST", "/a?q", ("t1", "m"), "3.ab", True, at_ms=1.0
)
RUN = Run("e1", "s", "t1", "POST", "/a?q", ("t1", "m"), "3.ab", 0, at_ms=2.0)
TOLD = Answered("t1", 200, whole=True, good=True, stamped=True)


def broken(sent=(SENT,), ran=(RUN,), answered=(TOLD,)):
    return [d.rule for d in differences(Ledger(list(sent), list(ran), list(answered)))]


class Compared(TestCase):
    def test_what_ran_as_sent_is_right(self):
        self.assertThat(broken(), Equals([]))
        again = replace(RUN, engine="e2")
        self.assertThat(broken([replace(SENT, kind="safe")], [RUN, again]), Equals([]))

    def test_each_change_is_seen(self):
        for change in (
            {"method": "GET"},
            {"target": "/a"},
            {"fields": ("t1", "")},
            {"body": "2.cd"},
            {"id": "t9"},
        ):
            self.assertThat(broken(ran=[replace(RUN, **change)]), Equals(["UNASKED"]), str(change))

    def test_what_was_never_sent_whole(self):
        self.assertThat(broken([replace(SENT, whole=False)]), Equals(["UNASKED"]))

    def test_another_service(self):
        self.assertThat(broken(ran=[replace(RUN, service="other")]), Equals(["ROUTE"]))

    def test_a_second_run(self):
        self.assertThat(broken(ran=[RUN, replace(RUN, engine="e2")]), Equals(["TWICE"]))

    def test_a_promise_after_a_run(self):
        self.assertThat(broken(answered=[replace(TOLD, status=503)]), Equals(["REFUSED"]))
        self.assertThat(broken(ran=[], answered=[replace(TOLD, status=503)]), Equals([]))

    def test_answers_that_are_not_the_engines(self):
        for change in ({"good": False}, {"stamped": False}, {"others": True}):
            self.assertThat(broken(answered=[replace(TOLD, **change)]), Equals(["MIXED"]))
        self.assertThat(broken(answered=[replace(TOLD, whole=False, good=False)]), Equals([]))


class OrdersInTime(TestCase):
    def late(self, sent_ms, answered_ms, *unsettled):
        order = Order("PUT /config", sent_ms, answered_ms, 200, 1)
        return bool(unanswered([order], unsettled, 4000.0, 3000.0))

    def test_in_one_settled_stretch(self):
        self.assertThat(self.late(0.0, 3900.0), Equals(False))
        self.assertThat(self.late(0.0, 4100.0), Equals(True))

    def test_the_clock_starts_once_the_core_has_settled(self):
        self.assertThat(self.late(0.0, 8000.0, (1000.0, 1500.0)), Equals(False))
        self.assertThat(self.late(0.0, 9000.0, (1000.0, 1500.0)), Equals(True))
        self.assertThat(self.late(0.0, 4100.0, (5000.0, 6000.0)), Equals(True))


def asked(count, item="", subject="", kind="stream", served=False, span_ms=9000.0):
    items = (item,) if item else ()
    return [Asked(n * span_ms / count, kind, subject, items, served) for n in range(count)]


class Starvation(TestCase):
    def served(self, sort, count):
        return [
            request
            for n in range(count)
            for request in asked(12, **{sort: f"good{n}"}, served=True)
        ]

    def sorts(self, requests):
        return [group.sort for group in starved(requests)]

    def test_thresholds(self):
        """1 + 10 in 100 of the items and 2 + 4 in 100 of the subjects may be."""
        for sort, least, share in (("item", 1, 0.10), ("subject", 2, 0.04)):
            for never in range(1, 6):
                requests = self.served(sort, 20)
                for n in range(never):
                    requests += asked(40, **{sort: f"never{n}"}, span_ms=9500.0)
                beyond = never > least + share * (20 + never)
                self.assertThat(sort in self.sorts(requests), Equals(beyond), f"{sort} {never}")

    def test_seldom_or_briefly_asked_for_does_not_count(self):
        for count, span_ms in ((3, 9000.0), (40, 7000.0)):
            requests = self.served("item", 20)
            for n in range(6):
                requests += asked(count, item=f"never{n}", span_ms=span_ms)
            self.assertThat(self.sorts(requests), Equals([]))

    def test_a_kind_served_far_less_than_all(self):
        requests = asked(100, kind="a", served=True) + asked(10, kind="b")
        self.assertThat(self.sorts(requests), Equals(["kind"]))

    def test_nothing_asked_for(self):
        self.assertThat(starved([]), Equals([]))


class Judged(TestCase):
    def test_a_short_run_on_real_processes(self):
        """Callers in every manner, engines that break, double and spoil answers, frozen and
        killed nodes, addresses that go to another service."""
        report = judge(Plan(random.Random(3).randrange(1000), 12.0, 1500, callers=6))
        self.assertThat(report.broken, Equals([]))
        self.assertThat(report.ran, GreaterThan(100))

    def test_a_broken_node_is_seen(self):
        report = judge(Plan(4, 6.0, 300, callers=4, faults=False, mutant="stale-headers"))
        self.assertThat("UNASKED" in {found["rule"] for found in report.broken}, Equals(True))
