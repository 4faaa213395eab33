"""The log node gives its state to followers that the feed's entries no longer reach."""

from transport.effects import Send
from transport.messages import FeedChunk

from replication import snapshot_transfer
from replication.group import snapshot_file, term_at

__all__ = ["finish", "heartbeat", "on_chunk_reply", "refresh", "start"]

# Of all followers that start at once; each has up to a window of chunks on its way.
_AT_ONCE = 16
# A follower that is silent for so many pings keeps its place no longer; it holds what it
# has, and goes on from there if it is asked for the same snapshot.
_SILENT_PINGS = 40
_STATE_AT = 16


def start(replica, nodes, node, now_ms):
    """Begin to send a follower the state, unless too many are at it."""
    _drop_silent(replica, nodes, now_ms)
    if sum(n.transfer is not None for n in nodes.contacts.values()) >= _AT_ONCE:
        return []
    node.transfer = snapshot_transfer.Outgoing(_pinned(replica, nodes))
    _retain(replica, nodes)
    return heartbeat(replica, node)


def _drop_silent(replica, nodes, now_ms):
    for node in nodes.contacts.values():
        if (
            node.transfer
            and now_ms - node.last_contact_ms > _SILENT_PINGS * replica.settings.ping_ms
        ):
            node.transfer = None


def _pinned(replica, nodes):
    """The one snapshot for all followers that need one, while any of them does."""
    pinned = nodes.pinned_snapshot
    if pinned is None or pinned.id.index < replica.base_index:
        term = term_at(replica, replica.commit)
        body = snapshot_file(replica)[_STATE_AT:]
        pinned = snapshot_transfer.make_snapshot(replica.commit, term, body)
        nodes.pinned_snapshot = pinned
    return pinned


def refresh(replica, nodes, now_ms):
    """Forget transfers to followers that are silent, or were started anew."""
    if replica.feed_retained_index is not None:
        _drop_silent(replica, nodes, now_ms)
        _retain(replica, nodes)


def _retain(replica, nodes):
    """Have the log keep what follows the snapshots under way."""
    sending = [n.transfer for n in nodes.contacts.values() if n.transfer]
    replica.feed_retained_index = min((t.snapshot.id.index for t in sending), default=None)
    if not sending:
        nodes.pinned_snapshot = None


def heartbeat(replica, node):
    """What is due to a follower that was heard of: a probe at least."""
    chunks = snapshot_transfer.chunks_due(node.transfer)
    return _messages(replica, node, chunks or [snapshot_transfer.probe(node.transfer)])


def _messages(replica, node, chunks):
    return [Send(node.address, FeedChunk(replica.term, chunk)) for chunk in chunks]


def on_chunk_reply(replica, nodes, reply):
    """A follower told how much it holds: send what is due now."""
    node = nodes.contacts.get(reply.name)
    if node is None or node.transfer is None:
        return []
    if snapshot_transfer.on_ack(node.transfer, reply.ack):
        node.sent_position = max(node.sent_position, reply.ack.snapshot.index)
        finish(replica, nodes, node)
        return []
    return _messages(replica, node, snapshot_transfer.chunks_due(node.transfer))


def finish(replica, nodes, node):
    """The follower has the state; the snapshot goes once nobody needs it."""
    node.transfer = None
    _retain(replica, nodes)
