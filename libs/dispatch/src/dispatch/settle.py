"""What a report proves.

A report says what is on an engine now.  It settles an order only if it was
asked for after the order's call had ended; a changed incarnation means that
everything ordered of the old one is forgotten.  What no order explains is
recorded as found, and charged.
"""

from dispatch import ledger as ledgers
from dispatch import world
from dispatch.state import Report, log

__all__ = ["on_report"]


def on_report(p, nowMs, engine, body, askedMs, registry):
    facts = registry.engines.get(engine)
    if facts is None or not _sound(body):
        return
    report = Report(body["incarnation"], body["roomMb"], body["adapterPlaces"],
                    dict(body["items"]), askedMs)
    p.reports[engine] = report
    if p.ledger.incarnations.get(engine) != report.incarnation:
        log(p, ledgers.found_record(engine, report.incarnation,
                                    _facts(registry, report.items), facts["service"]))
        return
    items = p.ledger.engines.get(engine, {})
    for item, entry in list(items.items()):
        state = _settled(p, entry, report.items.get(item), askedMs)
        if state:
            log(p, ledgers.state_record(engine, item, entry["order"], state))
    strange = {i: s for i, s in report.items.items()
               if i not in p.ledger.engines.get(engine, {}) and s != "unloading"}
    if strange:
        log(p, ledgers.found_record(engine, report.incarnation,
                                    _facts(registry, strange), facts["service"]))


def _sound(body):
    return (isinstance(body, dict) and isinstance(body.get("incarnation"), str)
            and isinstance(body.get("items"), dict)
            and isinstance(body.get("roomMb"), int)
            and isinstance(body.get("adapterPlaces"), int))


def _facts(registry, items):
    found = {}
    for item, state in items.items():
        size = world.size_of(registry, item) or (0, 0, "")
        found[item] = {"state": "loaded" if state == "loaded" else "taken",
                       "mb": size[0], "places": size[1]}
    return found


def _settled(p, entry, seen, askedMs):
    """The new state a report gives an entry, or None."""
    endMs = p.callEndMs.get(entry["order"])
    open_ = entry["state"] in ("intended", "taken", "unknown")
    if open_ and entry["order"] and entry["order"] in p.calls:
        return None
    if open_ and entry["order"] and endMs is None and (
            entry["state"] == "intended" and _ours(p, entry)):
        return None
    if open_ and endMs is not None and askedMs <= endMs:
        return None
    if askedMs < p.notBeforeMs and open_ and not _ours(p, entry):
        return None
    if entry["verb"] == "load":
        if seen == "loaded":
            return "loaded" if entry["state"] != "loaded" else None
        if seen is None:
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
