"""Final answers of the router's own: what a task is told that gets no attempt any more."""

from placement import world
from placement.placement import item_name
from transport import failures
from transport.effects import Reply

from routing.tasks import Hold

__all__ = ["fail", "leave_line", "spent", "unlisted"]

# When to come back for a model that no configuration known here lists.
_UNLISTED_RETRY_MS = 1000


def fail(r, task, failure):
    """The task's final answer; what promises that it has not run is told only if no leg
    may have."""
    if task.may_have_run:
        failure = failures.for_started_request(failure)
    r.tasks.pop(task.token, None)
    r.refused += 1
    gone = leave_line(r, task, "refused")
    return [Reply(task.token, failure)] + gone


def leave_line(r, task, why):
    """Give a task's place in the holder's line back."""
    if not task.waiting or task.short:
        task.waiting = False
        return []
    task.waiting = False
    return [Hold("unhold", -1, {"service": task.service, "id": task.id, "why": why})]


def unlisted(floor, task):
    """What to tell a task whose model the configuration doesn't list, or None if it may go
    on.  A platform's caller may have it from a newer configuration, so it comes back later;
    one that names no model is any engine's."""
    item = item_name(task.model, task.adapter)
    if task.told and not item:
        return None
    if world.size_of(floor.registry, item):
        return None
    if task.told:
        return failures.NoRoom(_UNLISTED_RETRY_MS, item, "unlisted")
    return failures.UnknownModel(task.service, item)


def spent(task):
    """What is told of a task whose legs have all ended without an answer.  If none may have
    run, each was refused by its engine, which needn't be busy: it may hold something else."""
    if task.may_have_run:
        return failures.OutcomeUnknown("leg-broken")
    return failures.Overloaded(1000, "engines-refused")
