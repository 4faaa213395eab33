"""Going on with a run whose pipe broke, at the engine that offered to."""

from placement import floor as floors
from transport import failures
from transport.effects import Reply

from routing import retry_budget, tenants
from routing.tasks import Attempt

__all__ = ["resume"]


def resume(router, now_ms, floor, nodes, token, incarnation):
    """The pipe of a stream broke, and its engine offered to go on with that very
    run: one more leg to it, if it is still the same incarnation, within the
    budget of retries."""
    task = router.tasks.get(token)
    engine = floor.registry.engines.get(task.attempted[-1]) if task and task.attempted else None
    if (
        engine is None
        or floors.incarnation(floor, engine) != incarnation
        or (now_ms >= task.end_ms)
        or tenants.authorize(floor.registry, task) is not None
        or not retry_budget.retry_allowed(router, now_ms, task.service, 0.0, nodes)
    ):
        return [Reply(token, failures.StreamCut("not-resumed", 0))]
    router.resumed += 1
    timeout_ms = min(router.settings.attempt_ms, task.end_ms - now_ms)
    return [Reply(token, Attempt(engine["name"], engine["url"], timeout_ms, tenant=task.tenant))]
