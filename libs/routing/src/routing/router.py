"""Routing: from a task to legs, one decision at a time.

A task gets a leg, a place in line, or its final answer.  A leg that may have
begun is never followed by another unless the task is repeatable or the engine
offers to resume that very run; another leg after a proven refusal costs a
token of a small budget.  Overload refuses the lowest class first, at once.
"""

from configuration import registry as registries
from placement import floor as floors
from placement import world
from placement.placement import item_name
from transport import failures
from transport.effects import Reply

from routing import (
    choice,
    engine_outcomes,
    engine_tracking,
    refusal_log,
    retry_budget,
    tenants,
    wait_queue,
)
from routing.final_responses import attempts_exhausted, fail, leave_queue, unlisted_model
from routing.tasks import Attempt, Done, KeepWaiting, Router, RoutingSettings, Task

__all__ = [
    "Router",
    "RoutingSettings",
    "Task",
    "Attempt",
    "Done",
    "KeepWaiting",
    "begin",
    "admit",
    "refuse",
    "ended",
    "retry_waiting",
    "tick",
    "hold_answered",
    "attempt_silent",
]


# Ends after which nothing more is done for a task.
_FINAL_PROOFS = ("done", "failed", "gone", "unanswered", "cut", "cut-late")
_AVOID_MS = {"not-run": 100.0, "no-pipe": 1000.0, "unknown": 1e12}


def begin(router, now_ms, floor, age_ms, nodes, task):
    """A caller's task has come in."""
    router.tasks[task.token] = task
    task.since_ms = now_ms
    if age_ms > router.settings.staleMs:
        return fail(
            router, task, failures.Stale(int(router.settings.staleMs), int(min(age_ms, 1e9)))
        )
    service = registries.services(floor.registry).get(task.service)
    if service is None:
        return fail(router, task, failures.UnknownService(task.service))
    retry_budget.count_request(router, now_ms, task.service)
    if service["kind"] == "models":
        failure = unlisted_model(floor, task)
        if failure is not None:
            return fail(router, task, failure)
    if task.awaiting_quota:
        return []
    return _dispatch(router, now_ms, floor, nodes, task)


def admit(router, now_ms, floor, nodes, task):
    """A task that waited for a token of its tenant's limit has it."""
    task.awaiting_quota = False
    return _dispatch(router, now_ms, floor, nodes, task)


def refuse(router, task, failure):
    """The final answer of a task that got no token."""
    return fail(router, task, failure)


def _dispatch(router, now_ms, floor, nodes, task):
    """Give the task a leg, or a place in line, or its final answer."""
    unauthorized = tenants.authorize(floor.registry, task)
    if unauthorized is not None:
        return fail(router, task, unauthorized)
    if now_ms >= task.end_ms:
        return fail(router, task, failures.DeadlinePassed(1000, bool(task.attempted)))
    if task.attempts_sent >= task.max_attempts:
        refusal_log.record(router, now_ms, floor, task, "engines-refused", nodes)
        return fail(router, task, attempts_exhausted(task))
    item = item_name(task.model, task.adapter) if task.model else ""
    available = floors.engines_with(floor, task.service, item)
    available = [e for e in available if task.avoid_until_ms.get(e["name"], 0.0) <= now_ms]
    service = registries.services(floor.registry).get(task.service)
    engine = choice.choose(router, now_ms, available, nodes, task, task.rank, service)
    if engine is not None:
        router.in_flight[engine["name"]] = router.in_flight.get(engine["name"], 0) + 1
        task.current_engine = engine["name"]
        task.attempted.append(task.current_engine)
        task.attempts_sent += 1
        timeout_ms = min(router.settings.attempt_ms, task.end_ms - now_ms)
        is_retry = task.attempts_sent > 1
        end_ms = now_ms + timeout_ms
        attempt = Attempt(
            engine["name"], engine["url"], timeout_ms, task.urgency, is_retry, end_ms, task.tenant
        )
        if item and not attempt.is_retry:
            for name in {task.model, item}:
                key = task.service, name
                router.demand_counts[key] = router.demand_counts.get(key, 0) + 1
        return [Reply(task.token, attempt)] + leave_queue(router, task, "served")
    if available or not item or (task.attempted and not task.from_platform):
        if task.waiting:
            if not task.model_loaded and not task.awaits_place:
                wait_queue.wait_for_place(task, now_ms)
            return []
        ready_ms = choice.ms_until_place(router, now_ms, available, nodes, task.rank, service)
        if (
            0 < ready_ms < task.end_ms - now_ms
            and not task.attempted
            and wait_queue.has_room(router, task)
        ):
            task.waiting = task.awaits_place = True
            task.give_up_ms = min(task.end_ms, now_ms + ready_ms + 2 * router.settings.pauseMs)
            return []
        retryMs = int(max(ready_ms, 1000 * (1 + task.rank)))
        cause = "all-busy" if available else "no-engine"
        refusal_log.record(router, now_ms, floor, task, cause, nodes)
        return fail(router, task, failures.Overloaded(retryMs, cause))
    return _enqueue(router, now_ms, floor, task)


def _enqueue(router, now_ms, floor, task):
    if task.waiting:
        return []
    if not wait_queue.has_room(router, task):
        return fail(router, task, failures.Overloaded(3000 * (1 + task.rank), "line-full"))
    if not any(
        world.usable(floor.registry, e) for e in world.engines_of(floor.registry, task.service)
    ):
        return fail(router, task, failures.NoRoom(3000, task.model, "no-engine"))
    return [wait_queue.hold_for_model(floor, task, now_ms)]


