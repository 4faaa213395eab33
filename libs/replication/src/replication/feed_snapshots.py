"""Snapshots for feed followers that are behind the oldest entry in the leader's log."""

from transport.effects import Send
from transport.messages import FeedChunk

from replication import snapshot_transfer
from replication.group import snapshot_file, term_at

__all__ = ["finish", "heartbeat", "on_chunk_reply", "refresh", "start"]

# Limit on concurrent transfers; each has up to a window of chunks in flight.
_MAX_TRANSFERS = 16
# After this many ping intervals of silence a follower's transfer is dropped.  The follower
# keeps the bytes that it has; if the same snapshot is sent again, the transfer resumes there.
_SILENT_PINGS = 40
# The state begins here in a snapshot file, after the entry's index and term.
_STATE_OFFSET = 16


def start(replica, nodes, node, now_ms):
    """Start to send a follower a snapshot, unless too many transfers are in progress."""
    _drop_silent_nodes(replica, nodes, now_ms)
    if sum(n.transfer is not None for n in nodes.contacts.values()) >= _MAX_TRANSFERS:
        return []
    node.transfer = snapshot_transfer.Outgoing(_shared_snapshot(replica, nodes))
    _update_retention(replica, nodes)
    return heartbeat(replica, node)


def _drop_silent_nodes(replica, nodes, now_ms):
    for node in nodes.contacts.values():
        if (
            node.transfer
            and now_ms - node.last_contact_ms > _SILENT_PINGS * replica.settings.ping_ms
        ):
            node.transfer = None


def _shared_snapshot(replica, nodes):
    """Return the snapshot that all current transfers share; it is kept until the last ends."""
    snapshot = nodes.pinned_snapshot
    if snapshot is None or snapshot.id.index < replica.base_index:
        term = term_at(replica, replica.commit)
        body = snapshot_file(replica)[_STATE_OFFSET:]
        snapshot = snapshot_transfer.make_snapshot(replica.commit, term, body)
        nodes.pinned_snapshot = snapshot
    return snapshot


def refresh(replica, nodes, now_ms):
    """Drop the transfers to followers that are silent or have restarted."""
    if replica.feed_retained_index is not None:
        _drop_silent_nodes(replica, nodes, now_ms)
        _update_retention(replica, nodes)


def _update_retention(replica, nodes):
    """Make the log retain the entries after the snapshots that are being sent."""
    sending = [n.transfer for n in nodes.contacts.values() if n.transfer]
    replica.feed_retained_index = min((t.snapshot.id.index for t in sending), default=None)
    if not sending:
        nodes.pinned_snapshot = None


def heartbeat(replica, node):
    """Return the chunks due to a follower that sent a request, or a probe if there are none."""
    chunks = snapshot_transfer.chunks_due(node.transfer)
    return _chunk_messages(replica, node, chunks or [snapshot_transfer.probe(node.transfer)])


def _chunk_messages(replica, node, chunks):
    return [Send(node.address, FeedChunk(replica.term, chunk)) for chunk in chunks]


def on_chunk_reply(replica, nodes, reply):
    """Handle a follower's acknowledgement and send the chunks that are due."""
    node = nodes.contacts.get(reply.name)
    if node is None or node.transfer is None:
        return []
    if snapshot_transfer.on_ack(node.transfer, reply.ack):
        node.sent_position = max(node.sent_position, reply.ack.snapshot.index)
        finish(replica, nodes, node)
        return []
    return _chunk_messages(replica, node, snapshot_transfer.chunks_due(node.transfer))


def finish(replica, nodes, node):
    """End a transfer whose follower has the snapshot; drop the snapshot after the last one."""
    node.transfer = None
    _update_retention(replica, nodes)
