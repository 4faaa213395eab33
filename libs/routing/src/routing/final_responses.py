"""Final responses of the router itself, for tasks that get no further attempt."""

from configuration import registry as registries
from placement import registry_view
from placement.placement import item_name
from transport import failures
from transport.effects import Reply

from routing.tasks import Hold

__all__ = ["fail", "leave_queue", "attempts_exhausted", "unlisted_item"]

# Retry-After for a service or model that the configuration known here doesn't list.
_UNLISTED_RETRY_MS = 1000


def fail(router, task, failure):
    """End a task with a failure.  A failure that promises that the task has not run is replaced if
    an attempt may have run it."""
    if task.may_have_run:
        failure = failures.for_started_request(failure)
    router.tasks.pop(task.token, None)
    router.refused += 1
    released = leave_queue(router, task, "refused")
    return [Reply(task.token, failure)] + released


def leave_queue(router, task, why):
    """Give up a task's place in the wait queue of the shard's lease holder."""
    if not task.waiting or task.awaits_place:
        task.waiting = False
        return []
    task.waiting = False
    return [Hold("unhold", -1, {"service": task.service, "id": task.id, "why": why})]


def unlisted_item(cluster, task):
    """The failure for a task whose service or model the configuration doesn't list, or None if the
    task may go on.  On a platform the caller may know a newer configuration, so it is told to
    retry; a request without a model may go to any engine of the service."""
    item = item_name(task.model, task.adapter)
    service = registries.services(cluster.registry).get(task.service)
    if service is not None and (
        service["kind"] != "models"
        or (task.from_platform and not item)
        or registry_view.is_listed(cluster.registry, item)
    ):
        return None
    if task.from_platform:
        return failures.NoRoom(_UNLISTED_RETRY_MS, item, "unlisted")
    if service is None:
        return failures.UnknownService(task.service)
    return failures.UnknownModel(task.service, item)


def attempts_exhausted(task):
    """The failure for a task whose attempts all ended without a response.  If none may have run,
    each was refused by its engine, which isn't necessarily busy: it may hold other models."""
    if task.may_have_run:
        return failures.OutcomeUnknown("leg-broken")
    return failures.Overloaded(1000, "engines-refused")
