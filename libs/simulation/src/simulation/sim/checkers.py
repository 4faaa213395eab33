"""The never-list as functions over a recorded history.

Each takes the run and returns the violations it found, as (checker, facts).
They look only at what engines, callers and operators saw, and at samples of
what nodes believed; never at what the cores think of themselves.
"""

import bisect

from routing.router import Done
from transport import failures

from simulation.sim import limits

__all__ = ["ALL", "check"]

_SURE = (
    failures.Overloaded,
    failures.NoRoom,
    failures.Stale,
    failures.UnknownModel,
    failures.UnknownService,
    failures.NoHolder,
)
_SLACK_MS = 400.0


def ran_twice(run):
    """A task that may not be repeated ran twice."""
    counts = {}
    for begun in run.history.begun:
        if not begun.repeatable:
            counts[begun.task] = counts.get(begun.task, 0) + 1
    return [("ran-twice", {"task": t, "runs": c}) for t, c in counts.items() if c > 1]


def refused_but_ran(run):
    """A caller was told "refused", yet the task ran, before or after."""
    ran = {b.task for b in run.history.begun if not b.repeatable}
    return [
        ("refused-but-ran", {"task": t["id"], "outcome": type(t["outcome"]).__name__})
        for t in run.history.ended
        if t["id"] in ran and isinstance(t["outcome"], _SURE)
    ]


def answers(run):
    """Foreign or cut answers that look whole; pieces skipped, repeated, joined."""
    found = []
    for task in run.history.ended:
        outcome, seen = task["outcome"], task["seen"]
        whole = isinstance(outcome, dict)
        if isinstance(outcome, Done):
            found.append(("done-without-answer", {"task": task["id"]}))
        if any(p["task"] != task["id"] for p in seen):
            found.append(("foreign-piece", {"task": task["id"]}))
        if len({p["run"] for p in seen}) > 1:
            found.append(("joined-runs", {"task": task["id"]}))
        numbers = [p["n"] for p in seen]
        if task["told"]["stream"] and numbers != list(range(len(numbers))):
            found.append(("pieces", {"task": task["id"], "numbers": numbers}))
        if whole and not (seen and seen[-1]["last"]):
            found.append(("cut-looks-whole", {"task": task["id"]}))
    return found


def _shut_since(news, key, at_ms):
    """Since when a zone or engine is surely shut for new work at a time: told so
    at some stamp, and nobody has asked to open it that might come after."""
    shut = [n for n in news if n["key"] == key and n["shut"] and n["atMs"] <= at_ms]
    opened = [n for n in news if n["key"] == key and not n["shut"] and n["atMs"] <= at_ms]
    sure = [
        s["atMs"]
        for s in shut
        if not any(o["stamp"] is None or o["stamp"] > s["stamp"] for o in opened)
    ]
    return min(sure, default=None)


def _late_work(run, news, of, bound_ms, tag):
    """Work given out later than the bound after news that forbade it."""
    found = []
    for b in run.history.begun:
        since_ms = _shut_since(news, b.engine if of == "engine" else b.zone, b.given_ms)
        if since_ms is not None and b.given_ms - since_ms > bound_ms + _SLACK_MS:
            found.append(
                (tag, {"task": b.task, "engine": b.engine, "lateMs": round(b.given_ms - since_ms)})
            )
    return found


def leaving(run):
    return _late_work(
        run, run.history.engine_news, "engine", run.bounds.leavingMs, "leaving-engine-got-work"
    )


def evacuated(run):
    return _late_work(
        run, run.history.zone_news, "zone", run.bounds.evacuateMs, "evacuated-zone-got-work"
    )


def layout_followed(run):
    """A node that could be reached did not follow an acknowledged change in time;
    or any node, reached or not, still gave out work on an older layout."""
    found = [
        ("not-followed", facts) for facts in run.history.wrong if facts["what"] == "not-followed"
    ]
    acked = sorted((at_ms, stamp) for _, stamp, at_ms in run.history.acked)
    times, top, tops = [], 0, []
    for at_ms, stamp in acked:
        top = max(top, stamp)
        times.append(at_ms + run.bounds.layoutMs + _SLACK_MS / 4)
        tops.append(top)
    for b in run.history.begun:
        place = bisect.bisect_left(times, b.given_ms)
        if place and b.stamp < tops[place - 1]:
            found.append(
                (
                    "worked-on-old-layout",
                    {
                        "task": b.task,
                        "node": b.node,
                        "stamp": b.stamp,
                        "inForce": tops[place - 1],
                        "atMs": round(b.given_ms),
                    },
                )
            )
    return found


def slipped(run):
    return [
        ("slipped-back", facts) for facts in run.history.wrong if facts["what"] == "slipped-back"
    ]


def acked_lost(run):
    """An acknowledged change that some node's final state does not hold."""
    found = []
    for change, stamp, _ in run.history.acked:
        lack = [n for n, known in run.final_changes.items() if known.get(change) != stamp]
        if lack or not run.final_changes:
            found.append(("acked-lost", {"change": change, "stamp": stamp, "by": lack}))
    stamps = [s for _, s, _ in run.history.acked]
    if len(set(stamps)) != len(stamps):
        found.append(("one-stamp-two-changes", {"stamps": sorted(stamps)}))
    return found


def two_owners(run):
    """An order sent after a newer epoch's, or obeyed after one."""
    newest, found = {}, []
    for at_ms, engine, incarnation, shard, epoch, _, _, code, sent_ms in run.history.orders:
        key = (engine, incarnation, shard)
        top, top_sent_ms = newest.get(key, (0, 0.0))
        if epoch < top and (code == 202 or sent_ms > top_sent_ms):
            found.append(
                (
                    "old-owner",
                    {
                        "engine": engine,
                        "epoch": epoch,
                        "newest": top,
                        "obeyed": code == 202,
                        "atMs": round(at_ms),
                    },
                )
            )
        if epoch > top:
            newest[key] = (epoch, sent_ms)
    return found


def returned(run):
    return (
        []
        if run.back_ms is not None and run.back_ms <= run.bounds.serviceBackMs
        else [("not-back", {"afterMs": run.back_ms, "missing": run.missing})]
    )


ALL = {
    "stream-runs-once": ran_twice,
    "refused-never-runs": refused_but_ran,
    "answers-whole": answers,
    "leaving-engine": leaving,
    "evacuated-zone": evacuated,
    "layout-followed": layout_followed,
    "never-back": slipped,
    "acked-kept": acked_lost,
    "one-owner": two_owners,
    "room-and-store": limits.over_room,
    "no-flood": limits.flooded,
    "few-retries": limits.retries,
    "service-back": returned,
    "final-answers": limits.finals,
    "partners": limits.partners,
}


def check(run):
    return {name: found for name, rule in ALL.items() if (found := rule(run))}
