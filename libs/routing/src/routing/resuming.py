"""Resumes a run whose connection broke, at the engine that offered it."""

from placement import cluster_state
from transport import failures
from transport.effects import Reply

from routing import retry_budget, tenants
from routing.tasks import Attempt

__all__ = ["resume"]


def resume(router, now_ms, cluster, nodes, token, incarnation):
    """Decide whether to resume a stream whose connection broke: one more attempt at the same
    engine, if it is still the same incarnation and the retry budget allows it."""
    task = router.tasks.get(token)
    engine = cluster.registry.engines.get(task.attempted[-1]) if task and task.attempted else None
    if (
        engine is None
        or cluster_state.incarnation(cluster, engine) != incarnation
        or (now_ms >= task.end_ms)
        or tenants.authorize(cluster.registry, task) is not None
        or not retry_budget.retry_allowed(router, now_ms, task.service, 0.0, nodes)
    ):
        return [Reply(token, failures.StreamCut("not-resumed", 0))]
    router.resumed += 1
    timeout_ms = min(router.settings.attempt_ms, task.end_ms - now_ms)
    return [Reply(token, Attempt(engine["name"], engine["url"], timeout_ms, tenant=task.tenant))]
