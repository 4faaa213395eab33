"""The checker of histories: what one copy could have answered, and what it couldn't."""

import itertools
import random

from simulation.linearizability import Operation, check
from simulation.register import model
from simulation.register.model import Change, ReadConfiguration, ReadZones, State, ZoneOrder
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

NEVER = float("inf")


def put(order, expect, edition, called, answered=NEVER, outcome=None, valid=True):
    change = Change(order, expect, edition, f'"{order}"', valid=valid)
    return Operation(order, change, called, answered, outcome)


def get(called, answered, edition, order):
    body = f'"{order}"' if order else ""
    return Operation("reader", ReadConfiguration(), called, answered, (edition, body))


def zone(evacuated, called, answered=NEVER, outcome=None):
    return Operation("zone", ZoneOrder("z", evacuated), called, answered, outcome)


def zones(called, answered, *names):
    return Operation("reader", ReadZones(), called, answered, frozenset(names))


class Histories(TestCase):
    def judged(self, *history):
        return check(history, State(), model.apply).linearizable

    def test_one_after_another(self):
        self.assertTrue(
            self.judged(
                put("a", 0, 3, 0, 1, 200),
                get(2, 3, 3, "a"),
                put("b", 3, 5, 4, 5, 200),
                get(6, 7, 5, "b"),
            )
        )

    def test_an_old_read(self):
        first = put("a", 0, 3, 0, 1, 200)
        later = put("b", 3, 5, 2, 4, 200)
        self.assertFalse(self.judged(first, later, get(5, 6, 3, "a")))
        self.assertTrue(self.judged(first, later, get(3, 6, 3, "a")), "they overlap")

    def test_reads_that_go_back(self):
        first, unclear = put("a", 0, 3, 0, 1, 200), put("b", 3, 5, 2)
        self.assertTrue(self.judged(first, unclear, get(3, 4, 3, "a"), get(5, 6, 5, "b")))
        self.assertFalse(self.judged(first, unclear, get(3, 4, 5, "b"), get(5, 6, 3, "a")))

    def test_two_confirmed_under_one_number(self):
        self.assertFalse(self.judged(put("a", 0, 3, 0, 9, 200), put("b", 0, 3, 0, 9, 200)))
        self.assertTrue(self.judged(put("a", 0, 3, 0, 9, 200), put("b", 0, 3, 0, 9, 412)))

    def test_a_change_sent_again(self):
        first, after = put("a", 0, 3, 0, 1, 200), put("b", 3, 5, 2, 3, 200)
        self.assertTrue(self.judged(first, after, put("a", 0, 3, 4, 5, 200), get(6, 7, 5, "b")))
        self.assertFalse(self.judged(first, after, put("a", 0, 3, 4, 5, 412)))
        self.assertFalse(self.judged(first, after, put("a", 0, 3, 4, 5, 200), get(6, 7, 3, "a")))

    def test_a_refusal_from_old_knowledge(self):
        first = put("a", 0, 3, 0, 1, 200)
        self.assertFalse(self.judged(first, put("b", 3, 5, 2, 3, 412)))
        self.assertFalse(self.judged(first, put("b", 3, 5, 2, 3, 400)))

    def test_what_was_refused_is_not_in_force(self):
        first = put("a", 0, 3, 0, 1, 200)
        self.assertFalse(self.judged(first, put("b", 2, 5, 2, 3, 412), get(4, 5, 5, "b")))

    def test_an_invalid_one_that_was_confirmed(self):
        self.assertFalse(self.judged(put("a", 0, 3, 0, 1, 200, valid=False)))
        self.assertTrue(self.judged(put("a", 0, 3, 0, 1, 400, valid=False)))

    def test_an_order_for_a_zone_is_never_refused(self):
        self.assertFalse(self.judged(zone(True, 0, 1, 412)))
        self.assertTrue(self.judged(zone(True, 0, 1, 200), zones(2, 3, "z")))
        self.assertFalse(self.judged(zone(True, 0, 1, 200), zones(2, 3)))

    def test_a_sending_that_has_its_effect_after_the_answer(self):
        """The first sending came late, when another operator had restored the zone."""
        early, taken = zone(True, 0, 4), zone(True, 3, 4, 200)
        restored = zone(False, 5, 6, 200)
        self.assertTrue(self.judged(early, taken, restored, zones(7, 8)))
        self.assertFalse(self.judged(early, taken, restored, zones(7, 8, "z")))


class AgainstAllOrders(TestCase):
    """Small random histories, judged by trying every order."""

    def test_alike(self):
        seen = {True: 0, False: 0}
        for seed in range(400):
            history = self.history(random.Random(seed))
            found = check(history, State(), model.apply).linearizable
            self.assertThat(found, Equals(self.by_hand(history)), str(seed))
            seen[found] += 1
        self.assertThat(min(seen.values()), GreaterThan(40))

    def history(self, rng):
        found = []
        for number in range(rng.randrange(2, 6)):
            called = rng.randrange(10)
            answered = called + rng.randrange(1, 6)
            kind = rng.random()
            if kind < 0.4:
                outcome = rng.choice([200, 200, 412, None])
                found.append(
                    put(
                        f"o{number}",
                        rng.choice([0, 3]),
                        rng.choice([3, 5]),
                        called,
                        answered if outcome else NEVER,
                        outcome,
                    )
                )
            elif kind < 0.6:
                edition, order = rng.choice([(0, ""), (3, "o0"), (5, "o1")])
                found.append(get(called, answered, edition, order))
            elif kind < 0.85:
                outcome = rng.choice([200, None])
                found.append(zone(rng.random() < 0.5, called, answered, outcome))
            else:
                found.append(zones(called, answered, *rng.choice([(), ("z",)])))
        return found

    def by_hand(self, history):
        answered = [o for o in history if o.outcome is not None]
        optional = [o for o in history if o.outcome is None]
        for count in range(len(optional) + 1):
            for extra in itertools.combinations(optional, count):
                if any(self.legal(order) for order in itertools.permutations([*answered, *extra])):
                    return True
        return False

    def legal(self, order):
        state, latest = State(), 0
        for operation in order:
            latest = max(latest, operation.called_ms)
            if latest > operation.answered_ms:
                return False
            state = model.apply(state, operation.action, operation.outcome)
            if state is None:
                return False
        return True
