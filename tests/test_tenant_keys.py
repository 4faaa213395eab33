"""Whose a request is, judged by the configuration in force at each of its attempts."""

import json

from configuration import registry as registries
from pulleyhitch import introspection
from routing import resuming, tenants
from routing.tasks import Leg, Stay
from simulation.placing import SHARDS
from tenant_harness import (
    BOUND_MS,
    CLOSED,
    CREW,
    NOW_MS,
    OPEN,
    ROUTE_RANK,
    TenantNode,
    tenant,
    words,
)
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

UNKNOWN = ("refused", 401)
MAY_HAVE_RUN = ("refused", 502)


def of(outcomes):
    """The one outcome, in short."""
    (outcome,) = outcomes.values()
    return words(outcome)


class Admitted(TestCase):
    # Guards against UNASKED: engines ran requests without the name of the key's tenant.
    def test_each_key_names_its_tenant(self):
        node = TenantNode({"a": tenant("k1", "k2"), "b": tenant("k3")})
        for key, name in ((b"k1", "a"), (b"k2", "a"), (b"k3", "b")):
            self.assertThat(of(node.send(f"t-{key}", key)), Equals(("leg", name)))
            self.assertThat(node.told[f"t-{key}"]["tenant"], Equals(name))

    # Guards against ROUTE: a request ran though no configuration ever held its key.
    def test_an_unknown_key_is_refused_at_once(self):
        node = TenantNode({"a": tenant("k1", ""), "b": tenant()})
        for key in (b"", b"k", b"k11", b"K1", b"k1,k1", b" k1", b"\xff\x00"):
            self.assertThat(of(node.send("t", key)), Equals(UNKNOWN), repr(key))
            self.assertThat(node.node.router.tasks, Equals({}))

    def test_a_public_route_asks_for_no_key(self):
        node = TenantNode({"a": tenant("k1")})
        self.assertThat(of(node.send("t1", b"", OPEN)), Equals(("leg", None)))
        self.assertThat(of(node.send("t2", b"unknown", OPEN)), Equals(("leg", None)))
        self.assertThat(of(node.send("t3", b"k1", OPEN)), Equals(("leg", "a")))

    def test_without_tenants_no_key_is_asked_for(self):
        node = TenantNode({})
        for prefix in (OPEN, CLOSED):
            self.assertThat(of(node.send(prefix, b"k1", prefix)), Equals(("leg", None)))

    def test_keys_of_any_letters(self):
        node = TenantNode({"a": tenant("clé-č"), "b": tenant("\ud800")})
        self.assertThat(of(node.send("t", "clé-č".encode())), Equals(("leg", "a")))
        self.assertThat(of(node.send("t", "clé".encode("latin1"))), Equals(UNKNOWN))

    # Guards against SHORT: a key that was added lately is refused for good by who can't know.
    def test_a_node_that_may_not_know_a_key_says_when_to_come_back(self):
        for age_ms, kind in (
            (0.9 * BOUND_MS, failures.Unauthorized),
            (1.1 * BOUND_MS, failures.Stale),
            (100 * BOUND_MS, failures.Stale),
        ):
            node = TenantNode({"a": tenant("k1")}, age_ms=age_ms)
            self.assertIsInstance(node.send("t", b"k2")["t"], kind)
            self.assertThat(of(node.send("t", b"k1")), Equals(("leg", "a")))

    # Guards against DENIED: a route that was added lately is refused for good by who can't know.
    def test_a_node_that_may_not_know_a_route_says_when_to_come_back(self):
        for age_ms, kind in (
            (0.9 * BOUND_MS, failures.NotFound),
            (1.1 * BOUND_MS, failures.Stale),
        ):
            node = TenantNode(age_ms=age_ms)
            self.assertIsInstance(node.send("t", b"", "/added-lately/")["t"], kind)


class Classes(TestCase):
    def test_the_tenants_class_goes_before_the_routes(self):
        node = TenantNode({"a": tenant("k1", rank=0), "b": tenant("k2", rank=9), "c": tenant("k3")})
        for key, rank in ((b"k1", 0), (b"k2", 9), (b"k3", ROUTE_RANK)):
            outcomes = node.send("t", key)
            task = node.task("t")
            self.assertThat(outcomes["t"].rank, Equals(rank))
            self.assertThat(task.urgency, Equals(rank))
            self.assertThat((task.rank, task.cls), Equals((ROUTE_RANK, f"rank{ROUTE_RANK}")))

    def test_a_public_route_without_a_key_has_its_own(self):
        node = TenantNode({"a": tenant("k1", rank=0)})
        self.assertThat(node.send("t", b"", OPEN)["t"].rank, Equals(ROUTE_RANK))
        self.assertThat(node.send("t", b"k1", OPEN)["t"].rank, Equals(0))

    def test_it_follows_the_key(self):
        node = TenantNode({"a": tenant("k1", rank=0)}, loaded=False)
        node.send("t", b"k1")
        node.configure({"b": tenant("k1")})
        self.assertThat(node.load(True)["t"].rank, Equals(ROUTE_RANK))


