"""The feed as the log node gives it out.

Committed entries are the numbered changes.  A node asks with the place it
follows from; the answer is a mark, sent once a round that began after the
ask has been answered by a majority, so whoever gets it knows that everything
up to the mark's place was current when it asked.
"""

from dataclasses import dataclass, field

from transport.effects import Send, Wake
from transport.messages import FeedEntries, FreshnessMark

from replication import entry_batch, feed_snapshots, log_replication
from replication.group import entry_at

__all__ = ["Asks", "on_ask", "answer", "push"]

_PER_SEND = 128
# Of the time between two heartbeats: how long a node that holds nothing waits for more news,
# and how long asks wait for those that come after them.
_PACE = 0.25
_BYTES_PER_SEND = 1 << 20
_WINDOW_BYTES = 2 << 20
# A link this slow (8 Mbit/s) is not taken for a broken one.
_SLOWEST_BYTES_PER_MS = 1000


@dataclass
class Asks:
    """(sender, FeedRequest, the round that answers it) of each that waits, and when a round
    for them last began."""

    waiting: list = field(default_factory=list)
    round_ms: float = float("-inf")


def on_ask(replica, nodes, asks, now_ms, sender, ask):
    """Queue the ask behind a new round, and send what the asker lacks."""
    node = nodes.seen[ask.name]
    _learn_place(replica, node, now_ms, ask.place)
    asks.waiting.append((sender, ask, replica.round + 1))
    effects = _begin_round(replica, asks, now_ms)
    feed_snapshots.refresh(replica, nodes, now_ms)
    if node.transfer and ask.place >= node.transfer.snapshot.id.index:
        feed_snapshots.finish(replica, nodes, node)
    if node.transfer:
        return effects + feed_snapshots.heartbeat(replica, node)
    return effects + push_to(replica, nodes, node, now_ms)


def _learn_place(replica, node, now_ms, place):
    """What was sent before a node's last ask and isn't there by now was lost on the way,
    unless it is so much that a slow link may still be at it."""
    node.in_flight = [f for f in node.in_flight if f[0] > place]
    if place > node.asked_place or not node.in_flight:
        node.moved_ms = now_ms
    node.asked_place = place
    patience_ms = _under_way(node) / _SLOWEST_BYTES_PER_MS
    if place < node.sent_at_ask and now_ms - node.moved_ms >= patience_ms:
        node.sent_place, node.in_flight = place, []
    node.sent_place = max(node.sent_place, place)
    node.sent_at_ask = node.sent_place


def _under_way(node):
    return sum(size for _, size in node.in_flight)


def answer(replica, asks, now_ms):
    """Answer asks whose round is confirmed; start another if some wait on."""
    round_ = log_replication.confirmed_round(replica)
    ready = [a for a in asks.waiting if a[2] <= round_]
    asks.waiting = [a for a in asks.waiting if a[2] > round_]
    effects = [
        Send(sender, FreshnessMark(ask.sent_ms, replica.term, replica.commit, True))
        for sender, ask, _ in ready
    ]
    if asks.waiting:
        begun = _begin_round(replica, asks, now_ms)
        effects += begun
        if len(replica.progress) == 0 and round_ < replica.round:
            effects += answer(replica, asks, now_ms)
    return effects


def _begin_round(replica, asks, now_ms):
    """A round for the asks that wait, unless one is under way or began just now: hundreds of
    nodes ask all the time, and one round answers all that asked before it."""
    if log_replication.confirmed_round(replica) < replica.round:
        return []
    due_ms = asks.round_ms + _PACE * replica.times.heartbeat_ms
    if replica.progress and now_ms < due_ms:
        return [Wake(due_ms)]
    asks.round_ms = now_ms
    return log_replication.new_round(replica, now_ms)


def push(replica, nodes, now_ms):
    """Send every known node what was committed since it was last sent to: at once to those
    that may hold a shard, to the others no more often than `_PACE` allows, since hundreds
    of them would each be woken by every batch.  What is held back goes with a later call,
    at the latest that of the next tick."""
    times = replica.times
    return [
        effect
        for node in nodes.seen.values()
        if node.sent_place < replica.commit
        and now_ms - node.heard_ms < 3 * times.ping_ms
        and (node.role == times.placers or now_ms - node.sent_ms >= _PACE * times.heartbeat_ms)
        for effect in push_to(replica, nodes, node, now_ms)
    ]


def push_to(replica, nodes, node, now_ms):
    if node.sent_place >= replica.commit or node.transfer:
        return []
    node.sent_ms = now_ms
    if node.sent_place < replica.base_index:
        return feed_snapshots.start(replica, nodes, node, now_ms)
    if _under_way(node) >= _WINDOW_BYTES:
        return []
    entries, size = _due(replica, node.sent_place + 1)
    if not node.in_flight:
        node.moved_ms = now_ms
    node.sent_place = entries[-1].index
    node.in_flight.append((node.sent_place, size))
    return [Send(node.address, FeedEntries(replica.term, node.sent_place, entries))]


def _due(replica, first):
    """(the entries from `first` on that go in one message, their bytes)."""
    last = min(replica.commit, first + _PER_SEND - 1)
    return entry_batch.up_to_bytes(
        (entry_at(replica, index) for index in range(first, last + 1)), _BYTES_PER_SEND
    )
