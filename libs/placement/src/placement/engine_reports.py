"""Updates the ledger from engine reports.

A report lists what is on an engine now.  It settles an order only if it was requested after the
order's call had ended.  A changed incarnation means that the orders given to the previous one are
void.  Items that no order explains are recorded as found, and charged.  For an engine that counts
its orders, a report older than the known count is ignored.  A report of a busy engine never removes
an item: an order in progress changes the items without changing the count.
"""

from placement import engine_view, load_queue, order_notes, registry_view
from placement import ledger as ledgers
from placement.engine_view import Report
from placement.state import append_record

__all__ = ["on_report"]

_OPEN_STATES = ("intended", "taken", "unknown")
# What no engine reports in earnest: counts and sizes above this, and more items.
_MAX_COUNT = 10**15
_MAX_ITEMS = 20_000


def on_report(placer, now_ms, engine, body, requested_ms, registry):
    """Process a report that was requested at `requested_ms`; a malformed one is ignored."""
    facts = registry.engines.get(engine)
    if facts is None or not _is_well_formed(body):
        return
    view = engine_view.view_of(placer, engine)
    if now_ms < view.ignore_reports_until_ms:
        return
    report = view.report = _parse(body, requested_ms)
    if placer.ledger.incarnations.get(engine) != report.incarnation:
        _new_incarnation(placer, now_ms, engine, report, registry)
        return
    if engine_view.is_outdated(view, report):
        return
    changed_ms = view.entries_changed_ms
    _settle_entries(placer, now_ms, engine, report)
    if requested_ms < changed_ms:
        return
    unexplained = _unexplained(placer, engine, report, _item_facts(registry, facts, report.items))
    if unexplained:
        order_notes.log_found(placer, now_ms, engine, unexplained, report)
        append_record(
            placer, ledgers.found_record(engine, report.incarnation, unexplained, facts["service"])
        )
    if not _hides_open_order(placer, engine, report):
        engine_view.learn_count(view, now_ms, report)


def _new_incarnation(placer, now_ms, engine, report, registry):
    """The engine has restarted or been replaced, or this is its first report."""
    view, facts = placer.engines[engine], registry.engines[engine]
    order_notes.log_found(placer, now_ms, engine, report.items, report)
    found = _item_facts(registry, facts, report.items)
    keep = _orders_in_flight(placer, engine, report.requested_ms)
    append_record(
        placer,
        ledgers.found_record(engine, report.incarnation, found, facts["service"], keep),
    )
    engine_view.engine_restarted(view)
    engine_view.learn_count(view, now_ms, report)


def _parse(body, requested_ms):
    """The Report of a well-formed body."""
    return Report(
        body["incarnation"],
        body["roomMb"],
        body["adapterPlaces"],
        dict(body["items"]),
        requested_ms,
        bool(body.get("busy")),
        body.get("orders"),
        body.get("running"),
    )


def _settle_entries(placer, now_ms, engine, report):
    """Log the new states that a report proves for the entries of the ledger."""
    view, entries = placer.engines[engine], placer.ledger.engines.get(engine, {})
    for item, entry in list(entries.items()):
        reported = report.items.get(item)
        if reported == "loaded":
            view.first_missing_ms.pop((item, entry["order"]), None)
        elif report.busy:
            continue
        state = _settled_state(placer, now_ms, view, item, entry, report)
        if state == "loaded" and entry["verb"] == "load":
            load_queue.learn_load_time(placer, now_ms, engine, entry)
        if state:
            engine_view.entry_settled(view, now_ms, item, entry["order"])
            order_notes.log_settled(placer, now_ms, engine, item, entry, state, report)
            append_record(placer, ledgers.state_record(engine, item, entry["order"], state))
    engine_view.forget_ended(view, entries)


def _unexplained(placer, engine, report, item_facts):
    """Reported items that no order explains, or whose size the layout has defined since."""
    held = placer.ledger.engines.get(engine, {})
    return {
        item: item_facts[item]
        for item, reported in report.items.items()
        if (item not in held and reported != "unloading")
        or (item_facts[item]["sized"] and _lacks_size(held.get(item)))
    }


def _lacks_size(entry):
    """Whether an entry was found before any layout defined its size."""
    return entry is not None and not entry.get("sized", True)


