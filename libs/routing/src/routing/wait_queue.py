"""Waiting for a model that is coming up, or for a place: who may, and for how long.

A line has a bounded number of places, of which lower classes get a part.  Callers from a
platform are told when to come back before they would leave by themselves; one whose model
an engine is loading already waits longer than one for whom nothing has begun.
"""

from placement import floor as floors
from placement import ledger as ledgers
from placement import world
from placement.placement import item_name

from routing.tasks import Hold

__all__ = [
    "await_quota",
    "dropped",
    "hold",
    "in_order",
    "is_open",
    "until_it_comes_ms",
    "wait_for_place",
]

# Parts of a task's time: how long it waits for a place, for its model, and for its model
# while an engine is loading it.
_FOR_A_PLACE = 0.4
_IN_LINE = 0.45
_WHILE_COMING = 0.8
# Parts of the silence that its caller bears, likewise.
_IN_PATIENCE = 0.75
_IN_PATIENCE_WHILE_COMING = 0.9


def is_open(r, task):
    """Whether one more may wait here; the lowest class is shut out first."""
    waiting = sum(t.waiting or t.awaiting_quota for t in r.tasks.values())
    return waiting < r.terms.waiting_max * (1 - 0.25 * min(task.rank, 3))


def _leaves_ms(task, part):
    """When a part of the silence is over after which a task's caller leaves."""
    return task.since_ms + part * task.patience_ms


def wait_for_place(task, now_ms):
    """The model is up, but no engine that has it has a place: wait for one for a while."""
    give_up_ms = now_ms + _FOR_A_PLACE * (task.end_ms - now_ms)
    task.up, task.give_up_ms = True, min(give_up_ms, _leaves_ms(task, _IN_PATIENCE))


def _line_ends_ms(task, now_ms):
    """When a task that is in line from now on gives up."""
    if not task.told:
        return task.end_ms
    give_up_ms = task.since_ms + _IN_LINE * (task.end_ms - task.since_ms)
    return max(now_ms, min(give_up_ms, _leaves_ms(task, _IN_PATIENCE)))


def await_quota(task, now_ms):
    """Have a task wait for a token of its tenant's limit."""
    task.awaiting_quota = True
    task.give_up_ms = _line_ends_ms(task, now_ms)


def hold(floor, task, now_ms):
    """Have a task wait for its model: the Hold for the holder of its service's shard."""
    task.waiting = True
    task.give_up_ms = _line_ends_ms(task, now_ms)
    body = {
        "id": task.id,
        "service": task.service,
        "model": task.model,
        "adapter": task.adapter,
        "class": task.cls,
        "waitMs": int(task.give_up_ms - now_ms),
    }
    return Hold("hold", world.shard_of(task.service, floor.shards), body)


def in_order(r):
    """The tasks that wait, in the order in which they try again."""
    return sorted(
        (t for t in r.tasks.values() if t.waiting),
        key=lambda t: (t.urgency, t.turn or 1 << 60, t.since_ms),
    )


def dropped(floor, task):
    """(why, when to come back) if the holder has taken a task out of the line."""
    ledger = floors.ledger_of(floor, world.shard_of(task.service, floor.shards))
    if task.id in ledger.holds:
        task.lined = True
        return None
    return ledger.told.get(task.id, ("no-room", 5000) if task.lined else None)


def until_it_comes_ms(floor, task):
    """How long a task may wait for what an engine is loading already."""
    ledger = floors.ledger_of(floor, world.shard_of(task.service, floor.shards))
    item = item_name(task.model, task.adapter)
    if not task.told or not ledgers.coming(ledger, {task.model, item}):
        return task.give_up_ms
    coming_ms = task.since_ms + _WHILE_COMING * (task.end_ms - task.since_ms)
    return min(coming_ms, _leaves_ms(task, _IN_PATIENCE_WHILE_COMING))
