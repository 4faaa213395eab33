"""Routing decisions: which attempt a task gets next, if any.

Each step gives a task an attempt, a place in a wait queue, or its final response.  An attempt that
may have run is followed by another only if the task is repeatable or the engine offers to resume
that run.  An attempt after a proven refusal counts against the retry budget.  Under overload, the
lowest class is refused first and at once.
"""

from configuration import registry as registries
from placement import cluster_state, registry_view
from placement.placement import item_name
from transport import failures
from transport.effects import Reply

from routing import (
    choice,
    draining,
    engine_outcomes,
    engine_tracking,
    refusal_log,
    retry_budget,
    tenants,
    wait_queue,
)
from routing.final_responses import attempts_exhausted, fail, leave_queue, unlisted_item
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


# Proofs (see `ended`) after which a task is over.
_FINAL_PROOFS = ("done", "failed", "gone", "unanswered", "cut", "cut-late")
# How long a task of a platform avoids an engine after an attempt with this proof.  After other
# proofs, and for other tasks, the engine is avoided for good.
_AVOID_MS = {"not-run": 100.0, "no-pipe": 1000.0, "unknown": 1e12}


def begin(router, now_ms, cluster, age_ms, nodes, task):
    """Start a new task; returns the effects.  `cluster` is the cluster state that this node
    follows, `age_ms` its age, and `nodes` the RoutingNodes."""
    router.tasks[task.token] = task
    task.since_ms = now_ms
    if age_ms > router.settings.staleMs:
        return fail(
            router, task, failures.Stale(int(router.settings.staleMs), int(min(age_ms, 1e9)))
        )
    failure = unlisted_item(cluster, task)
    if failure is not None:
        return fail(router, task, failure)
    retry_budget.count_request(router, now_ms, task.service)
    if task.awaiting_quota:
        return []
    return _dispatch(router, now_ms, cluster, nodes, task)


def admit(router, now_ms, cluster, nodes, task):
    """Dispatch a task that waited for a token of its tenant's rate limit and now has one."""
    task.awaiting_quota = False
    return _dispatch(router, now_ms, cluster, nodes, task)


def refuse(router, task, failure):
    """End a task with `failure`, since it got no token of its tenant's rate limit."""
    return fail(router, task, failure)


def _dispatch(router, now_ms, cluster, nodes, task):
    """Give the task an attempt, a place in a wait queue, or its final response."""
    unauthorized = tenants.authorize(cluster.registry, task)
    if unauthorized is not None:
        return fail(router, task, unauthorized)
    if draining.refuses_new_attempts(router, now_ms, task):
        return fail(router, task, draining.CLOSING)
    if now_ms >= task.end_ms:
        return fail(router, task, failures.DeadlinePassed(1000, bool(task.attempted)))
    if task.attempts_sent >= task.max_attempts:
        refusal_log.record(router, now_ms, cluster, task, "engines-refused", nodes)
        return fail(router, task, attempts_exhausted(task))
    item = item_name(task.model, task.adapter) if task.model else ""
    available = cluster_state.engines_with(cluster, task.service, item)
    available = [e for e in available if task.avoid_until_ms.get(e["name"], 0.0) <= now_ms]
    service = registries.services(cluster.registry).get(task.service)
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
        refusal_log.record(router, now_ms, cluster, task, cause, nodes)
        return fail(router, task, failures.Overloaded(retryMs, cause))
    return _enqueue(router, now_ms, cluster, task)


def _enqueue(router, now_ms, cluster, task):
    """Queue the task for its model at the lease holder of its service's shard, unless the
    configuration has dropped the model or the service."""
    failure = unlisted_item(cluster, task)
    if failure is not None:
        return fail(router, task, failure)
    if task.waiting:
        return []
    if not wait_queue.has_room(router, task):
        return fail(router, task, failures.Overloaded(3000 * (1 + task.rank), "line-full"))
    if not any(
        registry_view.usable(cluster.registry, e)
        for e in registry_view.engines_of(cluster.registry, task.service)
    ):
        return fail(router, task, failures.NoRoom(3000, task.model, "no-engine"))
    return [wait_queue.hold_for_model(cluster, task, now_ms)]


