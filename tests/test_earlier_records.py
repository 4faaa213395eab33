"""What a version that didn't read the list of tenants logged and kept in checkpoints is
understood as that version meant it."""

import dataclasses
import json
import random

from adapter import configuration
from configuration import documents
from configuration import registry as registries
from simulation import platform_made as made
from test_change_cost import change, do, good_route
from test_platform_written import exact
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport import failures

READER = configuration.READER
# Reads the list of tenants as little as the version before did.
EARLIER = dataclasses.replace(READER, tenants="no list of this name")
FIRST = {
    "edition": 1,
    "routes": [good_route(n) for n in range(2)],
    "services": [{"name": "s0"}],
    "senders": [{"name": "a", "keys": ["k0"]}, {"name": "b", "keys": ["k1", "k2"]}],
}


class Earlier(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.earlier = registries.Registry(reader=EARLIER)
        self.follower = registries.Registry(reader=READER)

    def log(self, told, partial=False):
        """A change that the earlier version takes and logs."""
        expect = self.earlier.document["edition"]
        told = {**told, "edition": expect + 1}
        _, failure, record = do(self.earlier, change(expect, told, partial))
        self.assertThat(failure, Equals(None))
        registries.apply(self.follower, record)
        kept = registries.load(registries.dump(self.earlier), reader=READER)
        self.assertThat(kept, Equals(self.follower))
        for found in (kept, self.follower):
            self.assertThat(self.back(READER, found), Equals(self.back(EARLIER, self.earlier)))
        return told

    def back(self, reader, registry):
        return exact(json.loads(documents.operator_form(reader, registry.document)))

    def assert_tenants(self, whole):
        found = registries.tenants(self.follower)
        wanted = {item["name"]: item["keys"] for item in whole.get("senders", ())}
        self.assertThat({n: facts["keys"] for n, facts in found.items()}, Equals(wanted))

    # Tenants that the earlier version logged unread must be in force after an upgrade.
    def test_logs_and_checkpoints_of_the_earlier_version(self):
        for seed in range(20):
            self.begin()
            rng, whole = random.Random(seed), None
            for _ in range(12):
                step = rng.choice(["put", "none", "patch", "same"]) if whole else "put"
                if step == "patch":
                    told = self.log(made.patch(rng, whole, 0), partial=True)
                    whole = made.patched(whole, told)
                elif step == "same":
                    whole = self.log({**whole, "limits": rng.randrange(3)})
                else:
                    whole = made.configuration(rng, 1, routes=2)
                    whole = made.with_tenants(rng, whole, 3) if step == "put" else whole
                    whole = self.log(whole)
                self.assert_tenants(whole)
            self.assertThat(self.follower.document["edition"], GreaterThan(10))

    # A change after the upgrade builds on the tenants logged before it.
    def test_a_change_on_top_of_an_earlier_log(self):
        whole = self.log(FIRST)
        told = {"edition": 2, "upsert": {"senders": [{"name": "c", "keys": ["k1"]}]}}
        _, failure, _ = do(self.follower, change(1, told))
        self.assertIsInstance(failure, failures.LayoutWrong)
        told["remove"] = {"senders": ["b"]}
        self.assertThat(do(self.follower, change(1, told))[1], Equals(None))
        self.assert_tenants(made.patched(whole, told))

    # The earlier version took lists that can't be read; they must not keep a node from
    # starting, nor any later change from being taken.
    def test_a_wrong_list_in_an_earlier_log(self):
        for wrong in (None, 7, ["a"], [{"name": "a", "keys": 5}], [{"name": "a"}]):
            self.begin()
            self.log(FIRST)
            self.log({**FIRST, "senders": wrong})
            self.assert_tenants({})
            told = {"edition": 3, "upsert": {"routes": [good_route(5)]}}
            self.assertThat(do(self.follower, change(2, told))[1], Equals(None))
            told = {"edition": 4, "upsert": {"senders": [{"name": "c", "keys": ["k1"]}]}}
            self.assertThat(do(self.follower, change(3, told))[1], Equals(None))
            self.assert_tenants({"senders": told["upsert"]["senders"]})
            kept = registries.load(registries.dump(self.follower), reader=READER)
            self.assertThat(kept, Equals(self.follower))
            back = json.loads(documents.operator_form(READER, kept.document))
            self.assertThat(back["senders"], Equals(told["upsert"]["senders"]))
