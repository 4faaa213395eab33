"""The feed as the log node gives it out.

Committed entries are the numbered changes.  A node asks with the place it
follows from; the answer is a mark, sent once a round that began after the
ask has been answered by a majority, so whoever gets it knows that everything
up to the mark's place was current when it asked.
"""

from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import FeedItems, FeedSnapshot, Mark

from replication import log_replication
from replication.group import entry_at, snapshot_file, term_at

__all__ = ["Asks", "on_ask", "answer", "push"]

_PER_SEND = 128


@dataclass
class Asks:
    waiting: list = field(default_factory=list)


def on_ask(replica, nodes, asks, now_ms, sender, ask):
    """Queue the ask behind a new round, and send what the asker lacks.  What was
    sent before its last ask and is not there by now was lost on the way."""
    node = nodes.seen[ask.name]
    if ask.place < node.sent_at_ask:
        node.sent_place = ask.place
    node.sent_place = max(node.sent_place, ask.place)
    node.sent_at_ask = node.sent_place
    asks.waiting.append((sender, ask, replica.round + 1))
    effects = []
    if log_replication.confirmed_round(replica) >= replica.round:
        effects += log_replication.new_round(replica, now_ms)
    return effects + push_to(replica, node, now_ms)


def answer(replica, asks, now_ms):
    """Answer asks whose round is confirmed; start another if some wait on."""
    round_ = log_replication.confirmed_round(replica)
    ready = [a for a in asks.waiting if a[2] <= round_]
    asks.waiting = [a for a in asks.waiting if a[2] > round_]
    effects = [
        Send(sender, Mark(ask.sent_ms, replica.term, replica.commit, True))
        for sender, ask, _ in ready
    ]
    if asks.waiting and round_ >= replica.round:
        effects += log_replication.new_round(replica, now_ms)
        if len(replica.progress) == 0:
            effects += answer(replica, asks, now_ms)
    return effects


def push(replica, nodes, now_ms):
    """Send every known node what was committed since it was last sent to."""
    effects = []
    for node in nodes.seen.values():
        if node.sent_place < replica.commit and now_ms - node.heard_ms < 3 * replica.times.ping_ms:
            effects += push_to(replica, node, now_ms)
    return effects


def push_to(replica, node, now_ms):
    if node.sent_place >= replica.commit:
        return []
    node.sent_ms = now_ms
    if node.sent_place < replica.base_index:
        node.sent_place = replica.commit
        return [
            Send(
                node.address,
                FeedSnapshot(
                    replica.term,
                    replica.commit,
                    term_at(replica, replica.commit),
                    snapshot_file(replica)[16:],
                ),
            )
        ]
    first = node.sent_place + 1
    last = min(replica.commit, node.sent_place + _PER_SEND)
    node.sent_place = last
    entries = tuple(entry_at(replica, i) for i in range(first, last + 1))
    return [Send(node.address, FeedItems(replica.term, last, entries))]
