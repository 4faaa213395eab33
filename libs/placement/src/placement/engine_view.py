"""What a holder knows of one engine beside what its ledger charges there.

The ledger's entries say what may be on the engine; an `EngineView` says how far that is
known.  Only the functions here and in `engine_reports` change it, one for each event.

An engine that counts the orders it takes tells the count in its reports and refuses an order
that expects another.  What it holds while no order is under way follows from the orders that
it has taken, so an order that names the count on which its room was worked out is taken in
that very state or not at all: a late one finds a higher count.  The promise kept after every
event: at each count at which an order may be taken, the entries charge no less than what may
be there, this order included (checked by `simulation.engine_orders`).
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
    """What an engine told of itself.  `orders`: how many it has taken, None if it doesn't
    count them; `running`: requests that it runs or that wait at it, None if it doesn't tell."""

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
    """The last call for an engine's report; each has an id of its own, so that an answer
    that comes after the next was made is judged by the time of its own call."""

    id: str
    requested_ms: float


@dataclass(frozen=True)
class OrderCount:
    """`orders`: taken by an engine; `since_ms`: when the count was last learned."""

    orders: int
    since_ms: float


@dataclass
class OrderCall:
    """How far the call of an order has come.  `ended_ms`: None while it is open;
    `repeat_ms`, `pause_ms`: when it is to be given again, and the pause after that."""

    ended_ms: float | None = None
    repeat_ms: float | None = None
    pause_ms: float = 0.0


@dataclass
class EngineView:
    """`report`, `poll`: the last report, and the last call for one; `count`: orders that the
    engine has taken, None while that is in doubt, which it came into at `doubted_ms`;
    `changed_ms`: when an entry was last settled; `replaced_until_ms`: another engine has its
    address, so that until then no report is its own; `calls`: order -> OrderCall;
    `missing_ms`: (item, order) -> when a report first lacked what should be there."""

    report: Report | None = None
    poll: Poll | None = None
    count: OrderCount | None = None
    count_invalid_ms: float = _NEVER_MS
    entries_changed_ms: float = _NEVER_MS
    ignore_reports_until_ms: float = _NEVER_MS
    calls: dict = field(default_factory=dict)
    first_missing_ms: dict = field(default_factory=dict)


def view_of(placer, engine):
    """The view of an engine, an empty one if nothing is known of it."""
    found = placer.engines.get(engine)
    if found is None:
        found = placer.engines[engine] = EngineView()
    return found


def reports_of(placer):
    """engine -> its last report, of those that have been heard of."""
    return {name: v.report for name, v in placer.engines.items() if v.report is not None}


def expected_count(view):
    """The count that the engine's next order must find, or None if it counts none."""
    return None if view.count is None else view.count.orders


def count_known(view):
    """Whether the engine may be ordered: its count is known, or it has none."""
    return view.count is not None or (view.report is not None and view.report.orders is None)


def can_take_order(view, entries):
    """Whether the engine may be given an order beside these entries; one that counts its
    orders carries out one at a time, so nothing is given beside one that is under way."""
    if view.count is None:
        return count_known(view)
    return all(entry["state"] == "loaded" for entry in entries.values())


def call_open(view, order):
    """Whether the first call of an order has not ended yet."""
    call = view.calls.get(order)
    return call is not None and call.ended_ms is None


def ended_ms(view, order):
    """When the first call of an order ended, None if it hasn't or if that isn't known."""
    call = view.calls.get(order)
    return None if call is None else call.ended_ms


def poll_sent(view, poll):
    """A report was asked for."""
    view.poll = poll


def report_failed(view, now_ms, unreachable_ms):
    """A call for a report got no answer: after a while the last report counts no more."""
    if view.report is not None and now_ms - view.report.requested_ms > unreachable_ms:
        view.report = None


def order_sent(view, order):
    """The call of an order has begun."""
    view.calls[order] = OrderCall()


def call_ended(view, now_ms, order):
    """The first call of an order has ended, answered or not."""
    view.calls[order] = OrderCall(now_ms)


def schedule_repeat(view, order, at_ms, pause_ms):
    """An order that was taken is given again at `at_ms`, and the next time after more than
    `pause_ms`."""
    call = view.calls[order]
    call.repeat_ms, call.pause_ms = at_ms, pause_ms


def order_taken(view, now_ms, expected):
    """An order that expected this count was taken."""
    if expected is not None and view.count is not None and view.count.orders <= expected:
        view.count = OrderCount(expected + 1, now_ms)


def invalidate_count(view, now_ms):
    """The entries may differ from what the engine holds: only a report asked for after
    `now_ms` says again what that is."""
    view.count = None
    view.count_invalid_ms = now_ms


def entry_settled(view, now_ms, item, order):
    """An entry stands, or is gone, by the engine's word: no earlier report counts."""
    view.entries_changed_ms = now_ms
    view.first_missing_ms.pop((item, order), None)
    call = view.calls.get(order)
    if call is not None:
        call.repeat_ms = None


def is_outdated(view, report):
    """Whether a report is older than what is known of the engine's count.  A lower count in a
    later one shows that an answer was taken for another order's: the report is right."""
    if report.orders is None:
        return False
    if report.requested_ms <= view.count_invalid_ms:
        return True
    return view.count is not None and (
        report.orders < view.count.orders and report.requested_ms <= view.count.since_ms
    )


def learn_count(view, now_ms, report):
    """The entries charge all that a report shows: its count is the engine's, unless it is busy."""
    if report.orders is None or report.busy:
        return
    view.count_invalid_ms = _NEVER_MS
    if expected_count(view) != report.orders:
        view.count = OrderCount(report.orders, now_ms)


def engine_restarted(view):
    """Another engine has begun under the name: its count has to be learned."""
    view.count = None
    view.count_invalid_ms = _NEVER_MS


def address_reused(view, until_ms):
    """Another engine has this one's address, and answers reports as its own: for a while none
    is believed, and nothing ordered."""
    view.report = None
    view.ignore_reports_until_ms = until_ms


def restore_calls(view, now_ms, entries):
    """Taken over from a former holder: what it knew to be taken is counted from now."""
    for entry in entries.values():
        if entry["state"] == "taken":
            call_ended(view, now_ms, entry["order"])


def forget_ended(view, entries):
    """Drop what is remembered of calls and items without an entry."""
    orders = {entry["order"] for entry in entries.values()}
    view.calls = {o: c for o, c in view.calls.items() if o in orders or c.ended_ms is None}
    view.first_missing_ms = {
        (item, order): at_ms
        for (item, order), at_ms in view.first_missing_ms.items()
        if item in entries and entries[item]["order"] == order
    }
