"""Following the feed: how any node comes to the current state, and knows it.

A follower applies numbered entries in order, starting from a view where the
log no longer reaches back.  It never goes back to an older place.  Its age is
measured on its own clock from the moment it *sent* the ask whose mark it has
caught up with.  Nodes that cannot reach the log node ask fellows, who answer
once their own mark is newer than the question.
"""

from collections import deque
from dataclasses import dataclass, field

from waybill.effects import Send
from waybill.messages import Ask, FeedItems, FeedView, Mark

from logbook import book as books

__all__ = [
    "Follow",
    "News",
    "ask",
    "on_items",
    "on_view",
    "on_mark",
    "age",
    "on_relay_ask",
    "relay",
]

_RECENT = 512


@dataclass
class Follow:
    place: int = 0
    term: int = 0
    viewTerm: int = 0
    book: books.Book = field(default_factory=books.Book)
    recent: deque = field(default_factory=lambda: deque(maxlen=_RECENT))
    marks: list = field(default_factory=list)
    currentMs: float = -1e12
    directMs: float = -1e12
    askedMs: float = -1e12
    relays: list = field(default_factory=list)


@dataclass(frozen=True)
class News:
    """Sections that counted, in order; or `rebuilt` when a view replaced all."""

    sections: tuple = ()
    rebuilt: bool = False


def ask(f, nowMs, card, to):
    f.askedMs = nowMs
    return Send(
        to,
        Ask(
            card.name,
            card.address,
            card.incarnation,
            card.role,
            nowMs,
            f.place,
            max(-1.0, f.directMs),
        ),
    )


def age(f, nowMs):
    return nowMs - f.currentMs


def on_items(f, message):
    sections = []
    for entry in message.entries:
        if entry.index != f.place + 1:
            continue
        sections += books.apply_body(f.book, entry.body, entry.index)
        f.place = entry.index
        f.recent.append(entry)
    _settle(f)
    return News(tuple(sections))


def on_view(f, message):
    if message.place <= f.place:
        return News()
    f.book, f.place = books.open_view(message.body), message.place
    f.viewTerm = message.viewTerm
    f.recent.clear()
    _settle(f)
    return News(rebuilt=True)


def on_mark(f, mark):
    f.term = max(f.term, mark.term)
    if mark.direct:
        f.directMs = max(f.directMs, mark.sentMs)
    f.marks.append((mark.sentMs, mark.place))
    _settle(f)


def _settle(f):
    reached = [sentMs for sentMs, place in f.marks if place <= f.place]
    if reached:
        f.currentMs = max(f.currentMs, *reached)
    f.marks = [m for m in f.marks if m[1] > f.place and m[0] > f.currentMs][-64:]


def on_relay_ask(f, nowMs, sender, message):
    """A fellow without the log node asks us: answer once we know better."""
    f.relays = [r for r in f.relays if r[0] != sender][-32:]
    f.relays.append((sender, message, nowMs))
    return []


def relay(f):
    """Answer the fellows whose question is older than our newest mark."""
    effects = []
    for sender, asked, atMs in f.relays:
        if f.currentMs < atMs:
            continue
        if asked.place < f.place:
            effects.append(Send(sender, _catch_up(f, asked.place)))
        effects.append(Send(sender, Mark(asked.sentMs, f.term, f.place, False)))
    f.relays = [r for r in f.relays if f.currentMs < r[2]]
    return effects


def _catch_up(f, place):
    if f.recent and f.recent[0].index <= place + 1:
        entries = tuple(e for e in f.recent if e.index > place)
        return FeedItems(f.term, f.place, entries)
    return FeedView(f.term, f.place, f.viewTerm, books.view(f.book))
