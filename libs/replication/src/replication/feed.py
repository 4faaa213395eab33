"""The leader's side of the feed: it streams committed log entries to the other nodes.

A node sends requests with the position up to which it has the log.  The leader pushes the
entries after it, or a snapshot if the log no longer reaches back that far.  Each request is
answered by a mark once a majority confirmed a heartbeat round that began after the request
came: the mark's position covers all entries that were committed when the node sent the request.
"""

from dataclasses import dataclass, field

from transport.effects import Send, Wake
from transport.messages import FeedEntries, FreshnessMark

from replication import entry_batch, feed_snapshots, log_replication
from replication.group import entry_at

__all__ = ["PendingRequests", "on_request", "answer_requests", "push"]

_PER_SEND = 128
# Shortest time, as a fraction of the heartbeat interval, between two pushes to a node that can't
# hold a shard, and between two heartbeat rounds for waiting requests.
_PACE = 0.25
_BYTES_PER_SEND = 1 << 20
_WINDOW_BYTES = 2 << 20
# 8 Mbit/s: unconfirmed data counts as lost only after the time that a link of this rate needs.
_SLOWEST_BYTES_PER_MS = 1000


@dataclass
class PendingRequests:
    """Feed requests that wait for a heartbeat round, as (sender, request, number of the round),
    and when a round was last started for such requests."""

    waiting: list = field(default_factory=list)
    round_ms: float = float("-inf")


def on_request(replica, nodes, requests, now_ms, sender, request):
    """Queue the request for a new round, and send the node the entries that it lacks."""
    node = nodes.contacts[request.name]
    _update_position(replica, node, now_ms, request.index)
    requests.waiting.append((sender, request, replica.round + 1))
    effects = _start_round(replica, requests, now_ms)
    feed_snapshots.refresh(replica, nodes, now_ms)
    if node.transfer and request.index >= node.transfer.snapshot.id.index:
        feed_snapshots.finish(replica, nodes, node)
    if node.transfer:
        return effects + feed_snapshots.heartbeat(replica, node)
    return effects + push_to(replica, nodes, node, now_ms)


def _update_position(replica, node, now_ms, position):
    """Update the position of a node from its request, and decide whether to send again.

    Entries sent before the node's previous request that still haven't arrived are taken to be
    lost, unless so many bytes are in flight that a slow link may still be sending them."""
    node.in_flight = [f for f in node.in_flight if f[0] > position]
    if position > node.requested_position or not node.in_flight:
        node.last_progress_ms = now_ms
    node.requested_position = position
    allowed_ms = _bytes_in_flight(node) / _SLOWEST_BYTES_PER_MS
    if position < node.sent_at_request and now_ms - node.last_progress_ms >= allowed_ms:
        node.sent_position, node.in_flight = position, []
    node.sent_position = max(node.sent_position, position)
    node.sent_at_request = node.sent_position


def _bytes_in_flight(node):
    return sum(size for _, size in node.in_flight)


def answer_requests(replica, requests, now_ms):
    """Answer the requests whose round is confirmed; start another round if some remain."""
    round_ = log_replication.confirmed_round(replica)
    confirmed = [pending for pending in requests.waiting if pending[2] <= round_]
    requests.waiting = [pending for pending in requests.waiting if pending[2] > round_]
    effects = [
        Send(sender, FreshnessMark(request.sent_ms, replica.term, replica.commit, True))
        for sender, request, _ in confirmed
    ]
    if requests.waiting:
        started = _start_round(replica, requests, now_ms)
        effects += started
        if len(replica.progress) == 0 and round_ < replica.round:
            effects += answer_requests(replica, requests, now_ms)
    return effects


def _start_round(replica, requests, now_ms):
    """Start a round for the waiting requests, unless one is in progress or began recently.

    Hundreds of nodes send requests continuously; one round confirms all that came before it."""
    if log_replication.confirmed_round(replica) < replica.round:
        return []
    due_ms = requests.round_ms + _PACE * replica.settings.heartbeat_ms
    if replica.progress and now_ms < due_ms:
        return [Wake(due_ms)]
    requests.round_ms = now_ms
    return log_replication.new_round(replica, now_ms)


def push(replica, nodes, now_ms):
    """Send newly committed entries to the known nodes.

    Nodes that may hold a shard get them at once.  Others get them no more often than `_PACE`
    allows, since hundreds of nodes would be woken by every batch; the rest follows with a
    later call, at the latest that of the next tick."""
    settings = replica.settings
    return [
        effect
        for node in nodes.contacts.values()
        if node.sent_position < replica.commit
        and now_ms - node.last_contact_ms < 3 * settings.ping_ms
        and (
            node.role == settings.placers or now_ms - node.sent_ms >= _PACE * settings.heartbeat_ms
        )
        for effect in push_to(replica, nodes, node, now_ms)
    ]


def push_to(replica, nodes, node, now_ms):
    """Send a node the next committed entries, or start to send it a snapshot."""
    if node.sent_position >= replica.commit or node.transfer:
        return []
    node.sent_ms = now_ms
    if node.sent_position < replica.base_index:
        return feed_snapshots.start(replica, nodes, node, now_ms)
    if _bytes_in_flight(node) >= _WINDOW_BYTES:
        return []
    entries, size = _entries_due(replica, node.sent_position + 1)
    if not node.in_flight:
        node.last_progress_ms = now_ms
    node.sent_position = entries[-1].index
    node.in_flight.append((node.sent_position, size))
    return [Send(node.address, FeedEntries(replica.term, node.sent_position, entries))]


def _entries_due(replica, first):
    """Return the entries from `first` on that fit into one message, and their total size."""
    last = min(replica.commit, first + _PER_SEND - 1)
    return entry_batch.take_up_to_bytes(
        (entry_at(replica, index) for index in range(first, last + 1)), _BYTES_PER_SEND
    )
