"""Changes to a large configuration: the cost of a change depends on what it changes only, and its
answer is the same as if the whole document had been checked."""

import copy
import hashlib
import json
import random

from adapter import configuration
from configuration import checked_document, document_facts, documents
from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Equals, LessThan

READER = configuration.READER
ROUTES = 400


class Counting:
    """A Reader that counts the items that are read, and schemas that count those checked."""

    def __init__(self):
        self.read = self.checked = 0
        self.reader = documents.Reader(
            READER.edition,
            READER.routes,
            READER.services,
            READER.tenants,
            READER.upsert,
            READER.remove,
            self._counted(READER.route),
            self._counted(READER.service),
            self._counted(READER.tenant),
        )

    def _counted(self, real):
        def read(item):
            self.read += 1
            return real(item)

        return read

    def counted_load(self, real):
        def load(facts):
            self.checked += 1
            return real(facts)

        return load


def change(expect, written, partial=True):
    digest = hashlib.blake2b(f"{expect}{partial}{written}".encode(), digest_size=16)
    return {"expect": expect, "written": written, "partial": partial, "change": digest.hexdigest()}


def do(registry, body):
    """(answer, failure, record) of a change; its record is applied."""
    record, answer, failure = registries.decide(registry, "written", body)
    if record is not None:
        registries.apply(registry, record)
    return answer, failure, record


class Cost(TestCase):
    def setUp(self):
        super().setUp()
        self.counting = Counting()
        self.registry = registries.Registry(reader=self.counting.reader)
        self.whole = made.configuration(random.Random(1), 1, routes=ROUTES)
        answer, failure, _ = do(self.registry, change(0, self.whole, partial=False))
        self.assertThat(failure, Equals(None))
        for schema in (document_facts.ROUTE, document_facts.SERVICE):
            self.patch(schema, "load", self.counting.counted_load(schema.load))

    def send(self, body):
        self.counting.read = self.counting.checked = 0
        return do(self.registry, body)

    def patch_of(self, edition, number):
        route = {**self.whole["routes"][number], "transitLimitMs": 100 + edition}
        return change(edition - 1, {"edition": edition, "upsert": {"routes": [route]}})

    def test_a_change_of_one_item_reads_and_checks_few_items(self):
        self.send(self.patch_of(2, 0))
        for edition in range(3, 20):
            answer, failure, _ = self.send(self.patch_of(edition, edition))
            self.assertThat(failure, Equals(None))
            self.assertThat(self.counting.read, LessThan(8))
            self.assertThat(self.counting.checked, LessThan(8))

    def test_a_whole_document_with_one_change_checks_few_items(self):
        self.send(self.patch_of(2, 0))
        whole = copy.deepcopy(self.whole)
        whole["edition"], whole["routes"][7]["transitLimitMs"] = 3, 77
        whole["routes"][0]["transitLimitMs"] = 102
        _, failure, record = self.send(change(2, whole, partial=False))
        self.assertThat(failure, Equals(None))
        self.assertThat(self.counting.read, LessThan(8))
        self.assertThat(self.counting.checked, LessThan(8))
        self.assertThat(
            list(json.loads(record)["set"]["routes"]), Equals([whole["routes"][7]["name"]])
        )

    def test_a_follower_reads_only_the_changed_items_of_a_record(self):
        follower = registries.Registry(reader=self.counting.reader)
        records = [do(self.registry, self.patch_of(e, e))[2] for e in range(2, 30)]
        first = registries.decide(
            registries.Registry(reader=READER), "written", change(0, self.whole, False)
        )[0]
        registries.apply(follower, first)
        self.counting.read = 0
        for record in records:
            registries.apply(follower, record)
        self.assertThat(self.counting.read, LessThan(2 * len(records)))
        self.assertThat(follower.sections, Equals(self.registry.sections))


NAMES = [f"r{n}" for n in range(4)]
SERVICES = [f"s{n}" for n in range(3)]


def mostly(usual, *others):
    return st.sampled_from(list(usual) * 8 + list(others))


def routes():
    share = st.fixed_dictionaries(
        {"service": st.sampled_from(SERVICES), "share": mostly([1, 5], 0)}
    )
    return st.fixed_dictionaries(
        {
            "name": st.sampled_from(NAMES),
            "host": mostly(["a.example", "A.example", "b.example"]),
            "pathPrefix": mostly(["/", "/x/", "/1/"], "no"),
            "kind": mostly(["safe", "unsafe"], "odd"),
            "transitLimitMs": mostly([1000, 1000.0, 2000], 0, "many"),
            "split": st.lists(share, min_size=1, max_size=2),
        }
    )


def services():
    return st.fixed_dictionaries(
        {"name": st.sampled_from(SERVICES), "warmupS": mostly([0, 1, 1.0], -1, "x")}
    )


def good_route(n, service="s0"):
    return {
        "name": f"r{n}",
        "host": "a.example",
        "pathPrefix": f"/{n}/",
        "kind": "safe",
        "transitLimitMs": 1000,
        "split": [{"service": service, "share": 1}],
    }


def bodies():
    partial = st.fixed_dictionaries(
        {},
        optional={
            "upsert": st.fixed_dictionaries(
                {},
                optional={
                    "routes": st.lists(routes(), max_size=2),
                    "services": st.lists(services(), max_size=2),
                },
            ),
            "remove": st.fixed_dictionaries(
                {},
                optional={
                    "routes": st.lists(st.sampled_from(NAMES), max_size=2),
                    "services": st.lists(st.sampled_from(SERVICES), max_size=1),
                },
            ),
        },
    ).map(lambda body: (body, True))
    whole = st.fixed_dictionaries(
        {
            "routes": st.lists(routes(), max_size=4),
            "services": st.lists(services(), max_size=3),
            "rest": st.sampled_from([0, 1, 1.0, True]),
        }
    ).map(lambda body: (body, False))
    return st.one_of(partial, partial, partial, whole)


class SameAnswers(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(bodies(), max_size=12))
    def test_answers_equal_those_of_the_check_of_the_whole(self, changes):
        registry = registries.Registry(reader=READER)
        first = {
            "edition": 1,
            "routes": [good_route(n) for n in range(3)],
            "services": [{"name": name} for name in SERVICES],
        }
        do(registry, change(0, first, partial=False))
        accepted = 0
        for turn, (body, partial) in enumerate(changes):
            now = registry.document
            body = {**body, "edition": now["edition"] + 1}
            expected = documents.evaluate_change(READER, now, change(now["edition"], body, partial))
            sent = {**change(now["edition"], body, partial), "change": f"turn {turn}"}
            record, _, failure = registries.decide(registry, "written", sent)
            assert failure == expected[1]
            if failure is None:
                accepted += 1
                found = json.loads(record)
                assert {k: found[k] for k in expected[0]} == json.loads(json.dumps(expected[0]))
                assert list(found["set"]["routes"]) == list(expected[0]["set"]["routes"])
            registries.apply(registry, record)
            fresh = checked_document.read_whole(READER, registry.document)
            assert registry.sections[document_facts.OWNER] == documents.to_section(fresh)
