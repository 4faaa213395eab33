"""What a report proves.

A report says what is on an engine now.  It settles an order only if it was
asked for after the order's call had ended; a changed incarnation means that
everything ordered of the old one is forgotten.  What no order explains is
recorded as found, and charged.  A report of an engine that counts its orders says
nothing if it is older than what is known of that count.  One of an engine that is busy
takes nothing away: an order under way changes what it holds at the very same count.
"""

from placement import ledger as ledgers
from placement import line, order_counts, order_notes, world
from placement.state import Report, log

__all__ = ["on_report"]


def on_report(placer, now_ms, engine, body, asked_ms, registry):
    facts = registry.engines.get(engine)
    if facts is None or not _sound(body):
        return
    if now_ms < placer.replaced_until_ms.get(engine, float("-inf")):
        return
    report = _read(body, asked_ms)
    placer.reports[engine] = report
    if placer.ledger.incarnations.get(engine) != report.incarnation:
        order_notes.found(placer, now_ms, engine, report.items, report)
        log(
            placer,
            ledgers.found_record(
                engine,
                report.incarnation,
                _facts(registry, facts, report.items),
                facts["service"],
                _on_their_way(placer, engine, asked_ms),
            ),
        )
        order_counts.forget(placer, engine)
        order_counts.read(placer, now_ms, engine, report)
        return
    if order_counts.outdated(placer, engine, report):
        return
    changed_ms = placer.changed_ms.get(engine, float("-inf"))
    _settle_entries(placer, now_ms, engine, report)
    if asked_ms < changed_ms:
        return
    held = placer.ledger.engines.get(engine, {})
    told = _facts(registry, facts, report.items)
    strange = {
        i: told[i]
        for i, seen in report.items.items()
        if i not in held
        and seen != "unloading"
        or (world.size_of(registry, i) and _resized(held.get(i), told[i]))
    }
    if strange:
        order_notes.found(placer, now_ms, engine, strange, report)
        log(placer, ledgers.found_record(engine, report.incarnation, strange, facts["service"]))
    if not _hidden(placer, engine, report):
        order_counts.read(placer, now_ms, engine, report)


def _read(body, asked_ms):
    """A Report of a sound body."""
    return Report(
        body["incarnation"],
        body["roomMb"],
        body["adapterPlaces"],
        dict(body["items"]),
        asked_ms,
        bool(body.get("busy")),
        body.get("orders"),
        body.get("running"),
    )


def _settle_entries(placer, now_ms, engine, report):
    """Log what a report proves of the orders and items that the ledger knows."""
    items = placer.ledger.engines.get(engine, {})
    for item, entry in list(items.items()):
        seen = report.items.get(item)
        if seen == "loaded":
            placer.doubt_ms.pop((engine, item, entry["order"]), None)
        elif report.busy:
            continue
        state = _settled(placer, now_ms, (engine, item), entry, seen, report.asked_ms)
        if state == "loaded" and entry["verb"] == "load":
            line.learn(placer, now_ms, entry["service"], entry["order"])
        if state:
            placer.doubt_ms.pop((engine, item, entry["order"]), None)
            placer.call_end_ms.pop(entry["order"], None)
            placer.changed_ms[engine] = now_ms
            order_notes.reported(placer, now_ms, engine, item, entry, state, report)
            log(placer, ledgers.state_record(engine, item, entry["order"], state))


def _hidden(placer, engine, report):
    """Whether the report shows an item whose entry is an order that may never arrive.  What
    is there came by something else, and is charged only as long as that order's entry is:
    the count says what the engine holds only once the item's own entry stands."""
    items = placer.ledger.engines.get(engine, {})
    return any(
        items[item]["verb"] == "load" and items[item]["state"] in ("intended", "unknown")
        for item in report.items
        if item in items
    )


def _on_their_way(placer, engine, asked_ms):
    """Orders that may reach the new incarnation after it answered this report:
    their calls had not ended when it was asked for, or got no answer."""
    found = set()
    for item, entry in placer.ledger.engines.get(engine, {}).items():
        end_ms = placer.call_end_ms.get(entry["order"])
        flying = entry["order"] in placer.calls or end_ms is None or end_ms >= asked_ms
        if entry["order"] and (
            entry["state"] == "unknown" or (entry["state"] == "intended" and flying)
        ):
            found.add(item)
    return found


def _resized(entry, told):
    """What was found before a layout told its size is charged rightly from then on."""
    return (
        entry is not None
        and not entry["order"]
        and entry["verb"] == "load"
        and (entry["mb"], entry["places"]) != (told["mb"], told["places"])
    )


def _sound(body):
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


def _facts(registry, engine, items):
    """What no layout names has a size that nobody knows: it is charged all there
    is, so that nothing is loaded beside it before it is gone or named."""
    found = {}
    for item, state in items.items():
        size = world.size_of(registry, item) or (*world.room_of(registry, engine), "")
        found[item] = {
            "state": "loaded" if state == "loaded" else "taken",
            "mb": size[0],
            "places": size[1],
        }
    return found


def _again(placer, now_ms, place, entry, asked_ms):
    """An engine that woke may answer a report before an order that came earlier on
    another pipe; so it takes a second report in a row, asked for after the first."""
    first_ms = placer.doubt_ms.setdefault((*place, entry["order"]), now_ms)
    return asked_ms > first_ms


def _settled(placer, now_ms, place, entry, seen, asked_ms):
    """The new state a report gives an entry, or None; `place`: its engine and item."""
    end_ms = placer.call_end_ms.get(entry["order"])
    open_ = entry["state"] in ("intended", "taken", "unknown")
    if open_ and entry["order"] and entry["order"] in placer.calls:
        return None
    if (
        open_
        and entry["order"]
        and end_ms is None
        and (entry["state"] == "intended" and _ours(placer, entry))
    ):
        return None
    if open_ and end_ms is not None and asked_ms <= end_ms:
        return None
    if asked_ms < placer.not_before_ms and open_ and not _ours(placer, entry):
        return None
    if entry["verb"] == "load":
        if seen == "loaded":
            return "loaded" if entry["state"] != "loaded" else None
        if seen is None and (
            entry["state"] == "taken" or _again(placer, now_ms, place, entry, asked_ms)
        ):
            return "forgotten"
        return None
    if seen is None:
        return "unloaded"
    if seen == "loaded" and entry["state"] in ("unknown", "intended"):
        return "loaded"
    return None


def _ours(placer, entry):
    """Whether this epoch gave the order; an older epoch's intent may have been
    sent, and is settled by a report after the old holder's time."""
    return entry["order"].startswith(f"{placer.shard}.{placer.epoch}.")
