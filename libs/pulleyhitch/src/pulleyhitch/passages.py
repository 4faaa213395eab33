"""Passages: callers' requests through the gateway, routed by host and path and proxied unchanged.

The platform's dialect reads the fields of a request.  The layout determines its route, its
service out of the route's split, how long it may wait for an engine, and its number of attempts.
"""

import json

from configuration import registry as registries
from placement import registry_view
from replication import follower as follows
from routing import draining, engine_outcomes, router, routes, tenants
from transport import failures
from transport.effects import Reply, Send
from transport.messages import ShardCommand

from pulleyhitch import quota_requests

__all__ = ["begin", "ready", "report_demand"]

# Number of parts of a prompt's opening that are joined into the routing key.
_OPENING_PARTS = 2
# Rank of a route that sets none.
_DEFAULT_RANK = 5


def ready(node, now_ms):
    """Readiness: the node isn't stopping, and knows the layout and the engines."""
    return (
        not node.closing
        and not node.leaving
        and bool(registries.services(node.cluster.registry))
        and bool(node.cluster.registry.engines)
        and node.follower.current_ms > -1e11
    )


def begin(node, now_ms, token, facts, peers):
    """Start a caller's request; its first outcome comes as a Reply effect, now or later."""
    if node.closing or draining.refuses_new_requests(node.router, now_ms):
        return [Reply(token, draining.CLOSING)]
    if node.follower.current_ms <= -1e11 or not registries.services(node.cluster.registry):
        return [Reply(token, failures.Stale(int(2 * node.times.election_ms), 0))]
    found = routes.match(node.cluster.registry, facts["host"], facts["path"])
    age_ms = follows.age(node.follower, now_ms)
    if found is None:
        return [Reply(token, _unless_stale(node, age_ms, failures.NotFound("route")))]
    name, route = found
    credential = _credential(facts, route)
    tenant = tenants.identify(node.cluster.registry, credential)
    if isinstance(tenant, failures.Failure):
        return [Reply(token, _unless_stale(node, age_ms, tenant))]
    task = _task(token, facts, route, now_ms, credential, tenant)
    facts.update(
        route=name,
        tenant=tenant.name,
        kind=route["kind"],
        repeatable=task.repeatable,
        resumable=route.get("resumable", False),
        rank=task.rank,
        aimMs=task.aimMs,
    )
    return quota_requests.begin(node, now_ms, age_ms, peers, task)


def _credential(facts, route):
    """Credential of a request; only a digest of the API key is kept."""
    key = facts.pop("key", b"")
    return tenants.Credential(tenants.digest(key), route.get("public", False))


def _unless_stale(node, age_ms, failure):
    """`failure`, or Stale if this node's configuration may be out of date: a newer one may
    contain the route or the API key that is unknown here."""
    bound_ms = min(node.router.settings.staleMs, node.config.bounds.layoutMs)
    if age_ms > bound_ms:
        return failures.Stale(int(bound_ms), int(age_ms))
    return failure


def _task(token, facts, route, now_ms, credential, tenant):
    stream = route["kind"] == "stream"
    rank = route.get("rank", _DEFAULT_RANK)
    repeatable = route["kind"] == "safe" or (stream and route.get("resumable", False))
    hold_ms = min(facts["deadlineMs"], route["holdMs"])
    return router.Task(
        token,
        f"{token}.{facts['id']}"[:80],
        routes.service_for(route, facts["id"]),
        facts["model"],
        facts["adapter"],
        f"rank{rank}",
        "|".join(facts["opening"][:_OPENING_PARTS]),
        repeatable,
        stream,
        now_ms + hold_ms,
        rank=rank,
        aimMs=route["aimMs"],
        max_attempts=route.get("tries", 1),
        tokens=facts["tokens"],
        from_platform=True,
        patience_ms=route.get("patienceMs") or float("inf"),
        credential=credential,
        tenant=tenant.name,
        tenant_rank=tenant.rank,
    )


def report_demand(node, now_ms, holder_address):
    """Report to the placers how often items were requested, and the outcomes of engines."""
    has_reports = node.router.demand_counts or node.router.unreported_failures
    if not has_reports or now_ms - node.operator.demand_reported_ms < 2 * node.times.ping_ms:
        return []
    node.operator.demand_reported_ms = now_ms
    reports = {}
    for (service, item), count in node.router.demand_counts.items():
        _for_shard(node, reports, service)["items"][item] = count
    node.router.demand_counts = {}
    engines = node.cluster.registry.engines
    for name, outcome in engine_outcomes.take_unreported(node.router, now_ms, engines).items():
        _for_shard(node, reports, engines[name]["service"])["outcomes"][name] = outcome
    return [
        Send(to, ShardCommand("", shard, "", "wanted", json.dumps(report).encode()))
        for shard, report in reports.items()
        if (to := holder_address(node, shard))
    ]


def _for_shard(node, reports, service):
    """The report to the placer of a service's shard, created on first use."""
    shard = registry_view.shard_of(service, node.config.shards)
    return reports.setdefault(shard, {"items": {}, "outcomes": {}})
