"""Changes of tenants: their cost depends on what they change only, and the check of the changed
items agrees with the check of the whole document and with a plain model."""

import copy
import json
import random

from adapter import configuration
from configuration import checked_document, document_facts, documents
from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from simulation import platform_made as made
from test_change_cost import Counting, change, do, good_route
from test_platform_configuration import Operator, exact
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

READER = configuration.READER
TENANTS = 80
NAMES = ["a", "b", "c", "d"]
KEYS = ["k0", "k1", "k2", "k3", "k4"]


class Cost(TestCase):
    def setUp(self):
        super().setUp()
        self.counting = Counting()
        self.registry = registries.Registry(reader=self.counting.reader)
        rng = random.Random(1)
        self.whole = made.with_tenants(rng, made.configuration(rng, 1, routes=40), TENANTS)
        _, failure, self.first = do(self.registry, change(0, self.whole, partial=False))
        self.assertThat(failure, Equals(None))
        for schema in (document_facts.ROUTE, document_facts.SERVICE, document_facts.TENANT):
            self.patch(schema, "load", self.counting.counted_load(schema.load))

    def send(self, edition, body, partial=True):
        self.counting.read = self.counting.checked = 0
        _, failure, record = do(
            self.registry, change(edition - 1, {**body, "edition": edition}, partial)
        )
        self.assertThat(failure, Equals(None))
        return record

    def assert_few_read_and_checked(self):
        self.assertThat(self.counting.read, LessThan(8))
        self.assertThat(self.counting.checked, LessThan(8))

    def part(self, *numbers_and_keys):
        """A partial change: of each tenant, given by its number, followed by its one new key."""
        pairs = zip(numbers_and_keys[::2], numbers_and_keys[1::2])
        items = [{**self.whole["senders"][number], "keys": [key]} for number, key in pairs]
        return {"upsert": {"senders": items}}

    # A change of one tenant must not read and check all tenants, routes and services.
    def test_a_change_of_one_tenant_reads_and_checks_few_items(self):
        self.send(2, self.part(0, "first"))
        for edition in range(3, 20):
            self.send(edition, self.part(edition, f"key {edition}"))
            self.assert_few_read_and_checked()
        gone = self.whole["senders"][30]["name"]
        self.send(20, {"remove": {"senders": [gone]}})
        self.assert_few_read_and_checked()

    # Keys that move to another tenant, or are free again, must not cost a check of the whole.
    def test_keys_that_move_cost_as_little(self):
        self.send(2, self.part(0, "first"))
        self.send(3, self.part(1, "one", 2, "two"))
        gone = self.whole["senders"][2]["name"]
        steps = (
            self.part(1, "two", 2, "one"),
            self.part(2, "two", 1, "one"),
            self.part(1, "free"),
            self.part(3, "one"),
            {"remove": {"senders": [gone]}},
            self.part(4, "two"),
        )
        for edition, body in enumerate(steps, 4):
            self.send(edition, body)
            self.assert_few_read_and_checked()

    # A whole configuration in which one tenant differs must not cost a check of the whole.
    def test_a_whole_configuration_with_one_change_checks_few_items(self):
        self.send(2, self.part(0, "first"))
        whole = copy.deepcopy(self.whole)
        whole["senders"][0]["keys"], whole["senders"][7]["keys"] = ["first"], ["other"]
        record = self.send(3, whole, partial=False)
        self.assert_few_read_and_checked()
        changed = json.loads(record)["set"]["senders"]
        self.assertThat(list(changed), Equals([whole["senders"][7]["name"]]))

    # A follower that applies a logged change must not read the items that it leaves alone.
    def test_a_follower_reads_only_the_changed_items_of_a_record(self):
        follower = registries.Registry(reader=self.counting.reader)
        registries.apply(follower, self.first)
        records = [self.send(e, self.part(e, f"key {e}")) for e in range(2, 30)]
        self.counting.read = 0
        for record in records:
            registries.apply(follower, record)
        self.assertThat(self.counting.read, LessThan(2 * len(records)))
        self.assertThat(follower.sections, Equals(self.registry.sections))


def tenants():
    return st.fixed_dictionaries(
        {"name": st.sampled_from(NAMES), "keys": st.lists(st.sampled_from(KEYS), max_size=2)},
        optional={
            "ratePerS": st.sampled_from([0, 5, 5.0, 5, 5, -1]),
            "classOfMail": st.sampled_from([0, 9, 1, 2, 3, 10]),
        },
    )


def differently_named(items):
    """Lists of items with different names."""
    return st.lists(items, max_size=3, unique_by=lambda item: item["name"])


