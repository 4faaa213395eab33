"""Tenants and their API keys on real processes: the tenant that engines are sent, and the requests
that they run."""

import random
import tempfile
from dataclasses import replace

from simulation import platform_callers as callers
from simulation import platform_made as made
from simulation.platform_engine import Sizes, Store
from simulation.platform_fleet import PlatformFleet
from simulation.platform_operator import Operator
from testtools import TestCase
from testtools.matchers import Equals

SEED = 31
LIMITS = {"headerMaxBytes": 16384, "bodyMaxBytes": 4194304}
SIZES = Sizes(
    slots=8,
    cacheTokens=20000,
    roomMb=150000.0,
    places=8,
    loadMs=300.0,
    step_ms=2.0,
    read_per_ms=40.0,
    event_tokens=4,
    warmup_ms=0.0,
    warmupPerS=0.0,
    insertMb=12.0,
    models={},
)


def sender(name, *keys, **facts):
    return {"name": name, "keys": list(keys), **facts}


class PlatformTenants(TestCase):
    def setUp(self):
        super().setUp()
        self.rng = rng = random.Random(SEED)
        self.fleet = fleet = PlatformFleet(tempfile.mkdtemp(), SEED)
        self.addCleanup(fleet.stop_all)
        self.operator = Operator(fleet)
        service = made.plain_service(rng, made.word(rng))
        self.closed, self.open = [
            {**made.route(rng, f"r-{name}", [service["name"]], "safe"), "classOfMail": 5, **more}
            for name, more in (("closed", {}), ("open", {"public": True}))
        ]
        for route in (self.closed, self.open):
            route.update(transitLimitMs=20000, targetMs=500, tries=2)
        store = Store(6.0, 2)
        for zone in fleet.zones[:2]:
            fleet.engine(service["name"], SIZES, store, True, zone)
        self.whole = {
            "edition": 3,
            "routes": [self.closed, self.open],
            "services": [service],
            "senders": [sender("a", "k-1", "k-2"), sender("b", "k-3", classOfMail=0)],
            "limits": LIMITS,
        }
        fleet.start_all()
        self.assertThat(self.operator.send("PUT", "/config", self.whole, 0), Equals(200))
        fleet.until(lambda: len(fleet.ready()) == 3)

    def answer(self, counter, key, route=None, headers=()):
        """(status, the tenant and class that the engine was sent with the request)"""
        request = callers.made(self.rng, route or self.closed)
        request = replace(request, key=key, headers=headers)
        address = self.fleet.address(counter, "counter")
        last = callers.ask(lambda: [address], request, 40.0)[-1]
        self.assertThat(last.whole, Equals(True))
        ran = [a for e in self.fleet.platform.engines() for _, a in e.ran if a.id == last.id]
        return (last.status, *[(a.sender, a.rank) for a in ran])

    def wait_on_all_nodes(self, key, expected):
        """Wait until every node gives this answer."""
        for counter in self.fleet.counters:
            self.fleet.until(lambda c=counter: self.answer(c, key) == expected)

    def change(self, expect, edition, *senders):
        change = {"edition": edition, "upsert": {"senders": list(senders)}}
        self.assertThat(self.operator.send("PATCH", "/config", change, expect), Equals(200))

    # Rules UNASKED and ROUTE: engines were sent the client's key and whatever tenant the client
    # claimed, and ran requests with keys that no tenant holds.
    def test_keys(self):
        self.check_tenant_names()
        self.check_changes()
        engines = self.fleet.platform.engines()
        self.assertThat([w for e in engines for w in e.wrong], Equals([]))

    def check_tenant_names(self):
        forged = ("X-Sender: b", "x-sender: a", "Connection: X-Sender, X-Credential")
        for counter in self.fleet.counters:
            for key, expected in (
                ("k-1", (200, ("a", 5))),
                ("k-2", (200, ("a", 5))),
                ("k-3", (200, ("b", 0))),
                ("k-9", (401,)),
                ("", (401,)),
            ):
                self.assertThat(self.answer(counter, key), Equals(expected), key)
                self.assertThat(self.answer(counter, key, headers=forged), Equals(expected), key)
            twice = self.answer(counter, "k-1", headers=("X-CREDENTIAL: k-1",))
            self.assertThat(twice, Equals((401,)))
            for key, expected in (("", (None, 5)), ("k-9", (None, 5)), ("k-3", ("b", 0))):
                found = self.answer(counter, key, self.open, ("X-Sender: a",))
                self.assertThat(found, Equals((200, expected)), key)

    def check_changes(self):
        self.change(3, 4, sender("a", "k-2"), sender("b", "k-3", "k-1"))
        self.wait_on_all_nodes("k-1", (200, ("b", 5)))
        self.wait_on_all_nodes("k-2", (200, ("a", 5)))
        self.change(4, 5, sender("a"), sender("b", "k-3"))
        for key in ("k-1", "k-2"):
            self.wait_on_all_nodes(key, (401,))
        self.change(5, 6, sender("a", "k-1"))
        self.wait_on_all_nodes("k-1", (200, ("a", 5)))
        self.wait_on_all_nodes("k-2", (401,))
