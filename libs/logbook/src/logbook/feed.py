"""The feed as the log node gives it out.

Committed entries are the numbered changes.  A node asks with the place it
follows from; the answer is a mark, sent once a round that began after the
ask has been answered by a majority, so whoever gets it knows that everything
up to the mark's place was current when it asked.
"""

from dataclasses import dataclass, field

from waybill.effects import Send
from waybill.messages import FeedItems, FeedView, Mark

from logbook import copying
from logbook.group import entry_at, term_at, view_file

__all__ = ["Asks", "on_ask", "answer", "push"]

_PER_SEND = 128


@dataclass
class Asks:
    waiting: list = field(default_factory=list)


def on_ask(g, n, asks, nowMs, sender, ask):
    """Queue the ask behind a new round, and send what the asker lacks.  What was
    sent before its last ask and is not there by now was lost on the way."""
    node = n.seen[ask.name]
    if ask.place < node.sentAtAsk:
        node.sentPlace = ask.place
    node.sentPlace = max(node.sentPlace, ask.place)
    node.sentAtAsk = node.sentPlace
    asks.waiting.append((sender, ask, g.round + 1))
    effects = []
    if copying.confirmed_round(g) >= g.round:
        effects += copying.new_round(g, nowMs)
    return effects + push_to(g, node, nowMs)


def answer(g, asks, nowMs):
    """Answer asks whose round is confirmed; start another if some wait on."""
    round_ = copying.confirmed_round(g)
    ready = [a for a in asks.waiting if a[2] <= round_]
    asks.waiting = [a for a in asks.waiting if a[2] > round_]
    effects = [Send(sender, Mark(ask.sentMs, g.term, g.commit, True)) for sender, ask, _ in ready]
    if asks.waiting and round_ >= g.round:
        effects += copying.new_round(g, nowMs)
        if len(g.others) == 0:
            effects += answer(g, asks, nowMs)
    return effects


def push(g, n, nowMs):
    """Send every known node what was committed since it was last sent to."""
    effects = []
    for node in n.seen.values():
        if node.sentPlace < g.commit and nowMs - node.heardMs < 3 * g.times.pingMs:
            effects += push_to(g, node, nowMs)
    return effects


def push_to(g, node, nowMs):
    if node.sentPlace >= g.commit:
        return []
    node.sentMs = nowMs
    if node.sentPlace < g.baseIndex:
        node.sentPlace = g.commit
        return [
            Send(node.address, FeedView(g.term, g.commit, term_at(g, g.commit), view_file(g)[16:]))
        ]
    first = node.sentPlace + 1
    last = min(g.commit, node.sentPlace + _PER_SEND)
    node.sentPlace = last
    entries = tuple(entry_at(g, i) for i in range(first, last + 1))
    return [Send(node.address, FeedItems(g.term, last, entries))]
