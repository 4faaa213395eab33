"""Configurations that can't be taken: refused, the field named, and nothing in force."""

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
        self.operator, self.whole = Operator(), made.configuration(rng, 3)
        self.assertThat(self.operator.send("PUT", self.whole, 0)[0], Equals(200))
        self.route, self.service = self.whole["routes"][1], self.whole["services"][0]

    def refused(self, method, body, match=3, code=400, field=""):
        before = self.operator.facts()
        for _ in range(2):
            found, told = self.operator.send(method, body, match)
            self.assertThat(found, Equals(code), str(told))
            self.assertThat(exact(told), Contains(field))
            self.assertThat(self.operator.facts(), Equals(before))

    def changed(self, part, number, **facts):
        """A whole configuration with one item changed; None removes a field."""
        whole = {**copy.deepcopy(self.whole), "edition": 4}
        item = {**whole[part][number], **facts}
        whole[part][number] = {k: v for k, v in item.items() if v is not None}
        return whole

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
        self.refused("PUT", {**self.whole, "edition": 4}, match="x")
        self.refused("PUT", {**self.whole, "edition": 4}, match="")

    def test_not_json(self):
        """Numbers that JSON doesn't have, and texts that no encoding has."""
        for value in (float("nan"), float("inf"), "\ud800"):
            self.refused("PUT", {**self.whole, "edition": 4, "limits": {"most": value}})
            self.refused("PUT", self.changed("routes", 1, note=value))
            self.refused("PUT", self.changed("services", 1, name=value))

    def test_too_many_levels(self):
        """What one thread can still read may be too deep for the next."""
        for levels, good in ((20, True), (100, False), (900, False), (985, False), (990, False)):
            body = (
                exact({**self.whole, "edition": 4, "limits": "@"})
                .replace('"@"', "[" * levels + "]" * levels)
                .encode()
            )
            if good:
                self.assertThat(Operator().send("PUT", body, 0)[0], Equals(200))
            else:
                self.refused("PUT", body)

    def test_parts_of_a_wrong_shape(self):
        for part in ("routes", "services"):
            for value in ({}, None, 3, [3], [{}], [{"name": ""}], [{"name": 4}]):
                self.refused("PUT", {**self.whole, "edition": 4, part: value}, field=part)
            without = {k: v for k, v in self.whole.items() if k != part}
            self.refused("PUT", {**without, "edition": 4}, field=part)
            twice = self.whole[part] + [self.whole[part][0]]
            self.refused("PUT", {**self.whole, "edition": 4, part: twice}, field="twice")
        for key in ("upsert", "remove"):
            for value in (3, [], {"routes": 3}, {"other": []}, {"routes": [3]}):
                self.refused("PATCH", {"edition": 4, key: value})

    def test_editions(self):
        for edition in (3, 2, 0, -1, 1.5, "4", True, None):
            self.refused("PUT", {**self.whole, "edition": edition}, field="edition")
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

    def test_the_same_place_twice(self):
        other = self.whole["routes"][0]
        for host in (other["host"], other["host"].upper()):
            self.refused(
                "PUT",
                self.changed("routes", 1, host=host, pathPrefix=other["pathPrefix"]),
                field=f"routes.{self.route['name']}.prefix",
            )

    def test_a_service_that_is_still_routed_to(self):
        name = self.whole["routes"][0]["split"][0]["service"]
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


class Spoilt(TestCase):
    def test_whatever_is_sent_has_an_answer(self):
        """Random places of a good configuration spoilt: taken whole or not at all."""
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
            whole = made.configuration(random.Random(seed % 7), 3, routes=2)
            for _ in range(rng.randrange(1, 3)):
                at = whole
                while True:
                    key = rng.choice(list(at) if isinstance(at, dict) else range(len(at)))
                    if not at[key] or not isinstance(at[key], (dict, list)) or rng.random() < 0.2:
                        break
                    at = at[key]
                at[key] = copy.deepcopy(rng.choice(values))
            code, told = operator.send("PUT", whole, 0)
            self.assertThat([200, 400], Contains(code), str(told))
            taken = operator.registry.document["edition"] > 0
            self.assertThat(taken, Equals(code == 200))
            if taken:
                self.assertThat(operator.read_back(), Equals(exact(whole)))
