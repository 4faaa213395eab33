"""The platform's configurations: whole and partial changes, refusals, reading back."""

import copy
import json
import random

from adapter import configuration
from configuration import documents
from configuration import registry as registries
from pulleyhitch.command_forwarding import CommandResult
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan
from transport import failures
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request


def request(method, body, match):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Request(
        EnvironBuilder(
            "/config", method=method, data=data, headers={"If-Match": str(match)}
        ).get_environ()
    )


class Operator:
    """Sends changes to a registry, as operators do to the lease holder of shard 0."""

    def __init__(self):
        self.registry = registries.Registry(reader=configuration.READER)

    def send(self, method, body, match):
        """(status, answer) that the operator gets."""
        found = configuration.read_operator(request(method, body, match))
        if isinstance(found, failures.Failure):
            return self._answer("", found)
        verb, change = found
        record, answer, failure = registries.decide(self.registry, verb, change)
        if record is not None:
            registries.apply(self.registry, record)
        return self._answer(verb, failure if failure else CommandResult(200, answer))

    def _answer(self, verb, outcome):
        status, _, body = configuration.operator_answer(verb, outcome)
        return status, json.loads(body)

    def read_back(self):
        return exact(
            json.loads(documents.operator_form(configuration.READER, self.registry.document))
        )

    def facts(self):
        registry = self.registry
        return exact([registry.sections, registry.document])


def exact(value):
    """The JSON of a value, in which 1, 1.0 and true differ."""
    return json.dumps(value, sort_keys=True)


class Accepted(TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(11)
        self.operator = Operator()
        self.whole = made.configuration(self.rng, 3)
        self.assertThat(self.operator.send("PUT", self.whole, 0)[0], Equals(200))

    def test_whole_and_partial_changes(self):
        change = made.patch(self.rng, self.whole, 8)
        self.assertThat(self.operator.send("PATCH", change, 3)[0], Equals(200))
        self.assertThat(self.operator.read_back(), Equals(exact(made.patched(self.whole, change))))
        other = made.configuration(self.rng, 100)
        self.assertThat(self.operator.send("PUT", other, 8)[0], Equals(200))
        self.assertThat(self.operator.read_back(), Equals(exact(other)))

    def test_a_repeated_change_gets_the_same_answer(self):
        change = made.patch(self.rng, self.whole, 8)
        first = self.operator.send("PATCH", change, 3)
        after = made.configuration(self.rng, 9)
        self.assertThat(self.operator.send("PUT", after, 8)[0], Equals(200))
        again = self.operator.send("PATCH", change, 3)
        self.assertThat(again[0], Equals(200))
        self.assertThat(again[1]["stamp"], Equals(first[1]["stamp"]))
        self.assertThat(self.operator.read_back(), Equals(exact(after)))
        late = self.operator.send("PUT", {**after, "edition": 20}, 8)
        self.assertThat(
            [late[0], self.operator.send("PUT", {**after, "edition": 20}, 8)[0]], Equals([412, 412])
        )

    def test_one_of_two_changes_to_one_edition_is_accepted(self):
        one, other = (made.patch(self.rng, self.whole, n) for n in (7, 8))
        codes = [self.operator.send("PATCH", c, 3)[0] for c in (one, other)]
        self.assertThat(codes, Equals([200, 412]))
        self.assertThat(self.operator.read_back(), Equals(exact(made.patched(self.whole, one))))

    def test_order_is_kept(self):
        first = self.whole["routes"][0]
        moved = {"edition": 4, "remove": {"routes": [first["name"]]}, "upsert": {"routes": [first]}}
        self.assertThat(self.operator.send("PATCH", moved, 3)[0], Equals(200))
        expected = {**self.whole, "edition": 4, "routes": self.whole["routes"][1:] + [first]}
        self.assertThat(self.operator.read_back(), Equals(exact(expected)))

    def test_a_checkpoint_keeps_the_configuration(self):
        self.operator.send("PATCH", made.patch(self.rng, self.whole, 8), 3)
        kept = registries.load(registries.dump(self.operator.registry), reader=configuration.READER)
        self.assertThat(kept, Equals(self.operator.registry))
        self.assertThat(
            documents.operator_form(configuration.READER, kept.document),
            Equals(documents.operator_form(configuration.READER, self.operator.registry.document)),
        )

    def test_a_checkpoint_after_another_kind_of_change(self):
        registries.apply(
            self.operator.registry,
            json.dumps({"k": "zone", "stamp": 9, "zone": "z", "evacuated": True}).encode(),
        )
        kept = registries.load(registries.dump(self.operator.registry), reader=configuration.READER)
        self.assertThat(kept, Equals(self.operator.registry))

    def test_a_value_of_another_type_is_another_value(self):
        """1, 1.0 and true are equal in Python but not to the operators that read them back."""
        for edition, value in ((4, 1), (5, 1.0), (6, True)):
            self.whole = {**self.whole, "edition": edition, "limits": {"most": value}}
            self.whole["routes"] = copy.deepcopy(self.whole["routes"])
            self.whole["routes"][0]["note"] = value
            self.assertThat(self.operator.send("PUT", self.whole, edition - 1)[0], Equals(200))
            self.assertThat(self.operator.read_back(), Equals(exact(self.whole)))


class Random(TestCase):
    def test_against_a_plain_model(self):
        """Valid, stale and repeated changes, and changes to a lower edition, in random order."""
        for seed in range(25):
            rng, operator, whole, sent = random.Random(seed), Operator(), None, []
            accepted = 0
            for _ in range(25):
                edition = whole["edition"] if whole else 0
                step = rng.choice(["put", "patch", "stale", "again", "low"])
                if step == "put" or whole is None:
                    call = "PUT", made.configuration(rng, edition + rng.randrange(1, 9)), edition
                elif step == "again":
                    call, code = rng.choice(sent)
                    self.assertThat(operator.send(*call)[0], Equals(code))
                    continue
                elif step == "stale":
                    call = "PATCH", made.patch(rng, whole, edition + 1), edition - 1
                elif step == "low":
                    call = "PATCH", made.patch(rng, whole, edition), edition
                else:
                    call = "PATCH", made.patch(rng, whole, edition + rng.randrange(1, 9)), edition
                code, _ = operator.send(*call)
                sent.append((call, code))
                expected = {"stale": 412, "low": 400}.get(step, 200) if whole else 200
                self.assertThat(code, Equals(expected))
                if code == 200:
                    accepted += 1
                    whole = call[1] if call[0] == "PUT" else made.patched(whole, call[1])
                self.assertThat(operator.read_back(), Equals(exact(whole)))
                if rng.random() < 0.2:
                    operator.registry = registries.load(
                        registries.dump(operator.registry), reader=configuration.READER
                    )
            self.assertThat(accepted, GreaterThan(3))


class Section(TestCase):
    def test_the_section_has_the_items_that_were_sent(self):
        rng, operator = random.Random(5), Operator()
        whole = made.configuration(rng, 2)
        operator.send("PUT", whole, 0)
        section = operator.registry.sections["floor"]
        self.assertThat(
            sorted(section["routes"]), Equals(sorted(r["name"] for r in whole["routes"]))
        )
        parcel = whole["services"][0]["engine"]["parcels"][0]
        self.assertThat(section["models"], Contains(parcel["name"]))
        self.assertThat(section["models"][parcel["name"]]["roomMb"], Equals(parcel["weightMb"]))
