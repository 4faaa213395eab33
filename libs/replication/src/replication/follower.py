"""Following the feed: how any node comes to the current state, and knows it.

A follower applies numbered entries in order, starting from a view where the
log no longer reaches back.  It never goes back to an older place.  Its age is
measured on its own clock from the moment it *sent* the ask whose mark it has
caught up with.  Nodes that cannot reach the log node ask fellows, who answer
once their own mark is newer than the question.
"""

from collections import deque
from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import Ask, FeedItems, FeedSnapshot, Mark

from replication import state_machine

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
    snapshot_term: int = 0
    state: state_machine.StateMachine = field(default_factory=state_machine.StateMachine)
    recent: deque = field(default_factory=lambda: deque(maxlen=_RECENT))
    marks: list = field(default_factory=list)
    current_ms: float = -1e12
    direct_ms: float = -1e12
    asked_ms: float = -1e12
    relays: list = field(default_factory=list)


@dataclass(frozen=True)
class News:
    """Sections that counted, in order; or `rebuilt` when a view replaced all."""

    sections: tuple = ()
    rebuilt: bool = False


def ask(follow, now_ms, card, to):
    follow.asked_ms = now_ms
    return Send(
        to,
        Ask(
            card.name,
            card.address,
            card.incarnation,
            card.role,
            now_ms,
            follow.place,
            max(-1.0, follow.direct_ms),
        ),
    )


def age(follow, now_ms):
    return now_ms - follow.current_ms


def on_items(follow, message):
    sections = []
    for entry in message.entries:
        if entry.index != follow.place + 1:
            continue
        sections += state_machine.apply_body(follow.state, entry.body, entry.index)
        follow.place = entry.index
        follow.recent.append(entry)
    _settle(follow)
    return News(tuple(sections))


def on_view(follow, message):
    if message.place <= follow.place:
        return News()
    follow.state, follow.place = state_machine.restore(message.body), message.place
    follow.snapshot_term = message.snapshot_term
    follow.recent.clear()
    _settle(follow)
    return News(rebuilt=True)


def on_mark(follow, mark):
    follow.term = max(follow.term, mark.term)
    if mark.direct:
        follow.direct_ms = max(follow.direct_ms, mark.sent_ms)
    follow.marks.append((mark.sent_ms, mark.place))
    _settle(follow)


def _settle(follow):
    reached = [sent_ms for sent_ms, place in follow.marks if place <= follow.place]
    if reached:
        follow.current_ms = max(follow.current_ms, *reached)
    follow.marks = [m for m in follow.marks if m[1] > follow.place and m[0] > follow.current_ms][
        -64:
    ]


def on_relay_ask(follow, now_ms, sender, message):
    """A fellow without the log node asks us: answer once we know better."""
    follow.relays = [r for r in follow.relays if r[0] != sender][-32:]
    follow.relays.append((sender, message, now_ms))
    return []


def relay(follow):
    """Answer the fellows whose question is older than our newest mark."""
    effects = []
    for sender, asked, at_ms in follow.relays:
        if follow.current_ms < at_ms:
            continue
        if asked.place < follow.place:
            effects.append(Send(sender, _catch_up(follow, asked.place)))
        effects.append(Send(sender, Mark(asked.sent_ms, follow.term, follow.place, False)))
    follow.relays = [r for r in follow.relays if follow.current_ms < r[2]]
    return effects


def _catch_up(follow, place):
    if follow.recent and follow.recent[0].index <= place + 1:
        entries = tuple(e for e in follow.recent if e.index > place)
        return FeedItems(follow.term, follow.place, entries)
    return FeedSnapshot(
        follow.term, follow.place, follow.snapshot_term, state_machine.snapshot(follow.state)
    )