def bodies():
    partial = st.fixed_dictionaries(
        {},
        optional={
            "upsert": st.fixed_dictionaries({}, optional={"senders": differently_named(tenants())}),
            "remove": st.fixed_dictionaries(
                {}, optional={"senders": st.lists(st.sampled_from(NAMES), max_size=2)}
            ),
        },
    ).map(lambda body: (body, True))
    whole = st.fixed_dictionaries(
        {
            "routes": st.just([good_route(0)]),
            "services": st.just([{"name": "s0"}]),
            "limits": st.sampled_from([0, 1]),
        },
        optional={"senders": differently_named(tenants())},
    ).map(lambda body: (body, False))
    return st.one_of(partial, partial, partial, whole)


def is_valid(whole):
    """A plain model of validity: each key is compared with every other one."""
    items = whole.get("senders", [])
    for number, item in enumerate(items):
        for other in items[:number]:
            if any(key == another for key in item["keys"] for another in other["keys"]):
                return False
        if item.get("ratePerS", 0) < 0 or item.get("classOfMail", 0) > 9:
            return False
    return True


FIRST = {
    "edition": 1,
    "routes": [good_route(n) for n in range(2)],
    "services": [{"name": "s0"}],
    "senders": [{"name": "a", "keys": ["k0"]}, {"name": "b", "keys": ["k1", "k2"]}],
}


class SameAnswers(TestCase):
    # The check of the changed items, the check of the whole document and the plain model must
    # give the same result.
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(bodies(), max_size=12))
    def test_answers_equal_those_of_the_check_of_the_whole(self, changes):
        registry, whole = registries.Registry(reader=READER), FIRST
        do(registry, change(0, FIRST, partial=False))
        for turn, (body, partial) in enumerate(changes):
            now = registry.document
            body = {**body, "edition": now["edition"] + 1}
            expected, failed = documents.evaluate_change(
                READER, now, change(now["edition"], body, partial)
            )
            sent = {**change(now["edition"], body, partial), "change": f"turn {turn}"}
            record, _, failure = registries.decide(registry, "written", sent)
            after = made.patched(whole, body) if partial else body
            assert failure == failed
            assert (failure is None) == is_valid(after)
            if failure is None:
                whole, found = after, json.loads(record)
                assert {k: found[k] for k in expected} == json.loads(json.dumps(expected))
            registries.apply(registry, record)
            assert exact(json.loads(documents.operator_form(READER, registry.document))) == exact(
                whole
            )
            fresh = checked_document.read_whole(READER, registry.document)
            assert registry.sections[document_facts.OWNER] == documents.to_section(fresh)
            assert list(registries.tenants(registry)) == [
                item["name"] for item in whole.get("senders", [])
            ]


class Random(TestCase):
    # Changes of tenants among other changes: valid, stale and repeated ones, with restarts.
    def test_against_a_plain_model(self):
        for seed in range(12):
            rng, operator, sent, accepted = random.Random(seed), Operator(), [], 0
            whole = made.with_tenants(rng, made.configuration(rng, 1, routes=2))
            self.assertThat(operator.send("PUT", whole, 0)[0], Equals(200))
            for _ in range(30):
                edition = whole["edition"]
                step = rng.choice(["put", "patch", "tenants", "tenants", "stale", "again"])
                if step == "again" and sent:
                    call, code = rng.choice(sent)
                    self.assertThat(operator.send(*call)[0], Equals(code))
                    continue
                if step == "put":
                    body = made.configuration(rng, edition + 2, routes=2)
                    body = made.with_tenants(rng, body) if rng.random() < 0.7 else body
                    call = "PUT", body, edition
                elif step == "patch":
                    call = "PATCH", made.patch(rng, whole, edition + 1), edition
                else:
                    body = made.tenants_patch(rng, whole, edition + 1)
                    call = "PATCH", body, edition - (step == "stale")
                code, _ = operator.send(*call)
                sent.append((call, code))
                self.assertThat(code, Equals(412 if step == "stale" else 200))
                if code == 200:
                    accepted += 1
                    whole = call[1] if call[0] == "PUT" else made.patched(whole, call[1])
                self.assertThat(operator.read_back(), Equals(exact(whole)))
                found = registries.tenants(operator.registry)
                self.assertThat(
                    {name: facts["keys"] for name, facts in found.items()},
                    Equals({item["name"]: item["keys"] for item in whole.get("senders", ())}),
                )
                if rng.random() < 0.2:
                    operator.registry = registries.load(
                        registries.dump(operator.registry), reader=configuration.READER
                    )
            self.assertThat(accepted, GreaterThan(5))
