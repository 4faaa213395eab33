"""The log lines of a placer about its orders, and the responses and reports that settle them.

One line for an order and one for its end show afterwards which response or report made the placer
conclude that an engine had room.  Lines are collected while the placer works and emitted as
`LogLine` effects by `drain`.
"""

from transport.effects import LogLine

from placement import engine_view
from placement import ledger as ledgers

__all__ = [
    "drain",
    "log_order",
    "log_response",
    "log_settled",
    "log_found",
    "log_summary",
    "summary_due",
]

_SUMMARY_INTERVAL_MS = 1000.0


def drain(placer):
    """Return the lines collected so far, and forget them."""
    notes, placer.notes = placer.notes, []
    return notes


def _add(placer, event, facts):
    placer.notes.append(
        LogLine(event, {"shard": placer.shard, "epoch": placer.epoch, **facts}, True)
    )


def log_order(placer, engine, item, verb, order):
    """Log that an order is given; `charged`: MB and adapter places of the engine's entries before
    that."""
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


def log_response(placer, order, called, state, again):
    """Log the response to an order.  `again`: it is the response to a repeated call; `kept`: it
    came on a connection that had carried other calls.  The response to a repeated call isn't
    logged while the order is still in progress."""
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
            "kept": called.reused_connection,
        },
    )


def log_settled(placer, now_ms, engine, item, entry, state, report):
    """Log that a report settled an entry of the ledger."""
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
            "ageMs": round(now_ms - report.requested_ms),
        },
    )


def log_found(placer, now_ms, engine, items, report):
    """Log that a report shows items that no order explains, or a new incarnation of an engine."""
    _add(
        placer,
        "found",
        {
            "engine": engine,
            "items": sorted(items),
            "count": report.orders,
            "busy": report.busy,
            "ageMs": round(now_ms - report.requested_ms),
        },
    )


def summary_due(placer, now_ms):
    """Whether it is time for the next summary."""
    return now_ms - placer.summary_ms >= _SUMMARY_INTERVAL_MS


def log_summary(placer, now_ms, service, facts_of):
    """Log, at most once a second, how many requests wait, for what, and what delays them, as
    returned by `facts_of()`."""
    if summary_due(placer, now_ms):
        placer.summary_ms = now_ms
        _add(placer, "waiting", {"service": service, **facts_of()})
