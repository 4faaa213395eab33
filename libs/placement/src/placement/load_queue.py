"""Sorts the loads that are still due, and estimates how long requests wait for them.

Loads that a request waits for come first, by the time when it began to wait.  Each less urgent
class counts as if the request had come some seconds later, so that no item and no class starves.
The estimate follows from this sequence, the weight store's rate and the average duration of loads.
A request whose deadline the estimate exceeds is rejected at once with the estimated time; so is
one whose load hasn't begun after twice the first estimate.
"""

from configuration.schema import rank_of

from placement import engine_view, placement
from placement import ledger as ledgers
from placement.state import append_record

__all__ = [
    "ordered_loads",
    "estimate_wait",
    "reject",
    "reject_unservable",
    "learn_load_time",
    "drop_lost_counters",
    "store_rate",
    "waiting_since",
]

# By how much each less urgent class counts as having come later.
_CLASS_STEP_MS = 10000.0


def store_rate(loads):
    """(burst, loads per ms) of the token bucket for a service's share of the weight store."""
    burst = loads.get("burst", min(loads["atOnce"], loads["perMinute"] // 4))
    return burst, (loads["perMinute"] - burst) / 60000


def waiting_since(placer, service):
    """item -> when the wait of its first request began, adjusted by class."""
    found: dict = {}
    for id_, hold in placer.ledger.holds.items():
        if hold["service"] != service:
            continue
        at_ms = placer.wait_queue.since_ms.get(id_, 0.0) + rank_of(hold["class"]) * _CLASS_STEP_MS
        for item in {hold["model"], placement.item_name(hold["model"], hold["adapter"])}:
            found[item] = min(found.get(item, at_ms), at_ms)
    return found


def ordered_loads(placer, service, plan, yields):
    """(engine, item) of the plan's loads that are still due, in the order of loading."""
    waiting = waiting_since(placer, service)

    def sort_key(load):
        engine, item = load
        if item in waiting and not _is_placed(placer, item):
            return (0, waiting[item], item, engine)
        return (1, yields.get(plan.targets[engine][item], placement.BEST_EFFORT), item, engine)

    return sorted(
        (
            (engine, item)
            for engine, targets in plan.targets.items()
            for item in targets
            if item not in placer.ledger.engines.get(engine, {})
        ),
        key=sort_key,
    )


def _is_placed(placer, item):
    return any(
        item in items and items[item]["verb"] == "load" for items in placer.ledger.engines.values()
    )


def learn_load_time(placer, now_ms, engine, entry):
    """A load is done: update the average duration of the service's loads, counted from the end of
    the order's first call."""
    ended_ms, service = _call_ended_ms(placer, engine, entry), entry["service"]
    if ended_ms is not None:
        took_ms = now_ms - ended_ms
        placer.plan.load_ms[service] = (
            0.7 * placer.plan.load_ms.get(service, took_ms) + 0.3 * took_ms
        )


def estimate_wait(placer, now_ms, service, loads, item, settings):
    """Estimated ms until an item is loaded on some engine; None if no load of it is planned or
    loads are not allowed.  Engines that don't report or that get no work are not counted."""
    mean_load_ms = placer.plan.load_ms.get(service, 2 * settings.report_interval_ms)
    base, _, adapter = item.partition("/")
    usable = _usable_engines(placer, service)
    entries = [
        (engine, entry)
        for engine, items in placer.ledger.engines.items()
        for name, entry in items.items()
        if name == item and entry["verb"] == "load" and engine in usable
    ]
    if any(e["state"] == "loaded" for _, e in entries):
        return 0.0
    if entries:
        ended = [_call_ended_ms(placer, n, e) for n, e in entries]
        start_ms = max(now_ms if at_ms is None else at_ms for at_ms in ended)
        return max(settings.report_interval_ms, mean_load_ms - (now_ms - start_ms))
    positions = [n for n, (_, i) in enumerate(placer.plan.queues.get(service, ()), 1) if i == item]
    if not positions or not loads["atOnce"] or not loads["perMinute"]:
        return None
    tokens = placer.plan.tokens.get(service, (0.0, now_ms))[0]
    per_ms = max(1e-9, store_rate(loads)[1])
    open_loads = ledgers.open_loads(placer.ledger, service)
    rate_ms = max(0.0, (positions[0] - tokens) / per_ms)
    queue_ms = max(0, open_loads + positions[0] - loads["atOnce"]) / loads["atOnce"] * mean_load_ms
    steps = 2 if adapter and not _is_loaded_anywhere(placer, base) else 1
    return max(rate_ms, queue_ms) + steps * (mean_load_ms + settings.report_interval_ms)


def _call_ended_ms(placer, engine, entry):
    """When the first call of an entry's order ended; None if it hasn't or isn't known."""
    view = placer.engines.get(engine)
    return None if view is None else engine_view.ended_ms(view, entry["order"])


def _is_loaded_anywhere(placer, item):
    return any(ledgers.is_loaded(placer.ledger, engine, item) for engine in placer.ledger.engines)


def _usable_engines(placer, service):
    """Engines of the last plan: those that report and accept new work."""
    plan = placer.plan.plans.get(service)
    return {e.name for e in plan[0][2]} if plan else set(engine_view.reports_of(placer))


def reject_unservable(placer, now_ms, service, loads, plan, settings):
    """Reject waiting requests that the plan has no room for or whose deadline can't be met."""
    planned_items = {i for targets in plan.targets.values() for i in targets}
    usable = _usable_engines(placer, service)
    planned_items |= {i for n, items in placer.ledger.engines.items() if n in usable for i in items}
    placer.wait_queue.estimated_ms = {
        i: ms for i, ms in placer.wait_queue.estimated_ms.items() if i in placer.ledger.holds
    }
    for id_, hold in list(placer.ledger.holds.items()):
        if hold["service"] != service:
            continue
        item = placement.item_name(hold["model"], hold["adapter"])
        if item not in planned_items:
            reject(placer, id_, "no-room", 10 * settings.call_timeout_ms)
            continue
        wait_ms = estimate_wait(placer, now_ms, service, loads, item, settings)
        deadline_ms = placer.wait_queue.since_ms.get(id_, now_ms) + hold["waitMs"]
        if wait_ms is None:
            continue
        estimated_ms = placer.wait_queue.estimated_ms.setdefault(id_, now_ms + wait_ms)
        overdue = now_ms > estimated_ms + wait_ms and not _is_placed(placer, item)
        if overdue or now_ms + 0.9 * wait_ms > deadline_ms:
            reject(placer, id_, "loads-queue", wait_ms)


def reject(placer, id_, why, retry_ms):
    """Reject a waiting request for the reason `why`; it may be sent again after `retry_ms`."""
    placer.wait_queue.since_ms.pop(id_, None)
    append_record(placer, ledgers.unhold_record(id_, why, int(max(1000, retry_ms))))


def drop_lost_counters(placer, lost):
    """Remove the waiting requests of counters (nodes that route requests) that are gone;
    `lost(name, life)` says whether one is."""
    for id_, hold in list(placer.ledger.holds.items()):
        if lost(hold.get("node", ""), hold.get("life", "")):
            reject(placer, id_, "counter-lost", 1000)
