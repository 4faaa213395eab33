"""The answers to changes are kept within bounds, and the newest one always."""

import json
import random

from adapter import configuration
from configuration import change_answers
from configuration import registry as registries
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


def invalid_document(number, routes=200):
    """A document whose routes are all invalid, with long texts in the failures."""
    found = made.configuration(random.Random(number), 5, routes=3)
    route = {**found["routes"][0], "transitLimitMs": "x" * 5000}
    found["routes"] = [{**route, "name": f"{n}.{'long' * 50}"} for n in range(routes)]
    for item in found["routes"][1:]:
        item.update(transitLimitMs=1000, kind="odd")
    found["routes"][0].update(transitLimitMs=1000, kind="odd")
    return found


class KeptAnswers(TestCase):
    def setUp(self):
        super().setUp()
        self.registry = registries.Registry(reader=configuration.READER)
        self.send("first", made.configuration(random.Random(1), 1), 0)

    def send(self, change, document, expect):
        body = {"expect": expect, "written": document, "partial": False, "change": change}
        record, answer, failure = registries.decide(self.registry, "written", body)
        if record is not None:
            registries.apply(self.registry, record)
        return record, answer, failure

    def test_hundreds_of_refusals_take_bounded_bytes(self):
        self.patch(change_answers, "MAX_TOTAL_BYTES", 64 << 10)
        document = invalid_document(1, routes=101)
        for number in range(60):
            record, _, failure = self.send(f"c{number}", document, 1)
            self.assertThat(len(record), LessThan(6000))
            self.assertThat(len(failure.fields), Equals(100), "the first answer isn't truncated")
        size = len(json.dumps(self.registry.changes))
        self.assertThat(size, LessThan((64 << 10) + 20_000))
        self.assertThat(len(registries.dump(self.registry)), LessThan(100_000))
        _, _, again = self.send("c59", document, 1)
        self.assertThat(again.status, Equals(422))
        self.assertThat(again.body["failure"], Equals("layout-wrong"))
        self.assertThat(len(again.body["fields"]), GreaterThan(0))

    def test_many_short_answers_are_all_kept(self):
        for number in range(change_answers.MAX_ANSWERS + 50):
            stale = {**made.configuration(random.Random(2), 9), "edition": 9}
            self.send(f"{number:032d}", stale, 8)
        self.assertThat(len(self.registry.changes), GreaterThan(3000))
        self.assertThat(len(self.registry.changes), LessThan(change_answers.MAX_ANSWERS + 1))
        _, _, again = self.send(f"{change_answers.MAX_ANSWERS + 49:032d}", {}, 0)
        self.assertThat(again.status, Equals(409))

    def test_all_followers_keep_the_same_answers(self):
        """Also a follower that was started from a checkpoint in between."""
        self.patch(change_answers, "MAX_TOTAL_BYTES", 64 << 10)
        follower = registries.load(registries.dump(self.registry), reader=configuration.READER)
        rng = random.Random(3)
        for number in range(120):
            document = invalid_document(number, routes=rng.randrange(1, 60))
            record, _, _ = self.send(f"c{number}", document, 1)
            registries.apply(follower, record)
            if number % 30 == 20:
                follower = registries.load(registries.dump(follower), reader=configuration.READER)
        self.assertThat(follower.changes, Equals(self.registry.changes))
        self.assertThat(list(follower.changes), Equals(list(self.registry.changes)))

    def test_a_very_long_text_is_cut(self):
        document = made.configuration(random.Random(4), 5)
        document["routes"][0]["transitLimitMs"] = "x" * 1_000_000
        record, _, _ = self.send("long", document, 1)
        self.assertThat(len(record), LessThan(6000))
