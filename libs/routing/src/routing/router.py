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
    engine_choice,
    engine_outcomes,
    engine_tracking,
    refusal_log,
    retry_budget,
    tenants,
    wait_queue,
)
from routing.final_responses import fail, leave_line, spent, unlisted
from routing.tasks import Done, Leg, Router, Stay, Task, Terms

__all__ = [
    "Router",
    "Terms",
    "Task",
    "Leg",
    "Done",
    "Stay",
    "begin",
    "admit",
    "refuse",
    "ended",
    "wake",
    "tick",
    "held",
    "silent",
]


# Ends after which nothing more is done for a task.
_OVER = ("done", "failed", "gone", "unanswered", "cut", "cut-late")
_AVOID_MS = {"not-run": 100.0, "no-pipe": 1000.0, "unknown": 1e12}


def begin(r, now_ms, floor, age_ms, crew, task):
    """A caller's task has come in."""
    r.tasks[task.token] = task
    task.since_ms = now_ms
    if age_ms > r.terms.staleMs:
        return fail(r, task, failures.Stale(int(r.terms.staleMs), int(min(age_ms, 1e9))))
    service = registries.services(floor.registry).get(task.service)
    if service is None:
        return fail(r, task, failures.UnknownService(task.service))
    retry_budget.count_request(r, now_ms, task.service)
    if service["kind"] == "models":
        failure = unlisted(floor, task)
        if failure is not None:
            return fail(r, task, failure)
    if task.awaiting_quota:
        return []
    return _go(r, now_ms, floor, crew, task)


def admit(r, now_ms, floor, crew, task):
    """A task that waited for a token of its tenant's limit has it."""
    task.awaiting_quota = False
    return _go(r, now_ms, floor, crew, task)


def refuse(r, task, failure):
    """The final answer of a task that got no token."""
    return fail(r, task, failure)


def _go(r, now_ms, floor, crew, task):
    """Give the task a leg, or a place in line, or its final answer."""
    unauthorized = tenants.judge(floor.registry, task)
    if unauthorized is not None:
        return fail(r, task, unauthorized)
    if now_ms >= task.end_ms:
        return fail(r, task, failures.DeadlinePassed(1000, bool(task.legs)))
    if task.sent >= task.tries:
        refusal_log.refused(r, now_ms, floor, task, "engines-refused", crew)
        return fail(r, task, spent(task))
    item = item_name(task.model, task.adapter) if task.model else ""
    found = floors.engines_with(floor, task.service, item)
    found = [e for e in found if task.avoid.get(e["name"], 0.0) <= now_ms]
    service = registries.services(floor.registry).get(task.service)
    best = engine_choice.choose(r, now_ms, found, crew, task, task.rank, service)
    if best is not None:
        r.busy[best["name"]] = r.busy.get(best["name"], 0) + 1
        task.out = best["name"]
        task.legs.append(task.out)
        task.sent += 1
        timeout_ms = min(r.terms.leg_ms, task.end_ms - now_ms)
        again = task.sent > 1
        end_ms = now_ms + timeout_ms
        leg = Leg(best["name"], best["url"], timeout_ms, task.urgency, again, end_ms, task.tenant)
        if item and not leg.again:
            for wanted in {task.model, item}:
                key = task.service, wanted
                r.wanted[key] = r.wanted.get(key, 0) + 1
        return [Reply(task.token, leg)] + leave_line(r, task, "served")
    if found or not item or (task.legs and not task.told):
        if task.waiting:
            if not task.up and not task.short:
                wait_queue.wait_for_place(task, now_ms)
            return []
        ready_ms = engine_choice.ready_in(r, now_ms, found, crew, task.rank, service)
        if 0 < ready_ms < task.end_ms - now_ms and not task.legs and wait_queue.is_open(r, task):
            task.waiting = task.short = True
            task.give_up_ms = min(task.end_ms, now_ms + ready_ms + 2 * r.terms.pauseMs)
            return []
        retryMs = int(max(ready_ms, 1000 * (1 + task.rank)))
        cause = "all-busy" if found else "no-engine"
        refusal_log.refused(r, now_ms, floor, task, cause, crew)
        return fail(r, task, failures.Overloaded(retryMs, cause))
    return _line_up(r, now_ms, floor, task)


def _line_up(r, now_ms, floor, task):
    if task.waiting:
        return []
    if not wait_queue.is_open(r, task):
        return fail(r, task, failures.Overloaded(3000 * (1 + task.rank), "line-full"))
    if not any(
        world.usable(floor.registry, e) for e in world.engines_of(floor.registry, task.service)
    ):
        return fail(r, task, failures.NoRoom(3000, task.model, "no-engine"))
    return [wait_queue.hold(floor, task, now_ms)]


