"""Going on with a run whose pipe broke, at the engine that offered to."""

from placement import cluster_state
from transport import failures
from transport.effects import Reply

from routing import retry_budget, tenants
from routing.tasks import Leg

__all__ = ["resume"]


def resume(r, now_ms, floor, crew, token, incarnation):
    """The pipe of a stream broke, and its engine offered to go on with that very
    run: one more leg to it, if it is still the same incarnation, within the
    budget of retries."""
    task = r.tasks.get(token)
    engine = floor.registry.engines.get(task.legs[-1]) if task and task.legs else None
    if (
        engine is None
        or cluster_state.incarnation(floor, engine) != incarnation
        or (now_ms >= task.end_ms)
        or tenants.judge(floor.registry, task) is not None
        or not retry_budget.retry_allowed(r, now_ms, task.service, 0.0, crew)
    ):
        return [Reply(token, failures.StreamCut("not-resumed", 0))]
    r.resumed += 1
    timeout_ms = min(r.terms.leg_ms, task.end_ms - now_ms)
    return [Reply(token, Leg(engine["name"], engine["url"], timeout_ms, tenant=task.tenant))]
