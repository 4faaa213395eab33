"""Logs and checkpoints of a version that didn't read the list of tenants keep their meaning."""

import dataclasses
import json
import random

from adapter import configuration
from configuration import documents
from configuration import registry as registries
from simulation import platform_made as made
from test_change_cost import change, do, good_route
from test_platform_configuration import exact
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport import failures

READER = configuration.READER
# Ignores the list of tenants, as the earlier version did.
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

    def log(self, body, partial=False):
        """A change that the earlier version accepts and logs."""
        expect = self.earlier.document["edition"]
        body = {**body, "edition": expect + 1}
        _, failure, record = do(self.earlier, change(expect, body, partial))
        self.assertThat(failure, Equals(None))
        registries.apply(self.follower, record)
        kept = registries.load(registries.dump(self.earlier), reader=READER)
        self.assertThat(kept, Equals(self.follower))
        for found in (kept, self.follower):
            self.assertThat(
                self.operator_json(READER, found), Equals(self.operator_json(EARLIER, self.earlier))
            )
        return body

    def operator_json(self, reader, registry):
        return exact(json.loads(documents.operator_form(reader, registry.document)))

    def assert_tenants(self, whole):
        found = registries.tenants(self.follower)
        expected = {item["name"]: item["keys"] for item in whole.get("senders", ())}
        self.assertThat({n: facts["keys"] for n, facts in found.items()}, Equals(expected))

    # Tenants that the earlier version logged unread must be in force after an upgrade.
    def test_logs_and_checkpoints_of_the_earlier_version(self):
        for seed in range(20):
            self.begin()
            rng, whole = random.Random(seed), None
            for _ in range(12):
                step = rng.choice(["put", "none", "patch", "same"]) if whole else "put"
                if step == "patch":
                    body = self.log(made.patch(rng, whole, 0), partial=True)
                    whole = made.patched(whole, body)
                elif step == "same":
                    whole = self.log({**whole, "limits": rng.randrange(3)})
                else:
                    whole = made.configuration(rng, 1, routes=2)
                    whole = made.with_tenants(rng, whole, 3) if step == "put" else whole
                    whole = self.log(whole)
                self.assert_tenants(whole)
            self.assertThat(self.follower.document["edition"], GreaterThan(10))

    # A change after the upgrade is based on the tenants that were logged before it.
    def test_a_change_on_top_of_an_earlier_log(self):
        whole = self.log(FIRST)
        body = {"edition": 2, "upsert": {"senders": [{"name": "c", "keys": ["k1"]}]}}
        _, failure, _ = do(self.follower, change(1, body))
        self.assertIsInstance(failure, failures.LayoutWrong)
        body["remove"] = {"senders": ["b"]}
        self.assertThat(do(self.follower, change(1, body))[1], Equals(None))
        self.assert_tenants(made.patched(whole, body))

    # The earlier version accepted invalid lists of tenants; they must not keep a node from
    # starting, nor a later change from being accepted.
    def test_an_invalid_list_in_an_earlier_log(self):
        for invalid in (None, 7, ["a"], [{"name": "a", "keys": 5}], [{"name": "a"}]):
            self.begin()
            self.log(FIRST)
            self.log({**FIRST, "senders": invalid})
            self.assert_tenants({})
            body = {"edition": 3, "upsert": {"routes": [good_route(5)]}}
            self.assertThat(do(self.follower, change(2, body))[1], Equals(None))
            body = {"edition": 4, "upsert": {"senders": [{"name": "c", "keys": ["k1"]}]}}
            self.assertThat(do(self.follower, change(3, body))[1], Equals(None))
            self.assert_tenants({"senders": body["upsert"]["senders"]})
            kept = registries.load(registries.dump(self.follower), reader=READER)
            self.assertThat(kept, Equals(self.follower))
            restored = json.loads(documents.operator_form(READER, kept.document))
            self.assertThat(restored["senders"], Equals(body["upsert"]["senders"]))