def _hides_open_order(placer, engine, report):
    """Whether the report shows an item whose entry is a load order that may never arrive.  The
    item may then have been loaded by something else, and the charge for it would end with that
    order's entry.  So the count must not be learned until the item has an entry of its own."""
    entries = placer.ledger.engines.get(engine, {})
    return any(
        entries[item]["verb"] == "load" and entries[item]["state"] in ("intended", "unknown")
        for item in report.items
        if item in entries
    )


def _orders_in_flight(placer, engine, requested_ms):
    """Items whose orders may reach the new incarnation after this report: their calls had not
    ended when the report was requested, or got no response."""
    view, found = placer.engines[engine], set()
    for item, entry in placer.ledger.engines.get(engine, {}).items():
        ended_ms = engine_view.ended_ms(view, entry["order"])
        in_flight = ended_ms is None or ended_ms >= requested_ms
        if entry["order"] and (
            entry["state"] == "unknown" or (entry["state"] == "intended" and in_flight)
        ):
            found.add(item)
    return found


def _is_well_formed(body):
    return (
        isinstance(body, dict)
        and isinstance(body.get("incarnation"), str)
        and isinstance(body.get("items"), dict)
        and len(body["items"]) <= _MAX_ITEMS
        and all(isinstance(s, str) for s in body["items"].values())
        and _is_count(body.get("roomMb"))
        and _is_count(body.get("adapterPlaces"))
        and (body.get("orders") is None or _is_count(body["orders"]))
        and (body.get("running") is None or _is_count(body["running"]))
    )


def _is_count(value):
    return isinstance(value, int) and 0 <= value <= _MAX_COUNT


def _item_facts(registry, engine, items):
    """item -> its state and charge.  The size of an item that no layout defines is unknown, so the
    engine's whole room is charged for it, and nothing is loaded beside it until it is unloaded or
    defined."""
    found = {}
    for item, state in items.items():
        size = registry_view.item_size(registry, item)
        mb, places = size[:2] if size else registry_view.engine_room(registry, engine)
        found[item] = {
            "state": "loaded" if state == "loaded" else "taken",
            "mb": mb,
            "places": places,
            "sized": size is not None,
        }
    return found


def _confirmed_missing(view, now_ms, item, order, requested_ms):
    """Whether an item is missing from a second consecutive report, requested after the first.  An
    engine that was suspended may answer a report before an order that arrived earlier on
    another connection, so one report isn't enough."""
    first_ms = view.first_missing_ms.setdefault((item, order), now_ms)
    return requested_ms > first_ms


def _settled_state(placer, now_ms, view, item, entry, report):
    """The new state that a report proves for an entry, or None."""
    is_open = entry["state"] in _OPEN_STATES
    if is_open and not _can_settle(placer, view, entry, report.requested_ms):
        return None
    reported = report.items.get(item)
    if entry["verb"] == "load":
        return _settled_load_state(now_ms, view, item, entry, report, reported)
    if reported is None:
        return "unloaded"
    if reported == "loaded" and entry["state"] in ("unknown", "intended"):
        return "loaded"
    return None


def _settled_load_state(now_ms, view, item, entry, report, reported):
    if reported == "loaded":
        return "loaded" if entry["state"] != "loaded" else None
    if reported is None and (
        entry["state"] == "taken"
        or _confirmed_missing(view, now_ms, item, entry["order"], report.requested_ms)
    ):
        return "forgotten"
    return None


def _can_settle(placer, view, entry, requested_ms):
    """Whether a report requested at `requested_ms` can settle an open order."""
    order = entry["order"]
    if engine_view.call_open(view, order):
        return False
    ended_ms = engine_view.ended_ms(view, order)
    if (
        ended_ms is None
        and order
        and entry["state"] == "intended"
        and _from_this_epoch(placer, entry)
    ):
        return False
    if ended_ms is not None and requested_ms <= ended_ms:
        return False
    return requested_ms >= placer.not_before_ms or _from_this_epoch(placer, entry)


def _from_this_epoch(placer, entry):
    """Whether this epoch gave the order.  An order of an earlier epoch may have been sent by the
    previous lease holder, and is settled only by a report after that holder's calls have ended."""
    return entry["order"].startswith(f"{placer.shard}.{placer.epoch}.")