def hold_answered(router, now_ms, id_, outcome):
    """The holder's answer to a hold: a turn in line, or a refusal."""
    for task in list(router.tasks.values()):
        if task.id == id_ and task.waiting:
            if isinstance(outcome, failures.Failure):
                task.waiting = False
                return fail(router, task, outcome)
            task.turn = outcome.get("turn", 0)
    return []


def attempt_silent(router, now_ms, floor, age_ms, nodes, token):
    """No answer has begun on a task's leg for long: another leg elsewhere, if the task
    may run twice and there is a place for it, else the one that is out goes on."""
    task = router.tasks.get(token)
    if (
        task is None
        or not task.repeatable
        or not task.attempted
        or task.attempts_sent >= task.max_attempts
        or not tenants.is_authorized(floor.registry, task)
        or not retry_budget.retry_allowed(router, now_ms, task.service, age_ms, nodes, True)
    ):
        return [Reply(token, KeepWaiting())]
    engine, item = task.attempted[-1], item_name(task.model, task.adapter) if task.model else ""
    others = [
        e
        for e in floors.engines_with(floor, task.service, item)
        if e["name"] != engine
        and task.avoid_until_ms.get(e["name"], 0.0) <= now_ms
        and router.in_flight.get(e["name"], 0)
        < choice.limit(
            router,
            now_ms,
            e,
            nodes,
            task.rank,
            registries.services(floor.registry).get(task.service),
        )
    ]
    if not others:
        return [Reply(token, KeepWaiting())]
    return ended(router, now_ms, floor, age_ms, nodes, token, "unknown", True)


def retry_waiting(router, now_ms, floor, age_ms, nodes):
    """The floor changed, or a leg ended: those in line try again, in order."""
    engine_tracking.update(router, now_ms, floor)
    if age_ms > router.settings.staleMs:
        return []
    effects = []
    for task in wait_queue.in_order(router):
        dropped = wait_queue.dropped_by_holder(floor, task)
        if dropped:
            task.waiting = False
            effects += fail(router, task, failures.NoRoom(dropped[1], task.model, dropped[0]))
        else:
            effects += _dispatch(router, now_ms, floor, nodes, task)
    return effects


def tick(router, now_ms, floor):
    """Those whose time in line is over get their final answer now, but for a while longer
    those whose model is on its way."""
    effects = []
    for task in list(router.tasks.values()):
        if task.waiting and now_ms >= task.give_up_ms:
            awaits_place = task.awaits_place or task.model_loaded
            if not awaits_place and now_ms < wait_queue.loading_deadline_ms(floor, task):
                continue
            refusal_log.record(router, now_ms, floor, task, "waited for a place or a model")
            effects += fail(
                router,
                task,
                failures.Overloaded(1000, "all-busy")
                if awaits_place
                else failures.NoRoom(3000, task.model, "still-loading"),
            )
    return effects


def ended(router, now_ms, floor, age_ms, nodes, token, proof, superseded=False):
    """A leg ended.  `proof`: "done", "failed" (the engine's own answer says so), "not-run"
    (the engine's refusal), "no-pipe" (nothing was sent), "unknown", "timed-out" (unknown,
    since its time was over), "cut" or "cut-late" (a stream broke, in its time or at its
    end), "unanswered" (the caller left, past its aim, before any answer) or "gone" (the
    caller left)."""
    task = router.tasks.get(token)
    if task is None:
        return [Reply(token, Done())]
    engine, task.current_engine = task.current_engine, ""
    if engine:
        router.in_flight[engine] = max(0, router.in_flight.get(engine, 0) - 1)
        if not superseded:
            engine_outcomes.record(router, now_ms, engine, proof)
        proof = "unknown" if proof == "timed-out" else proof
        if proof in ("done", "not-run"):
            router.last_contact_ms[engine] = now_ms
        answered_lately = (
            superseded
            and now_ms - router.last_contact_ms.get(engine, -1e12) < 2 * router.settings.pauseMs
        )
        if proof in ("no-pipe", "unknown") and not answered_lately:
            choice.note_broken_attempt(router, now_ms, engine)
    if proof in _FINAL_PROOFS:
        router.tasks.pop(token, None)
        router.served += proof == "done"
        return [Reply(token, Done())] + leave_queue(router, task, proof)
    task.may_have_run = task.may_have_run or proof == "unknown"
    if engine:
        task.avoid_until_ms[engine] = now_ms + (
            _AVOID_MS.get(proof, 1e12) if task.from_platform else 1e12
        )
        if proof == "no-pipe" and task.from_platform:
            task.attempts_sent -= 1
            return _dispatch(router, now_ms, floor, nodes, task)
    may_retry = proof in ("not-run", "no-pipe") or task.repeatable
    if not may_retry:
        router.tasks.pop(token, None)
        return [Reply(token, failures.OutcomeUnknown("leg-broken"))]
    if not retry_budget.retry_allowed(router, now_ms, task.service, age_ms, nodes):
        if task.may_have_run:
            return fail(router, task, failures.OutcomeUnknown("leg-broken"))
        return fail(router, task, failures.Overloaded(2000, "no-retry-left"))
    router.retried += 1
    return _dispatch(router, now_ms, floor, nodes, task)
