"""The tenant of a request, by the configuration in force at each of its attempts."""

import json

from configuration import registry as registries
from pulleyhitch import introspection
from routing import resuming, tenants
from routing.tasks import Attempt, KeepWaiting
from simulation.placing import SHARDS
from tenant_harness import (
    BOUND_MS,
    CLOSED,
    NODES,
    NOW_MS,
    OPEN,
    ROUTE_RANK,
    TenantNode,
    outcome_in_short,
    tenant,
)
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

UNKNOWN = ("refused", 401)
MAY_HAVE_RUN = ("refused", 502)


def only_outcome(outcomes):
    """The only outcome, in short."""
    (outcome,) = outcomes.values()
    return outcome_in_short(outcome)


class Admitted(TestCase):
    # Rule UNASKED: engines ran requests without the name of the key's tenant.
    def test_each_key_names_its_tenant(self):
        node = TenantNode({"a": tenant("k1", "k2"), "b": tenant("k3")})
        for key, name in ((b"k1", "a"), (b"k2", "a"), (b"k3", "b")):
            self.assertThat(only_outcome(node.send(f"t-{key}", key)), Equals(("attempt", name)))
            self.assertThat(node.requests[f"t-{key}"]["tenant"], Equals(name))

    # Rule ROUTE: a request ran although no configuration ever held its key.
    def test_an_unknown_key_is_refused_at_once(self):
        node = TenantNode({"a": tenant("k1", ""), "b": tenant()})
        for key in (b"", b"k", b"k11", b"K1", b"k1,k1", b" k1", b"\xff\x00"):
            self.assertThat(only_outcome(node.send("t", key)), Equals(UNKNOWN), repr(key))
            self.assertThat(node.node.router.tasks, Equals({}))

    def test_a_public_route_requires_no_key(self):
        node = TenantNode({"a": tenant("k1")})
        self.assertThat(only_outcome(node.send("t1", b"", OPEN)), Equals(("attempt", None)))
        self.assertThat(only_outcome(node.send("t2", b"unknown", OPEN)), Equals(("attempt", None)))
        self.assertThat(only_outcome(node.send("t3", b"k1", OPEN)), Equals(("attempt", "a")))

    def test_without_tenants_no_key_is_required(self):
        node = TenantNode({})
        for prefix in (OPEN, CLOSED):
            self.assertThat(
                only_outcome(node.send(prefix, b"k1", prefix)), Equals(("attempt", None))
            )

    def test_keys_with_any_characters(self):
        node = TenantNode({"a": tenant("clé-č"), "b": tenant("\ud800")})
        self.assertThat(only_outcome(node.send("t", "clé-č".encode())), Equals(("attempt", "a")))
        self.assertThat(only_outcome(node.send("t", "clé".encode("latin1"))), Equals(UNKNOWN))

    # Rule SHORT: a node that can't know a new key yet refused it for good.
    def test_a_node_that_may_not_know_a_key_says_when_to_retry(self):
        for age_ms, kind in (
            (0.9 * BOUND_MS, failures.Unauthorized),
            (1.1 * BOUND_MS, failures.Stale),
            (100 * BOUND_MS, failures.Stale),
        ):
            node = TenantNode({"a": tenant("k1")}, age_ms=age_ms)
            self.assertIsInstance(node.send("t", b"k2")["t"], kind)
            self.assertThat(only_outcome(node.send("t", b"k1")), Equals(("attempt", "a")))

    # Rule DENIED: a node that can't know a new route yet refused it for good.
    def test_a_node_that_may_not_know_a_route_says_when_to_retry(self):
        for age_ms, kind in ((0.9 * BOUND_MS, failures.NotFound), (1.1 * BOUND_MS, failures.Stale)):
            node = TenantNode(age_ms=age_ms)
            self.assertIsInstance(node.send("t", b"", "/added-lately/")["t"], kind)


class Classes(TestCase):
    def test_the_class_of_the_tenant_overrides_that_of_the_route(self):
        node = TenantNode({"a": tenant("k1", rank=0), "b": tenant("k2", rank=9), "c": tenant("k3")})
        for key, rank in ((b"k1", 0), (b"k2", 9), (b"k3", ROUTE_RANK)):
            outcomes = node.send("t", key)
            task = node.task("t")
            self.assertThat(outcomes["t"].rank, Equals(rank))
            self.assertThat(task.urgency, Equals(rank))
            self.assertThat((task.rank, task.cls), Equals((ROUTE_RANK, f"rank{ROUTE_RANK}")))

    def test_without_a_key_the_class_of_the_route_applies(self):
        node = TenantNode({"a": tenant("k1", rank=0)})
        self.assertThat(node.send("t", b"", OPEN)["t"].rank, Equals(ROUTE_RANK))
        self.assertThat(node.send("t", b"k1", OPEN)["t"].rank, Equals(0))

    def test_the_class_follows_the_key(self):
        node = TenantNode({"a": tenant("k1", rank=0)}, loaded=False)
        node.send("t", b"k1")
        node.configure({"b": tenant("k1")})
        self.assertThat(node.load(True)["t"].rank, Equals(ROUTE_RANK))


