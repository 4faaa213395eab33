"""The never-list's limits: room, the weight store, fresh engines, retries,
final answers, and what each partner is owed.

Like the other checkers these look only at what engines, callers and operators
saw; bounds follow from an engine's size and from the traffic of the moment,
so that they mean something at the deployments' real sizes.
"""

from configuration import registry as registries
from placement import ledger as ledgers
from placement import placement, registry_view
from transport import failures

__all__ = ["over_room", "flooded", "retries", "finals", "partners"]

_FRESH_MS = 1500.0
_WINDOW_MS = 10000.0
_LAST_MS = 500.0
_REFUSED = (failures.Overloaded, failures.NoRoom, failures.Stale, failures.DeadlinePassed)


def over_room(run):
    """What would have been beyond room or places, taken or refused; and what the
    store was asked for by all engines there ever were, gone and dark ones too."""
    found = [
        ("over-room", {"engine": n, "times": e.core.overRoom})
        for n, e in run.world.engines.items()
        if e.core.overRoom
    ]
    atOnce, perMinute = run.deployment.loads
    times = sorted(x.at_ms for x in run.history.loads)
    for i, first in enumerate(times):
        inside = sum(1 for t in times[i:] if t < first + 60000)
        if inside > perMinute:
            found.append(("store-rate", {"loads": inside, "fromMs": round(first)}))
            break
    marks = sorted(
        [(x.at_ms, 1) for x in run.history.loads] + [(x.end_ms, -1) for x in run.history.loads]
    )
    now, most = 0, 0
    for _, step in marks:
        now += step
        most = max(most, now)
    if most > atOnce:
        found.append(("store-at-once", {"loads": most}))
    return found


def _servable(run, engine, born):
    """When an engine that started at `born` could first be given work."""
    if run.world.engines[engine].core.plain:
        return born
    done = [x.end_ms for x in run.history.loads if x.engine == engine and x.at_ms >= born]
    return min(done, default=None)


def flooded(run):
    """More tasks at once on a fresh engine than a part of its slots."""
    found, most, since = [], {}, {}
    for b in run.history.begun:
        if b.born <= 0:
            continue
        key = (b.engine, b.born)
        if key not in since:
            since[key] = _servable(run, *key)
        if since[key] is not None and b.at_ms - since[key] < _FRESH_MS:
            most[key] = max(most.get(key, 0), b.running)
    for (engine, born), running in most.items():
        slots = run.world.engines[engine].core.slots
        if running > max(2, 0.4 * slots):
            found.append(
                (
                    "flooded",
                    {"engine": engine, "bornMs": round(born), "running": running, "slots": slots},
                )
            )
    return found


def retries(run):
    """Legs after the first, against the tasks of the same moment: at any time, over
    ten seconds, a tenth of the tasks asked then and shortly before, and one or
    two for each counter."""
    asked, again = run.history.asked_ms, run.history.retries_ms
    for end_ms in again:
        count = sum(1 for t in again if end_ms - _WINDOW_MS < t <= end_ms)
        tasks = sum(1 for t in asked if end_ms - 2 * _WINDOW_MS < t <= end_ms)
        if count > 0.1 * tasks + 2 * run.deployment.counters:
            return [("retries", {"retries": count, "asked": tasks, "atMs": round(end_ms)})]
    return []


def finals(run):
    """Every task ends by its deadline; what is refused without ever having had a
    leg is refused at once, or after a wait that something was being done about."""
    found = (
        [("no-answer", {"asked": run.history.asked, "ended": len(run.history.ended)})]
        if len(run.history.ended) < run.history.asked
        else []
    )
    for task in run.history.ended:
        took_ms = task["endMs"] - task["atMs"]
        if any(
            name == task["node"] and from_ms < task["endMs"] and to_ms > task["atMs"]
            for name, from_ms, to_ms in run.frozen_spans
        ):
            continue
        if took_ms - task["told"]["deadlineMs"] > 1000 and not task["seen"]:
            found.append(("late-answer", {"task": task["id"], "tookMs": round(took_ms)}))
        refused = isinstance(task["outcome"], _REFUSED) and not task["legs"]
        if refused and not getattr(task["outcome"], "retryMs", 0) > 0:
            found.append(("no-retry-after", {"task": task["id"]}))
        last_ms = task["told"]["deadlineMs"] - _LAST_MS
        if refused and took_ms > last_ms and not _hoped(run, task):
            found.append(
                (
                    "held-back",
                    {
                        "task": task["id"],
                        "tookMs": round(took_ms),
                        "outcome": type(task["outcome"]).__name__,
                    },
                )
            )
    return found


def _hoped(run, task):
    """Whether any engine was loading what a task waited for in the second half of
    its wait, or a node that must say so was out of reach then."""
    mid_ms = (task["atMs"] + task["endMs"]) / 2
    told = task["told"]
    items = {told["model"], placement.item_name(told["model"], told["adapter"])}
    return any(
        x.item in items and x.at_ms < task["endMs"] and x.end_ms > mid_ms for x in run.history.loads
    ) or any(f < task["endMs"] and t > mid_ms for _, f, t in run.disturbances)


def partners(run):
    """Once all is settled: a partner lacks a copy within its own share only if
    `why` says so, and never while another's borrowed copy stands where that
    copy could be."""
    d, reg = run.deployment, run.final_registry
    service = registries.services(reg).get(d.service) if reg else None
    if service is None or run.back_ms is None:
        return []
    engines = {
        n: e
        for n, e in run.world.engines.items()
        if n in reg.engines and registry_view.usable(reg, reg.engines[n]) and not e.core.plain
    }
    here = {n: {i for i, s in e.core.items.items() if s == "loaded"} for n, e in engines.items()}
    totalMb = sum(e.core.roomMb for e in engines.values())
    models, found = registries.models(reg), []
    usedMb = {}
    for items in here.values():
        for item in items:
            if "/" not in item and item in models:
                owner = models[item]["partner"]
                usedMb[owner] = usedMb.get(owner, 0) + models[item]["roomMb"]
    shares = registry_view.shares_of(service)
    for wish in registry_view.wishes_of(reg, d.service, ledgers.Ledger()):
        item = placement.item_name(wish.model, wish.adapter)
        has = sum(item in items for items in here.values())
        told = run.final_unmet.get(wish.id)
        if has >= wish.copies or wish.yields >= placement.BEST_EFFORT:
            continue
        if told is None and run.settled:
            found.append(("not-shown", {"wish": wish.id, "has": has, "wants": wish.copies}))
        within = usedMb.get(wish.partner, 0) + wish.roomMb <= (
            shares.get(wish.partner, 0) * totalMb
        )
        over = [
            p for p in usedMb if p != wish.partner and usedMb[p] > shares.get(p, 0) * totalMb + 1e-6
        ]
        if within and over and run.settled and not wish.adapter and not wish.zones:
            found.append(
                ("share-taken", {"wish": wish.id, "by": over, "usedMb": usedMb, "totalMb": totalMb})
            )
    return found
