"""What a report proves.

A report says what is on an engine now.  It settles an order only if it was
asked for after the order's call had ended; a changed incarnation means that
everything ordered of the old one is forgotten.  What no order explains is
recorded as found, and charged.
"""

from dispatch import ledger as ledgers
from dispatch import line, world
from dispatch.state import Report, log

__all__ = ["on_report"]


def on_report(p, nowMs, engine, body, askedMs, registry):
    facts = registry.engines.get(engine)
    if facts is None or not _sound(body):
        return
    report = Report(
        body["incarnation"], body["roomMb"], body["adapterPlaces"], dict(body["items"]), askedMs
    )
    p.reports[engine] = report
    if p.ledger.incarnations.get(engine) != report.incarnation:
        log(
            p,
            ledgers.found_record(
                engine,
                report.incarnation,
                _facts(registry, facts, report.items),
                facts["service"],
                _on_their_way(p, engine, askedMs),
            ),
        )
        return
    items = p.ledger.engines.get(engine, {})
    for item, entry in list(items.items()):
        seen = report.items.get(item)
        if body.get("busy") and entry["state"] != "loaded" and seen != "loaded":
            continue
        state = _settled(p, nowMs, entry, seen, askedMs)
        if state == "loaded" and entry["verb"] == "load":
            line.learn(p, nowMs, entry["service"], entry["order"])
        if state:
            p.doubtMs.pop(entry["order"], None)
            p.callEndMs.pop(entry["order"], None)
            p.changedMs[engine] = nowMs
            log(p, ledgers.state_record(engine, item, entry["order"], state))
    if askedMs < p.changedMs.get(engine, -1e12):
        return
    held = p.ledger.engines.get(engine, {})
    told = _facts(registry, facts, report.items)
    strange = {
        i: told[i]
        for i, seen in report.items.items()
        if i not in held
        and seen != "unloading"
        or (world.size_of(registry, i) and _resized(held.get(i), told[i]))
    }
    if strange:
        log(p, ledgers.found_record(engine, report.incarnation, strange, facts["service"]))


def _on_their_way(p, engine, askedMs):
    """Orders that may reach the new incarnation after it answered this report:
    their calls had not ended when it was asked for, or got no answer."""
    found = set()
    for item, entry in p.ledger.engines.get(engine, {}).items():
        endMs = p.callEndMs.get(entry["order"])
        flying = entry["order"] in p.calls or endMs is None or endMs >= askedMs
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


def _again(p, nowMs, entry, askedMs):
    """An engine that woke may answer a report before an order that came earlier on
    another pipe; so it takes a second report, asked for after the first."""
    firstMs = p.doubtMs.setdefault(entry["order"], nowMs)
    return askedMs > firstMs


def _settled(p, nowMs, entry, seen, askedMs):
    """The new state a report gives an entry, or None."""
    endMs = p.callEndMs.get(entry["order"])
    open_ = entry["state"] in ("intended", "taken", "unknown")
    if open_ and entry["order"] and entry["order"] in p.calls:
        return None
    if (
        open_
        and entry["order"]
        and endMs is None
        and (entry["state"] == "intended" and _ours(p, entry))
    ):
        return None
    if open_ and endMs is not None and askedMs <= endMs:
        return None
    if askedMs < p.notBeforeMs and open_ and not _ours(p, entry):
        return None
    if entry["verb"] == "load":
        if seen == "loaded":
            return "loaded" if entry["state"] != "loaded" else None
        if seen is None and (entry["state"] == "taken" or _again(p, nowMs, entry, askedMs)):
            return "forgotten"
        return None
    if seen is None:
        return "unloaded"
    if seen == "loaded" and entry["state"] in ("unknown", "intended"):
        return "loaded"
    return None


def _ours(p, entry):
    """Whether this epoch gave the order; an older epoch's intent may have been
    sent, and is settled by a report after the old holder's time."""
    return entry["order"].startswith(f"{p.shard}.{p.epoch}.")