class Changed(TestCase):
    def test_a_key_that_moves_within_one_version(self):
        node = TenantNode({"a": tenant("k1"), "b": tenant("k2")})
        node.configure({"a": tenant("k2"), "b": tenant("k1")})
        self.assertThat(of(node.send("t", b"k1")), Equals(("leg", "b")))
        self.assertThat(of(node.send("t", b"k2")), Equals(("leg", "a")))

    def test_a_tenant_that_loses_its_last_key(self):
        """Keys are still asked for, even if no tenant has any."""
        node = TenantNode({"a": tenant("k1")})
        node.configure({"a": tenant()})
        self.assertThat(of(node.send("t", b"k1")), Equals(UNKNOWN))

    def test_a_key_that_returns(self):
        node = TenantNode({"a": tenant("k1")})
        for held in (False, True, False, True):
            node.configure({"a": tenant("k1") if held else tenant()})
            expected = ("leg", "a") if held else UNKNOWN
            self.assertThat(of(node.send("t", b"k1")), Equals(expected))


class Waiting(TestCase):
    # Guards against UNASKED: a request in line ran with a key that was taken away meanwhile.
    def test_revoked_in_line_it_is_refused_when_the_configuration_changes(self):
        node = TenantNode({"a": tenant("k1", "k2")}, loaded=False)
        self.assertThat((node.send("t1", b"k1"), node.send("t2", b"k2")), Equals(({}, {})))
        told = node.configure({"a": tenant("k2")})
        self.assertThat(
            {token: words(outcome) for token, outcome in told.items()}, Equals({"t1": UNKNOWN})
        )
        self.assertThat(of(node.load(True)), Equals(("leg", "a")))

    def test_its_place_is_given_back(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1")
        node.configure({"a": tenant()})
        self.assertThat(node.node.router.tasks, Equals({}))

    def test_moved_in_line_it_runs_for_the_new_tenant(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1")
        self.assertThat(node.configure({"b": tenant("k1")}), Equals({}))
        self.assertThat(of(node.load(True)), Equals(("leg", "b")))

    def test_a_public_routes_goes_on_without_a_tenant(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1", OPEN)
        self.assertThat(node.configure({"a": tenant()}), Equals({}))
        self.assertThat(of(node.load(True)), Equals(("leg", None)))


class Retried(TestCase):
    # Guards against UNASKED: a retry ran with a key that was taken away meanwhile.
    def test_after_revocation(self):
        for proof, expected in (
            ("not-run", UNKNOWN),
            ("no-pipe", UNKNOWN),
            ("unknown", MAY_HAVE_RUN),
        ):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure({"a": tenant()})
            self.assertThat(of(node.fails("t", proof)), Equals(expected), proof)

    def test_after_the_key_moved(self):
        for proof in ("not-run", "no-pipe", "unknown"):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure({"b": tenant("k1")})
            self.assertThat(of(node.fails("t", proof)), Equals(("leg", "b")), proof)

    def test_no_second_attempt_after_silence(self):
        """The one that is out began while the key was held, and goes on."""
        for tenants_after, kind in (({"a": tenant()}, Stay), ({"b": tenant("k1")}, Leg)):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure(tenants_after)
            self.assertIsInstance(node.silent("t")["t"], kind)

    def test_no_resumption(self):
        for tenants_after, kind in (
            ({"a": tenant()}, failures.StreamCut),
            ({"b": tenant("k1")}, Leg),
        ):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure(tenants_after)
            core = node.node
            (reply,) = resuming.resume(core.router, NOW_MS, core.cluster, CREW, "t", "")
            self.assertIsInstance(reply.outcome, kind)
            self.assertThat(getattr(reply.outcome, "tenant", None), Equals({Leg: "b"}.get(kind)))


class Hidden(TestCase):
    # Guards against keys in logs and answers.
    def test_a_refusal_shows_a_part_of_the_digest(self):
        node = TenantNode({"a": tenant("k1")})
        outcome = node.send("t", b"secret-key")["t"]
        digest = tenants.digest(b"secret-key").hex()
        self.assertThat(
            failures.as_json(outcome),
            Equals({"failure": "unauthorized", "fingerprint": digest[:8]}),
        )

    def test_no_key_is_kept_with_a_request(self):
        node = TenantNode({"a": tenant("secret-key")})
        node.send("t", b"secret-key")
        self.assertThat("secret" in repr((node.task("t"), node.told["t"])), Equals(False))

    def test_operators_read_fingerprints(self):
        node = TenantNode({"a": tenant("secret-key"), "b": tenant()}).node
        node.card, node.config.shards = None, SHARDS
        node.follower.place = 1
        for what in ("layout", "engines", "zones", "why", "holds"):
            found = json.dumps(introspection.read(node, NOW_MS, {"what": what}))
            self.assertThat("secret" in found, Equals(False), what)
        section = introspection.read(node, NOW_MS, {"what": "layout"})["partners"]["floor"]
        shown = [tenants.fingerprint(tenants.digest(b"secret-key"))]
        self.assertThat(section["section"]["tenants"]["a"]["keys"], Equals(shown))
        kept = registries.tenants(node.cluster.registry)["a"]["keys"]
        self.assertThat(kept, Equals(["secret-key"]))
