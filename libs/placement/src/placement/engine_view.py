"""What a lease holder knows of one engine beyond the entries of its ledger.

The entries list what may be on the engine; an `EngineView` holds how far that is known: the last
report, the calls of orders and the order count.  Only the functions here and in `engine_reports`
change it, one for each event.

An engine that counts the orders it takes reports the count and refuses an order that names another
count.  While no order is in progress, the items on the engine follow from the orders taken.  So an
order that names the count for which its room was computed is taken in exactly that state or not
at all; an order that arrives late names too low a count and is refused.  Invariant after every
event, checked by `simulation.engine_orders`: at each count at which an order may be taken, the
entries charge at least what may be on the engine, including this order.
"""

from dataclasses import dataclass, field

__all__ = [
    "EngineView",
    "OrderCall",
    "OrderCount",
    "Poll",
    "Report",
    "address_reused",
    "call_ended",
    "call_open",
    "count_known",
    "invalidate_count",
    "ended_ms",
    "expected_count",
    "forget_ended",
    "is_outdated",
    "learn_count",
    "can_take_order",
    "engine_restarted",
    "order_sent",
    "order_taken",
    "poll_sent",
    "restore_calls",
    "schedule_repeat",
    "report_failed",
    "reports_of",
    "entry_settled",
    "view_of",
]

_NEVER_MS = float("-inf")


@dataclass(frozen=True)
class Report:
    """A report of an engine.  `orders`: how many it has taken, None if it doesn't count them;
    `running`: requests that it runs or queues, None if it doesn't report that."""

    incarnation: str
    roomMb: int
    places: int
    items: dict
    requested_ms: float
    busy: bool = False
    orders: int | None = None
    running: int | None = None


@dataclass(frozen=True)
class Poll:
    """The last call for an engine's report.  Each has an id of its own, so that a response that
    arrives after the next poll was sent is dated by its own call."""

    id: str
    requested_ms: float


@dataclass(frozen=True)
class OrderCount:
    """How many `orders` an engine has taken; `since_ms`: when the count was last updated."""

    orders: int
    since_ms: float


@dataclass
class OrderCall:
    """The first call of an order.  `ended_ms`: None while it is in flight; `repeat_ms`,
    `pause_ms`: when the call is to be repeated, and the pause before that."""

    ended_ms: float | None = None
    repeat_ms: float | None = None
    pause_ms: float = 0.0


@dataclass
class EngineView:
    """`report`, `poll`: the last report, and the last call for one; `count`: its OrderCount, None
    while unknown; `count_invalid_ms`: when the count was invalidated; `entries_changed_ms`: when
    an entry was last settled; `ignore_reports_until_ms`: another engine has the address, so
    reports until then aren't its own; `calls`: order -> OrderCall; `first_missing_ms`:
    (item, order) -> when an expected item was first missing from a report."""

    report: Report | None = None
    poll: Poll | None = None
    count: OrderCount | None = None
    count_invalid_ms: float = _NEVER_MS
    entries_changed_ms: float = _NEVER_MS
    ignore_reports_until_ms: float = _NEVER_MS
    calls: dict = field(default_factory=dict)
    first_missing_ms: dict = field(default_factory=dict)


def view_of(placer, engine):
    """The view of an engine; a new, empty one if there is none yet."""
    found = placer.engines.get(engine)
    if found is None:
        found = placer.engines[engine] = EngineView()
    return found


def reports_of(placer):
    """engine -> its last report, of the engines that have one."""
    return {name: v.report for name, v in placer.engines.items() if v.report is not None}


def expected_count(view):
    """The order count that the next order names; None if unknown or if the engine keeps none."""
    return None if view.count is None else view.count.orders


def count_known(view):
    """Whether the engine's order count is known, or the engine keeps none."""
    return view.count is not None or (view.report is not None and view.report.orders is None)


def can_take_order(view, entries):
    """Whether the engine can be given an order beside these entries.  An engine that counts its
    orders carries out one at a time, so it gets none while another is in progress."""
    if view.count is None:
        return count_known(view)
    return all(entry["state"] == "loaded" for entry in entries.values())


def call_open(view, order):
    """Whether the first call of an order is in flight."""
    call = view.calls.get(order)
    return call is not None and call.ended_ms is None


def ended_ms(view, order):
    """When the first call of an order ended; None if it hasn't or isn't known."""
    call = view.calls.get(order)
    return None if call is None else call.ended_ms


def poll_sent(view, poll):
    """A report was requested."""
    view.poll = poll


def report_failed(view, now_ms, unreachable_ms):
    """A call for a report failed: after `unreachable_ms` the last report is discarded."""
    if view.report is not None and now_ms - view.report.requested_ms > unreachable_ms:
        view.report = None


def order_sent(view, order):
    """The call of an order has begun."""
    view.calls[order] = OrderCall()


def call_ended(view, now_ms, order):
    """The first call of an order has ended, with or without a response."""
    view.calls[order] = OrderCall(now_ms)


def schedule_repeat(view, order, at_ms, pause_ms):
    """Set the next repeated call of an order that was taken to `at_ms`; `pause_ms` is the pause
    before that."""
    call = view.calls[order]
    call.repeat_ms, call.pause_ms = at_ms, pause_ms


def order_taken(view, now_ms, expected):
    """An order that named the count `expected` was taken."""
    if expected is not None and view.count is not None and view.count.orders <= expected:
        view.count = OrderCount(expected + 1, now_ms)


def invalidate_count(view, now_ms):
    """The entries may differ from the items on the engine; only a report requested after `now_ms`
    makes the count known again."""
    view.count = None
    view.count_invalid_ms = now_ms


def entry_settled(view, now_ms, item, order):
    """The engine confirmed or removed an entry; reports requested earlier no longer apply."""
    view.entries_changed_ms = now_ms
    view.first_missing_ms.pop((item, order), None)
    call = view.calls.get(order)
    if call is not None:
        call.repeat_ms = None


def is_outdated(view, report):
    """Whether a report is older than the known order count.  If a later report has a lower count,
    a response was attributed to the wrong order, and the report is right."""
    if report.orders is None:
        return False
    if report.requested_ms <= view.count_invalid_ms:
        return True
    return view.count is not None and (
        report.orders < view.count.orders and report.requested_ms <= view.count.since_ms
    )


def learn_count(view, now_ms, report):
    """Use a report's count, unless the engine is busy; the entries already charge all its items."""
    if report.orders is None or report.busy:
        return
    view.count_invalid_ms = _NEVER_MS
    if expected_count(view) != report.orders:
        view.count = OrderCount(report.orders, now_ms)


def engine_restarted(view):
    """The engine has a new incarnation, so its order count has to be learned."""
    view.count = None
    view.count_invalid_ms = _NEVER_MS


def address_reused(view, until_ms):
    """Another engine has this one's address and answers reports in its place: until `until_ms`
    no report is used and no order given."""
    view.report = None
    view.ignore_reports_until_ms = until_ms


def restore_calls(view, now_ms, entries):
    """After a takeover: orders that were already taken count as taken now."""
    for entry in entries.values():
        if entry["state"] == "taken":
            call_ended(view, now_ms, entry["order"])


def forget_ended(view, entries):
    """Drop ended calls and missing items whose order no longer has an entry."""
    orders = {entry["order"] for entry in entries.values()}
    view.calls = {o: c for o, c in view.calls.items() if o in orders or c.ended_ms is None}
    view.first_missing_ms = {
        (item, order): at_ms
        for (item, order), at_ms in view.first_missing_ms.items()
        if item in entries and entries[item]["order"] == order
    }