def hold_answered(router, now_ms, id_, outcome):
    """Apply the lease holder's response to a hold: a position in the queue, or a refusal."""
    for task in list(router.tasks.values()):
        if task.id == id_ and task.waiting:
            if isinstance(outcome, failures.Failure):
                task.waiting = False
                return fail(router, task, outcome)
            task.turn = outcome.get("turn", 0)
    return []


def attempt_silent(router, now_ms, cluster, age_ms, nodes, token):
    """Handle an attempt that has had no response for long: start another one elsewhere if the task
    is repeatable and another engine has a place, else keep waiting."""
    task = router.tasks.get(token)
    if (
        task is None
        or not task.repeatable
        or not task.attempted
        or task.attempts_sent >= task.max_attempts
        or not tenants.is_authorized(cluster.registry, task)
        or not retry_budget.retry_allowed(router, now_ms, task.service, age_ms, nodes, True)
    ):
        return [Reply(token, KeepWaiting())]
    engine, item = task.attempted[-1], item_name(task.model, task.adapter) if task.model else ""
    others = [
        e
        for e in cluster_state.engines_with(cluster, task.service, item)
        if e["name"] != engine
        and task.avoid_until_ms.get(e["name"], 0.0) <= now_ms
        and router.in_flight.get(e["name"], 0)
        < choice.limit(
            router,
            now_ms,
            e,
            nodes,
            task.rank,
            registries.services(cluster.registry).get(task.service),
        )
    ]
    if not others:
        return [Reply(token, KeepWaiting())]
    return ended(router, now_ms, cluster, age_ms, nodes, token, "unknown", True)


def retry_waiting(router, now_ms, cluster, age_ms, nodes):
    """Try the waiting tasks again, in order, after the cluster state changed or an attempt
    ended."""
    engine_tracking.update(router, now_ms, cluster)
    if age_ms > router.settings.staleMs:
        return []
    effects = []
    for task in wait_queue.in_order(router):
        dropped = wait_queue.dropped_by_holder(cluster, task)
        if dropped:
            task.waiting = False
            effects += fail(router, task, failures.NoRoom(dropped[1], task.model, dropped[0]))
        else:
            effects += _dispatch(router, now_ms, cluster, nodes, task)
    return effects


def tick(router, now_ms, cluster):
    """End the tasks that have waited for too long, or whose wait ends because the process stops.
    Those whose model is being loaded may wait longer."""
    effects = draining.answer_due(router, now_ms, cluster)
    for task in list(router.tasks.values()):
        if task.waiting and now_ms >= task.give_up_ms:
            awaits_place = task.awaits_place or task.model_loaded
            if not awaits_place and now_ms < wait_queue.loading_deadline_ms(cluster, task):
                continue
            refusal_log.record(router, now_ms, cluster, task, "waited for a place or a model")
            effects += fail(
                router,
                task,
                failures.Overloaded(1000, "all-busy")
                if awaits_place
                else failures.NoRoom(3000, task.model, "still-loading"),
            )
    return effects


def ended(router, now_ms, cluster, age_ms, nodes, token, proof, superseded=False):
    """Handle the end of an attempt.  Its proof is one of "done", "failed" (the engine's
    response reports a failure), "not-run" (the engine refused it), "no-pipe" (nothing was sent),
    "unknown" (it may have run), "timed-out" (unknown, after its timeout), "cut" or "cut-late" (a
    stream broke before or at its deadline), "unanswered" (the caller left after its target latency
    without a response) and "gone" (the caller left).  `superseded`: abandoned for another
    attempt."""
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
            return _dispatch(router, now_ms, cluster, nodes, task)
    may_retry = proof in ("not-run", "no-pipe") or task.repeatable
    if not may_retry:
        router.tasks.pop(token, None)
        return [Reply(token, failures.OutcomeUnknown("leg-broken"))]
    if not retry_budget.retry_allowed(router, now_ms, task.service, age_ms, nodes):
        if task.may_have_run:
            return fail(router, task, failures.OutcomeUnknown("leg-broken"))
        return fail(router, task, failures.Overloaded(2000, "no-retry-left"))
    router.retried += 1
    return _dispatch(router, now_ms, cluster, nodes, task)
