"""Invalid configurations: refused with the name of the field, and without any effect."""

import copy
import random

from simulation import platform_made as made
from test_platform_configuration import Operator, exact
from testtools import TestCase
from testtools.matchers import Contains, Equals

BIG = int("9" * 400)
HUGE = 1e300


class Refused(TestCase):
    def setUp(self):
        super().setUp()
        rng = random.Random(23)
        self.operator, self.document = Operator(), made.configuration(rng, 3)
        self.assertThat(self.operator.send("PUT", self.document, 0)[0], Equals(200))
        self.route, self.service = self.document["routes"][1], self.document["services"][0]

    def refused(self, method, body, match=3, expected_status=400, field=""):
        before = self.operator.facts()
        for _ in range(2):
            status, response_body = self.operator.send(method, body, match)
            self.assertThat(status, Equals(expected_status), str(response_body))
            self.assertThat(exact(response_body), Contains(field))
            self.assertThat(self.operator.facts(), Equals(before))

    def changed(self, part, number, **facts):
        """The configuration with one item changed; None removes a field."""
        document = {**copy.deepcopy(self.document), "edition": 4}
        item = {**document[part][number], **facts}
        document[part][number] = {k: v for k, v in item.items() if v is not None}
        return document

    def test_unreadable(self):
        for body in (
            b"",
            b"{",
            b"[]",
            b"7",
            b"\xff\xfe",
            b"[" * 100000,
            b'{"edition": NaN}',
            b'{"edition": ' + b"9" * 5000 + b"}",
        ):
            self.refused("PUT", body)
        self.refused("PUT", {**self.document, "edition": 4}, match="x")
        self.refused("PUT", {**self.document, "edition": 4}, match="")

    def test_not_json(self):
        """Numbers that JSON doesn't have, and strings that can't be encoded."""
        for value in (float("nan"), float("inf"), "\ud800"):
            self.refused("PUT", {**self.document, "edition": 4, "limits": {"most": value}})
            self.refused("PUT", self.changed("routes", 1, note=value))
            self.refused("PUT", self.changed("services", 1, name=value))

    def test_too_many_levels(self):
        """A depth that one thread can still parse may be too deep for the next."""
        for levels, valid in ((20, True), (100, False), (900, False), (985, False), (990, False)):
            body = (
                exact({**self.document, "edition": 4, "limits": "@"})
                .replace('"@"', "[" * levels + "]" * levels)
                .encode()
            )
            if valid:
                self.assertThat(Operator().send("PUT", body, 0)[0], Equals(200))
            else:
                self.refused("PUT", body)

    def test_parts_of_a_wrong_shape(self):
        for part in ("routes", "services"):
            for value in ({}, None, 3, [3], [{}], [{"name": ""}], [{"name": 4}]):
                self.refused("PUT", {**self.document, "edition": 4, part: value}, field=part)
            without = {k: v for k, v in self.document.items() if k != part}
            self.refused("PUT", {**without, "edition": 4}, field=part)
            twice = self.document[part] + [self.document[part][0]]
            self.refused("PUT", {**self.document, "edition": 4, part: twice}, field="twice")
        for key in ("upsert", "remove"):
            for value in (3, [], {"routes": 3}, {"other": []}, {"routes": [3]}):
                self.refused("PATCH", {"edition": 4, key: value})

    def test_editions(self):
        for edition in (3, 2, 0, -1, 1.5, "4", True, None):
            self.refused("PUT", {**self.document, "edition": edition}, field="edition")
            self.refused("PATCH", {"edition": edition}, field="edition")
        for match in (0, 2, 4, -3):
            self.refused("PATCH", {"edition": 9}, match, 412, "stamp-stale")

    def test_routes(self):
        name = f"routes.{self.route['name']}"
        for facts, field in (
            ({"transitLimitMs": 0}, "holdMs"),
            ({"transitLimitMs": -5}, "holdMs"),
            ({"transitLimitMs": "x"}, ""),
            ({"transitLimitMs": None}, "transitLimitMs"),
            ({"transitLimitMs": BIG}, ""),
            ({"tries": 0}, "tries"),
            ({"tries": BIG}, ""),
            ({"kind": "other"}, "kind"),
            ({"kind": None}, "kind"),
            ({"host": None}, "host"),
            ({"host": ""}, "host"),
            ({"host": 5}, "host"),
            ({"pathPrefix": "x/"}, "prefix"),
            ({"pathPrefix": "/x"}, "prefix"),
            ({"pathPrefix": 4}, "prefix"),
            ({"split": [4]}, ""),
            ({"split": [{"service": "none", "share": 1}]}, "no such service none"),
            ({"split": [{"service": self.service["name"], "share": 0}]}, "split"),
            ({"split": [{"service": self.service["name"], "share": -1}]}, "split"),
            ({"split": [{"service": self.service["name"]}]}, "share"),
            ({"split": [{"service": self.service["name"], "share": HUGE}] * 2}, "split"),
            ({"classOfMail": "x"}, ""),
            ({"classOfMail": 44}, "rank"),
        ):
            self.refused("PUT", self.changed("routes", 1, **facts), field=name)
            self.refused("PUT", self.changed("routes", 1, **facts), field=field)

    def test_duplicate_host_and_prefix(self):
        other = self.document["routes"][0]
        for host in (other["host"], other["host"].upper()):
            self.refused(
                "PUT",
                self.changed("routes", 1, host=host, pathPrefix=other["pathPrefix"]),
                field=f"routes.{self.route['name']}.prefix",
            )

    def test_removing_a_service_that_routes_use(self):
        name = self.document["routes"][0]["split"][0]["service"]
        self.refused(
            "PATCH", {"edition": 4, "remove": {"services": [name]}}, field=f"no such service {name}"
        )

    def test_services(self):
        engine = self.service["engine"]
        parcel = engine["parcels"][0]
        for facts in (
            {"engine": 5},
            {"engine": {**engine, "parcels": 5}},
            {"engine": {**engine, "parcels": [5]}},
            {"engine": {**engine, "slots": "x"}},
            {"engine": {**engine, "loadPerS": -1}},
            {"engine": {**engine, "loadPerS": HUGE, "parcels": [{**parcel, "loadS": HUGE}]}},
            {"engine": {**engine, "parcels": [{**parcel, "inserts": 10**9}]}},
            {"engine": {**engine, "parcels": [{**parcel, "name": ""}]}},
            {"engine": {**engine, "parcels": [{**parcel, "name": 4}]}},
            {"connectionCap": BIG},
            {"warmupS": "x"},
            {"warmupPerS": BIG},
        ):
            self.refused(
                "PUT",
                self.changed("services", 0, **facts),
                field=f"services.{self.service['name']}",
            )


class Mutated(TestCase):
    def test_random_mutations(self):
        """A valid configuration with random values replaced is applied whole or refused."""
        rng = random.Random(4)
        values = [
            None,
            True,
            -1,
            0,
            0.5,
            BIG,
            -BIG,
            HUGE,
            "",
            "x",
            "/",
            [],
            {},
            [[]],
            [None],
            {"name": "x"},
            "x" * 400,
        ]
        for seed in range(400):
            operator = Operator()
            document = made.configuration(random.Random(seed % 7), 3, routes=2)
            for _ in range(rng.randrange(1, 3)):
                parent = document
                while True:
                    key = rng.choice(
                        list(parent) if isinstance(parent, dict) else range(len(parent))
                    )
                    if (
                        not parent[key]
                        or not isinstance(parent[key], (dict, list))
                        or rng.random() < 0.2
                    ):
                        break
                    parent = parent[key]
                parent[key] = copy.deepcopy(rng.choice(values))
            status, response_body = operator.send("PUT", document, 0)
            self.assertThat([200, 400], Contains(status), str(response_body))
            applied = operator.registry.document["edition"] > 0
            self.assertThat(applied, Equals(status == 200))
            if applied:
                self.assertThat(operator.read_back(), Equals(exact(document)))
