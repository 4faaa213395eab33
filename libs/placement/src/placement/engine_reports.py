"""What a report proves.

A report says what is on an engine now.  It settles an order only if it was asked for after
the order's call had ended; a changed incarnation means that everything ordered of the old
one is forgotten.  What no order explains is recorded as found, and charged.  A report of an
engine that counts its orders says nothing if it is older than what is known of that count.
One of an engine that is busy takes nothing away: an order under way changes what it holds at
the very same count.
"""

from placement import engine_view, load_queue, order_notes, registry_view
from placement import ledger as ledgers
from placement.engine_view import Report
from placement.state import append_record

__all__ = ["on_report"]

_OPEN_STATES = ("intended", "taken", "unknown")


def on_report(placer, now_ms, engine, body, requested_ms, registry):
    """A report came that was asked for at `asked_ms`; what can't be read changes nothing."""
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
    strange = _unexplained(placer, engine, report, _item_facts(registry, facts, report.items))
    if strange:
        order_notes.log_found(placer, now_ms, engine, strange, report)
        append_record(
            placer, ledgers.found_record(engine, report.incarnation, strange, facts["service"])
        )
    if not _hides_open_order(placer, engine, report):
        engine_view.learn_count(view, now_ms, report)


def _new_incarnation(placer, now_ms, engine, report, registry):
    """Another engine has begun under the name, or this one is heard of for the first time."""
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
    """A Report of a sound body."""
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
    """Log what a report proves of the orders and items that the ledger knows."""
    view, entries = placer.engines[engine], placer.ledger.engines.get(engine, {})
    for item, entry in list(entries.items()):
        seen = report.items.get(item)
        if seen == "loaded":
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


def _unexplained(placer, engine, report, told):
    """Items that a report shows and no order explains, or whose size is told only now."""
    held = placer.ledger.engines.get(engine, {})
    return {
        item: told[item]
        for item, seen in report.items.items()
        if (item not in held and seen != "unloading")
        or (told[item]["sized"] and _lacks_size(held.get(item)))
    }


def _lacks_size(entry):
    """Whether something was found before any layout told its size."""
    return entry is not None and not entry.get("sized", True)


def _hides_open_order(placer, engine, report):
    """Whether the report shows an item whose entry is an order that may never arrive.  What
    is there came by something else, and is charged only as long as that order's entry is:
    the count says what the engine holds only once the item's own entry stands."""
    entries = placer.ledger.engines.get(engine, {})
    return any(
        entries[item]["verb"] == "load" and entries[item]["state"] in ("intended", "unknown")
        for item in report.items
        if item in entries
    )


def _orders_in_flight(placer, engine, requested_ms):
    """Orders that may reach the new incarnation after it answered this report: their calls
    had not ended when it was asked for, or got no answer."""
    view, found = placer.engines[engine], set()
    for item, entry in placer.ledger.engines.get(engine, {}).items():
        ended_ms = engine_view.ended_ms(view, entry["order"])
        flying = ended_ms is None or ended_ms >= requested_ms
        if entry["order"] and (
            entry["state"] == "unknown" or (entry["state"] == "intended" and flying)
        ):
            found.add(item)
    return found


def _is_well_formed(body):
    return (
        isinstance(body, dict)
        and isinstance(body.get("incarnation"), str)
        and isinstance(body.get("items"), dict)
        and all(isinstance(s, str) for s in body["items"].values())
        and isinstance(body.get("roomMb"), int)
        and isinstance(body.get("adapterPlaces"), int)
        and isinstance(body.get("orders"), int | None)
        and isinstance(body.get("running"), int | None)
    )


def _item_facts(registry, engine, items):
    """What no layout names has a size that nobody knows: it is charged all there is, so that
    nothing is loaded beside it before it is gone or named."""
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
    """An engine that woke may answer a report before an order that came earlier on another
    pipe; so it takes a second report in a row, asked for after the first."""
    first_ms = view.first_missing_ms.setdefault((item, order), now_ms)
    return requested_ms > first_ms


def _settled_state(placer, now_ms, view, item, entry, report):
    """The new state that a report gives an entry, or None."""
    open_ = entry["state"] in _OPEN_STATES
    if open_ and not _can_settle(placer, view, entry, report.requested_ms):
        return None
    seen = report.items.get(item)
    if entry["verb"] == "load":
        return _settled_load_state(now_ms, view, item, entry, report, seen)
    if seen is None:
        return "unloaded"
    if seen == "loaded" and entry["state"] in ("unknown", "intended"):
        return "loaded"
    return None


def _settled_load_state(now_ms, view, item, entry, report, seen):
    if seen == "loaded":
        return "loaded" if entry["state"] != "loaded" else None
    if seen is None and (
        entry["state"] == "taken"
        or _confirmed_missing(view, now_ms, item, entry["order"], report.requested_ms)
    ):
        return "forgotten"
    return None


def _can_settle(placer, view, entry, requested_ms):
    """Whether a report asked for at `asked_ms` says anything of an open order."""
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
    """Whether this epoch gave the order; an older epoch's intent may have been sent, and is
    settled by a report after the old holder's time."""
    return entry["order"].startswith(f"{placer.shard}.{placer.epoch}.")