class ChangedKeys(TestCase):
    def test_a_key_that_moves_within_one_version(self):
        node = TenantNode({"a": tenant("k1"), "b": tenant("k2")})
        node.configure({"a": tenant("k2"), "b": tenant("k1")})
        self.assertThat(only_outcome(node.send("t", b"k1")), Equals(("attempt", "b")))
        self.assertThat(only_outcome(node.send("t", b"k2")), Equals(("attempt", "a")))

    def test_a_tenant_that_loses_its_last_key(self):
        """Keys are still required, even if no tenant has any."""
        node = TenantNode({"a": tenant("k1")})
        node.configure({"a": tenant()})
        self.assertThat(only_outcome(node.send("t", b"k1")), Equals(UNKNOWN))

    def test_a_key_that_is_added_again(self):
        node = TenantNode({"a": tenant("k1")})
        for held in (False, True, False, True):
            node.configure({"a": tenant("k1") if held else tenant()})
            expected = ("attempt", "a") if held else UNKNOWN
            self.assertThat(only_outcome(node.send("t", b"k1")), Equals(expected))


class Waiting(TestCase):
    # Rule UNASKED: a waiting request ran with a key that had been removed meanwhile.
    def test_a_waiting_request_is_refused_when_its_key_is_removed(self):
        node = TenantNode({"a": tenant("k1", "k2")}, loaded=False)
        self.assertThat((node.send("t1", b"k1"), node.send("t2", b"k2")), Equals(({}, {})))
        outcomes = node.configure({"a": tenant("k2")})
        self.assertThat(
            {token: outcome_in_short(outcome) for token, outcome in outcomes.items()},
            Equals({"t1": UNKNOWN}),
        )
        self.assertThat(only_outcome(node.load(True)), Equals(("attempt", "a")))

    def test_a_refused_request_leaves_the_queue(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1")
        node.configure({"a": tenant()})
        self.assertThat(node.node.router.tasks, Equals({}))

    def test_a_waiting_request_runs_for_the_new_tenant_of_its_key(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1")
        self.assertThat(node.configure({"b": tenant("k1")}), Equals({}))
        self.assertThat(only_outcome(node.load(True)), Equals(("attempt", "b")))

    def test_a_request_on_a_public_route_goes_on_without_a_tenant(self):
        node = TenantNode({"a": tenant("k1")}, loaded=False)
        node.send("t", b"k1", OPEN)
        self.assertThat(node.configure({"a": tenant()}), Equals({}))
        self.assertThat(only_outcome(node.load(True)), Equals(("attempt", None)))


class Retried(TestCase):
    # Rule UNASKED: a retry ran with a key that had been removed meanwhile.
    def test_after_revocation(self):
        for proof, expected in (
            ("not-run", UNKNOWN),
            ("no-pipe", UNKNOWN),
            ("unknown", MAY_HAVE_RUN),
        ):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure({"a": tenant()})
            self.assertThat(only_outcome(node.attempt_failed("t", proof)), Equals(expected), proof)

    def test_after_the_key_moved(self):
        for proof in ("not-run", "no-pipe", "unknown"):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure({"b": tenant("k1")})
            self.assertThat(
                only_outcome(node.attempt_failed("t", proof)), Equals(("attempt", "b")), proof
            )

    def test_no_second_attempt_after_silence(self):
        """The attempt in flight started while the key was valid, and goes on."""
        for tenants_after, kind in (({"a": tenant()}, KeepWaiting), ({"b": tenant("k1")}, Attempt)):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure(tenants_after)
            self.assertIsInstance(node.silent("t")["t"], kind)

    def test_no_resumption(self):
        for tenants_after, kind in (
            ({"a": tenant()}, failures.StreamCut),
            ({"b": tenant("k1")}, Attempt),
        ):
            node = TenantNode({"a": tenant("k1")})
            node.send("t", b"k1")
            node.configure(tenants_after)
            core = node.node
            (reply,) = resuming.resume(core.router, NOW_MS, core.cluster, NODES, "t", "")
            self.assertIsInstance(reply.outcome, kind)
            self.assertThat(
                getattr(reply.outcome, "tenant", None), Equals({Attempt: "b"}.get(kind))
            )


class Hidden(TestCase):
    # Guards against keys in logs and responses.
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
        self.assertThat("secret" in repr((node.task("t"), node.requests["t"])), Equals(False))

    def test_operators_read_fingerprints(self):
        node = TenantNode({"a": tenant("secret-key"), "b": tenant()}).node
        node.card, node.config.shards = None, SHARDS
        node.follower.position = 1
        for what in ("layout", "engines", "zones", "why", "holds"):
            found = json.dumps(introspection.read(node, NOW_MS, {"what": what}))
            self.assertThat("secret" in found, Equals(False), what)
        section = introspection.read(node, NOW_MS, {"what": "layout"})["partners"]["floor"]
        shown = [tenants.fingerprint(tenants.digest(b"secret-key"))]
        self.assertThat(section["section"]["tenants"]["a"]["keys"], Equals(shown))
        kept = registries.tenants(node.cluster.registry)["a"]["keys"]
        self.assertThat(kept, Equals(["secret-key"]))
