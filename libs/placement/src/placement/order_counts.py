"""How many orders each engine has taken, so that none is taken late.

An engine that counts the orders it takes tells the count in its reports and refuses an
order that expects another.  What it holds while no order is under way follows from the
orders it has taken, so an order that names the count on which its room was worked out
is taken in that very state or not at all: one that a broken link has held up, or that
an earlier holder sent, finds a higher count.

A count is known only while the ledger charges everything that the engine may hold at
it.  A refusal makes it unknown, and nothing is ordered of that engine until a report
asked for later has been read.  Engines that tell no count are ordered without one.
"""

from dataclasses import dataclass

__all__ = ["OrderCount", "expected", "known", "taken", "doubt", "outdated", "read", "forget"]


@dataclass(frozen=True)
class OrderCount:
    """`orders`: taken by an engine; `since_ms`: when the count was last learned."""

    orders: int
    since_ms: float


def expected(placer, engine):
    """The count that the engine's next order must find, or None if it counts none."""
    count = placer.order_counts.get(engine)
    return None if count is None else count.orders


def known(placer, engine):
    """Whether the engine may be given an order: its count is known, or it has none."""
    report = placer.reports.get(engine)
    return engine in placer.order_counts or (report is not None and report.orders is None)


def taken(placer, now_ms, engine, expected_count):
    """An order that expected this count was taken."""
    count = placer.order_counts.get(engine)
    if expected_count is not None and count is not None and count.orders <= expected_count:
        placer.order_counts[engine] = OrderCount(expected_count + 1, now_ms)


def doubt(placer, now_ms, engine):
    """The ledger may have another idea of the engine than the engine itself: only a
    report asked for after `now_ms` says again what it holds."""
    placer.order_counts.pop(engine, None)
    placer.count_doubt_ms[engine] = now_ms


def outdated(placer, engine, report):
    """Whether a report is of a time before the engine's count was last learned or came
    into doubt.  A lower count in a later one shows that an answer was taken for
    another order's, and the report is right."""
    if report.orders is None:
        return False
    if report.asked_ms <= placer.count_doubt_ms.get(engine, float("-inf")):
        return True
    count = placer.order_counts.get(engine)
    return count is not None and (
        report.orders < count.orders and report.asked_ms <= count.since_ms
    )


def read(placer, now_ms, engine, report):
    """The ledger now charges all that a report shows: its count is the engine's, unless
    an order was under way, whose item no report shows yet."""
    if report.orders is None or report.busy:
        return
    placer.count_doubt_ms.pop(engine, None)
    if expected(placer, engine) != report.orders:
        placer.order_counts[engine] = OrderCount(report.orders, now_ms)


def forget(placer, engine):
    """The engine is gone, or another has begun under its name."""
    placer.order_counts.pop(engine, None)
    placer.count_doubt_ms.pop(engine, None)