def held(r, now_ms, id_, outcome):
    """The holder's answer to a hold: a turn in line, or a refusal."""
    for task in list(r.tasks.values()):
        if task.id == id_ and task.waiting:
            if isinstance(outcome, failures.Failure):
                task.waiting = False
                return fail(r, task, outcome)
            task.turn = outcome.get("turn", 0)
    return []


def silent(r, now_ms, floor, age_ms, crew, token):
    """No answer has begun on a task's leg for long: another leg elsewhere, if the task
    may run twice and there is a place for it, else the one that is out goes on."""
    task = r.tasks.get(token)
    if (
        task is None
        or not task.repeatable
        or not task.legs
        or task.sent >= task.tries
        or not tenants.is_held(floor.registry, task)
        or not retry_budget.retry_allowed(r, now_ms, task.service, age_ms, crew, True)
    ):
        return [Reply(token, Stay())]
    engine, item = task.legs[-1], item_name(task.model, task.adapter) if task.model else ""
    others = [
        e
        for e in floors.engines_with(floor, task.service, item)
        if e["name"] != engine
        and task.avoid.get(e["name"], 0.0) <= now_ms
        and r.busy.get(e["name"], 0)
        < engine_choice.limit(
            r, now_ms, e, crew, task.rank, registries.services(floor.registry).get(task.service)
        )
    ]
    if not others:
        return [Reply(token, Stay())]
    return ended(r, now_ms, floor, age_ms, crew, token, "unknown", True)


def wake(r, now_ms, floor, age_ms, crew):
    """The floor changed, or a leg ended: those in line try again, in order."""
    engine_tracking.notice(r, now_ms, floor)
    if age_ms > r.terms.staleMs:
        return []
    effects = []
    for task in wait_queue.in_order(r):
        told = wait_queue.dropped(floor, task)
        if told:
            task.waiting = False
            effects += fail(r, task, failures.NoRoom(told[1], task.model, told[0]))
        else:
            effects += _go(r, now_ms, floor, crew, task)
    return effects


def tick(r, now_ms, floor):
    """Those whose time in line is over get their final answer now, but for a while longer
    those whose model is on its way."""
    effects = []
    for task in list(r.tasks.values()):
        if task.waiting and now_ms >= task.give_up_ms:
            for_a_place = task.short or task.up
            if not for_a_place and now_ms < wait_queue.until_it_comes_ms(floor, task):
                continue
            refusal_log.refused(r, now_ms, floor, task, "waited for a place or a model")
            effects += fail(
                r,
                task,
                failures.Overloaded(1000, "all-busy")
                if for_a_place
                else failures.NoRoom(3000, task.model, "still-loading"),
            )
    return effects


def ended(r, now_ms, floor, age_ms, crew, token, proof, slow=False):
    """A leg ended.  `proof`: "done", "failed" (the engine's own answer says so), "not-run"
    (the engine's refusal), "no-pipe" (nothing was sent), "unknown", "timed-out" (unknown,
    since its time was over), "cut" or "cut-late" (a stream broke, in its time or at its
    end), "unanswered" (the caller left, past its aim, before any answer) or "gone" (the
    caller left)."""
    task = r.tasks.get(token)
    if task is None:
        return [Reply(token, Done())]
    engine, task.out = task.out, ""
    if engine:
        r.busy[engine] = max(0, r.busy.get(engine, 0) - 1)
        if not slow:
            engine_outcomes.note(r, now_ms, engine, proof)
        proof = "unknown" if proof == "timed-out" else proof
        if proof in ("done", "not-run"):
            r.heard_ms[engine] = now_ms
        lately = slow and now_ms - r.heard_ms.get(engine, -1e12) < 2 * r.terms.pauseMs
        if proof in ("no-pipe", "unknown") and not lately:
            engine_choice.broke(r, now_ms, engine)
    if proof in _OVER:
        r.tasks.pop(token, None)
        r.served += proof == "done"
        return [Reply(token, Done())] + leave_line(r, task, proof)
    task.may_have_run = task.may_have_run or proof == "unknown"
    if engine:
        task.avoid[engine] = now_ms + (_AVOID_MS.get(proof, 1e12) if task.told else 1e12)
        if proof == "no-pipe" and task.told:
            task.sent -= 1
            return _go(r, now_ms, floor, crew, task)
    again = proof in ("not-run", "no-pipe") or task.repeatable
    if not again:
        r.tasks.pop(token, None)
        return [Reply(token, failures.OutcomeUnknown("leg-broken"))]
    if not retry_budget.retry_allowed(r, now_ms, task.service, age_ms, crew):
        if task.may_have_run:
            return fail(r, task, failures.OutcomeUnknown("leg-broken"))
        return fail(r, task, failures.Overloaded(2000, "no-retry-left"))
    r.retried += 1
    return _go(r, now_ms, floor, crew, task)
