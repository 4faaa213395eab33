"""Requests of a router whose process is being stopped: each gets an answer before the process ends.

A request that still waits when the process ends would get no answer at all.  So a draining router
refuses new requests from some time on, and ends the waits of the others in time: the caller is told
that the request has not run, and has the rest of its time for another node.  A wait that is
unlikely to be over in time ends sooner than the others.
"""

from dataclasses import dataclass

from placement import cluster_state, registry_view
from placement import ledger as ledgers
from placement.placement import item_name
from transport import failures

from routing.final_responses import fail

__all__ = ["CLOSING", "Drain", "answer_due", "refuses_new_attempts", "refuses_new_requests"]

# The refusal by a node that is being stopped; another node may take the request at once.
CLOSING = failures.Overloaded(200, "closing")


@dataclass(frozen=True)
class Drain:
    """Times on the event loop's clock.  Requests that arrive after `accept_end_ms` are refused, and
    those that then wait for a model that no engine is loading.  All other waits end at
    `wait_end_ms`."""

    accept_end_ms: float
    wait_end_ms: float


def refuses_new_requests(router, now_ms):
    """Whether a request that arrives now is refused."""
    return router.drain is not None and now_ms >= router.drain.accept_end_ms


def refuses_new_attempts(router, now_ms, task):
    """Whether a task that has certainly not run gets no attempt any more."""
    return router.drain is not None and now_ms >= router.drain.wait_end_ms and not task.may_have_run


def answer_due(router, now_ms, cluster):
    """Refuse the tasks whose wait is over because the process stops; returns the effects."""
    if router.drain is None:
        return []
    effects = []
    for task in list(router.tasks.values()):
        if (task.waiting or task.awaiting_quota) and now_ms >= _wait_end_ms(router, cluster, task):
            effects += fail(router, task, CLOSING)
    return effects


def _wait_end_ms(router, cluster, task):
    """Until when a waiting task may wait on."""
    if _awaits_unloaded_model(cluster, task):
        return router.drain.accept_end_ms
    return router.drain.wait_end_ms


def _awaits_unloaded_model(cluster, task):
    """Whether a task waits for a model that no engine has or is loading."""
    if not task.waiting or task.awaits_place or task.model_loaded:
        return False
    if cluster_state.engines_with(cluster, task.service, task.model):
        return False
    ledger = cluster_state.ledger_of(cluster, registry_view.shard_of(task.service, cluster.shards))
    return not ledgers.is_loading(ledger, {task.model, item_name(task.model, task.adapter)})
