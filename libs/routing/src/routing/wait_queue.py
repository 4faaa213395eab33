"""Tasks that wait for a model to be loaded or for a place: which may wait, and for how long.

The queue is bounded, and lower classes get only a part of it.  Callers from a platform are told to
retry before they would give up by themselves; a task whose model is being loaded already waits
longer than one whose model isn't.
"""

from placement import cluster_state, registry_view
from placement import ledger as ledgers
from placement.placement import item_name

from routing.tasks import Hold

__all__ = [
    "await_quota",
    "dropped_by_holder",
    "hold_for_model",
    "in_order",
    "has_room",
    "loading_deadline_ms",
    "wait_for_place",
]

# The longest waits as fractions of a task's time: for a place (of the time that remains), for its
# model, and for its model while an engine is loading it (of the whole time).
_PLACE_FRACTION = 0.4
_QUEUE_FRACTION = 0.45
_LOADING_FRACTION = 0.8
# The longest waits as fractions of the time after which the caller would give up: for a place or
# a model, and for a model while an engine is loading it.
_PATIENCE_FRACTION = 0.75
_LOADING_PATIENCE_FRACTION = 0.9


def has_room(router, task):
    """Whether one more task may wait here; the lowest class is refused first."""
    waiting = sum(t.waiting or t.awaiting_quota for t in router.tasks.values())
    return waiting < router.settings.max_waiting * (1 - 0.25 * min(task.rank, 3))


def _patience_ends_ms(task, fraction):
    """The time at which this fraction of the time that the caller waits is used up."""
    return task.since_ms + fraction * task.patience_ms


def wait_for_place(task, now_ms):
    """The model is loaded, but no engine that has it has a place: wait a while for a place."""
    give_up_ms = now_ms + _PLACE_FRACTION * (task.end_ms - now_ms)
    task.model_loaded, task.give_up_ms = (
        True,
        min(give_up_ms, _patience_ends_ms(task, _PATIENCE_FRACTION)),
    )


def _give_up_ms(task, now_ms):
    """When a task that is queued now gives up."""
    if not task.from_platform:
        return task.end_ms
    give_up_ms = task.since_ms + _QUEUE_FRACTION * (task.end_ms - task.since_ms)
    return max(now_ms, min(give_up_ms, _patience_ends_ms(task, _PATIENCE_FRACTION)))


def await_quota(task, now_ms):
    """Have a task wait for a token of its tenant's rate limit."""
    task.awaiting_quota = True
    task.give_up_ms = _give_up_ms(task, now_ms)


def hold_for_model(cluster, task, now_ms):
    """Have a task wait for its model; returns the Hold for the lease holder of its service's
    shard."""
    task.waiting = True
    task.give_up_ms = _give_up_ms(task, now_ms)
    body = {
        "id": task.id,
        "service": task.service,
        "model": task.model,
        "adapter": task.adapter,
        "class": task.cls,
        "waitMs": int(task.give_up_ms - now_ms),
    }
    return Hold("hold", registry_view.shard_of(task.service, cluster.shards), body)


def in_order(router):
    """The waiting tasks in the order in which they are tried again."""
    return sorted(
        (t for t in router.tasks.values() if t.waiting),
        key=lambda t: (t.urgency, t.turn or 1 << 60, t.since_ms),
    )


def dropped_by_holder(cluster, task):
    """(cause, retry delay) if the lease holder has dropped the task from its queue, else None."""
    ledger = cluster_state.ledger_of(cluster, registry_view.shard_of(task.service, cluster.shards))
    if task.id in ledger.holds:
        task.was_queued = True
        return None
    return ledger.told.get(task.id, ("no-room", 5000) if task.was_queued else None)


def loading_deadline_ms(cluster, task):
    """Until when a task may wait for a model that an engine is already loading."""
    ledger = cluster_state.ledger_of(cluster, registry_view.shard_of(task.service, cluster.shards))
    item = item_name(task.model, task.adapter)
    if not task.from_platform or not ledgers.is_loading(ledger, {task.model, item}):
        return task.give_up_ms
    deadline_ms = task.since_ms + _LOADING_FRACTION * (task.end_ms - task.since_ms)
    return min(deadline_ms, _patience_ends_ms(task, _LOADING_PATIENCE_FRACTION))
