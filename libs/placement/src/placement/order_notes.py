"""What a placer writes to its log: each order, on what ground it was given and settled.

A line an order and a line an end are enough to work out afterwards which answer or report
made the placer think that an engine had room.  Lines are collected while the placer works
and handed to the shell as `Note` effects by `drain`.
"""

from transport.effects import LogLine

from placement import engine_view
from placement import ledger as ledgers

__all__ = ["drain", "ordered", "answered", "reported", "found", "summary", "summary_due"]

_SUMMARY_PAUSE_MS = 1000.0


def drain(placer):
    """The lines collected so far, as effects."""
    notes, placer.notes = placer.notes, []
    return notes


def _add(placer, what, facts):
    placer.notes.append(
        LogLine(what, {"shard": placer.shard, "epoch": placer.epoch, **facts}, True)
    )


def ordered(placer, engine, item, verb, order):
    """An order was given; `charged`: MB and adapter places beside it on the engine."""
    _add(
        placer,
        "order",
        {
            "order": order,
            "engine": engine,
            "item": item,
            "verb": verb,
            "expected": engine_view.expected_count(engine_view.view_of(placer, engine)),
            "charged": ledgers.charged(placer.ledger, engine),
        },
    )


def answered(placer, order, called, state, again):
    """An order's answer; `again`: to a call that gave it again, `kept`: on a connection
    that had carried other calls.  That it is still being carried out is no news."""
    if again and state == "taken":
        return
    _add(
        placer,
        "order-answered",
        {
            "order": order,
            "code": called.code,
            "state": state,
            "again": again,
            "kept": called.kept,
        },
    )


def reported(placer, now_ms, engine, item, entry, state, report):
    """A report settled an entry of the ledger."""
    _add(
        placer,
        "order-reported",
        {
            "order": entry["order"],
            "engine": engine,
            "item": item,
            "was": f"{entry['verb']} {entry['state']}",
            "state": state,
            "count": report.orders,
            "known": engine_view.expected_count(engine_view.view_of(placer, engine)),
            "busy": report.busy,
            "ageMs": round(now_ms - report.asked_ms),
        },
    )


def found(placer, now_ms, engine, items, report):
    """A report showed items that no order explains, or a new life of an engine."""
    _add(
        placer,
        "found",
        {
            "engine": engine,
            "items": sorted(items),
            "count": report.orders,
            "busy": report.busy,
            "ageMs": round(now_ms - report.asked_ms),
        },
    )


def summary_due(placer, now_ms):
    """Whether it is time for the next summary."""
    return now_ms - placer.summary_ms >= _SUMMARY_PAUSE_MS


def summary(placer, now_ms, service, facts_of):
    """Once a second while callers wait: how many, for what, and what holds it up;
    `facts_of()` tells it."""
    if summary_due(placer, now_ms):
        placer.summary_ms = now_ms
        _add(placer, "waiting", {"service": service, **facts_of()})
