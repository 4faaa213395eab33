"""The part of a node that a caller's request passes through, with tenants and their keys."""

import json
from types import SimpleNamespace

from configuration import document_facts as written
from configuration import registry as registries
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from pulleyhitch import passages
from replication import follower
from routing import choice, router
from routing.tasks import Attempt
from simulation.placing import SHARDS, engine_facts
from transport import failures
from transport.effects import Reply

NOW_MS = 50_000.0
BOUND_MS = 2500
NODES = choice.RoutingNodes("c0", ("c0",), "z")
ENGINES = 9
TRIES = 3
ROUTE_RANK = 5
MODEL = "m1"
HOST = "h.example"
OPEN, CLOSED = "/open/", "/closed/"
SETTINGS = router.RoutingSettings(
    staleMs=float("inf"),
    ramp_ms=1.0,
    pauseMs=100.0,
    retryRatio=1.0,
    retryWindowMs=10_000.0,
    attempt_ms=1000.0,
    retryAllowance=1000.0,
)
_SERVICES = {"s": {"kind": "models", "models": [{"name": MODEL, "roomMb": 1.0}], "loadsPerS": 1.0}}


def tenant(*keys, rank=None):
    """The configuration of one tenant."""
    return {"keys": list(keys), "ratePerS": 0.0, "burst": 0.0, "rank": rank}


def _route(prefix, public):
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "holdMs": 20_000.0,
        "aimMs": 500.0,
        "rank": ROUTE_RANK,
        "split": [{"service": "s", "weight": 1.0}],
        "tries": TRIES,
        "public": public,
    }


class TenantNode:
    """`send`, `attempt_failed`, `configure` and `load` do one thing each and return {token:
    outcome} of the requests that it decides: an Attempt or a failure."""

    def __init__(self, tenants=None, loaded=True, age_ms=0.0):
        engines = {f"e{n}": engine_facts(f"e{n}", "s", slots=64, roomMb=10) for n in range(ENGINES)}
        registry = registries.Registry(engines=engines)
        self.now_ms = NOW_MS
        self.node = SimpleNamespace(
            closing=False,
            config=SimpleNamespace(bounds=SimpleNamespace(layoutMs=BOUND_MS)),
            follower=follower.FeedFollower(current_ms=NOW_MS - age_ms),
            cluster=cluster_state.ClusterState(SHARDS, registry=registry),
            router=router.Router(SETTINGS),
            times=SimpleNamespace(elect_ms=300.0),
        )
        self._stamp, self.requests = 0, {}
        self.configure(tenants or {})
        self.load(loaded)

    def configure(self, tenants):
        """Put a configuration with these tenants in force."""
        self._stamp += 1
        routes = {"open": _route(OPEN, True), "closed": _route(CLOSED, False)}
        section = {**written.section(routes, _SERVICES), "tenants": tenants}
        record = {"k": "layout", "partner": written.OWNER, "section": section}
        record["stamp"] = self._stamp
        registries.apply(self.node.cluster.registry, json.dumps(record).encode())
        return self._retry_waiting()

    def load(self, loaded):
        """Load the model on all engines, or unload it from all."""
        ledger = cluster_state.ledger_of(self.node.cluster, registry_view.shard_of("s", SHARDS))
        for engine in self.node.cluster.registry.engines:
            verb = "load" if loaded else "unload"
            record = ledgers.order_record(engine, MODEL, verb, f"o{engine}", 1.0, 0, "s")
            ledgers.apply(ledger, record)
            state = "loaded" if loaded else "gone"
            ledgers.apply(ledger, ledgers.state_record(engine, MODEL, f"o{engine}", state))
        return self._retry_waiting()

    def _retry_waiting(self):
        node = self.node
        return _outcomes(router.retry_waiting(node.router, self.now_ms, node.cluster, 0.0, NODES))

    def send(self, token, key, prefix=CLOSED):
        """A request comes in with a key, given as bytes."""
        request = {
            "id": token,
            "host": HOST,
            "path": prefix + "x",
            "model": MODEL,
            "adapter": "",
            "opening": [],
            "tokens": (),
            "deadlineMs": 20_000,
            "key": key,
        }
        self.requests[token] = request
        return _outcomes(passages.begin(self.node, self.now_ms, token, request, NODES))

    def attempt_failed(self, token, proof):
        """An attempt of a request ended without a response."""
        node = self.node
        effects = router.ended(node.router, self.now_ms, node.cluster, 0.0, NODES, token, proof)
        return _outcomes(effects)

    def silent(self, token):
        """An attempt of a request has had no response for long."""
        node = self.node
        return _outcomes(
            router.attempt_silent(node.router, self.now_ms, node.cluster, 0.0, NODES, token)
        )

    def task(self, token):
        return self.node.router.tasks[token]


def _outcomes(effects):
    return {e.token: e.outcome for e in effects if isinstance(e, Reply)}


def outcome_in_short(outcome):
    """An outcome in short: the tenant of an Attempt, or the status of a failure."""
    if isinstance(outcome, Attempt):
        return ("attempt", outcome.tenant)
    assert isinstance(outcome, failures.Failure), outcome
    return ("refused", outcome.status)
