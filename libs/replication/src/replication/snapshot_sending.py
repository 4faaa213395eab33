"""A leader's side of snapshot transfer, for replicas that lack entries it no longer has."""

from transport.effects import Send
from transport.messages import ReplicaChunk

from replication import snapshot_transfer
from replication.group import snapshot_file, term_at

__all__ = ["finish", "messages_due", "on_chunk_reply", "retained_index"]


def messages_due(replica, peer, identity):
    """Return the chunks due to a peer that needs a snapshot, or a probe as its heartbeat."""
    if peer.transfer is None:
        peer.transfer = snapshot_transfer.Outgoing(_shared_snapshot(replica))
    chunks = snapshot_transfer.chunks_due(peer.transfer)
    chunks = chunks or [snapshot_transfer.probe(peer.transfer)]
    return _chunk_messages(replica, peer, identity, chunks)


def _shared_snapshot(replica):
    """Return the snapshot that all current transfers share.

    It is kept until the last of them ends, so that a newer snapshot never restarts one."""
    snapshot = replica.pinned_snapshot
    if snapshot is None or snapshot.id.index < replica.base_index:
        term = term_at(replica, replica.commit)
        body = snapshot_file(replica)
        snapshot = snapshot_transfer.make_snapshot(replica.commit, term, body)
        replica.pinned_snapshot = snapshot
    return snapshot


def _chunk_messages(replica, peer, identity, chunks):
    return [
        Send(
            peer.address,
            ReplicaChunk(
                replica.group,
                replica.term,
                replica.identity,
                replica.address,
                identity,
                replica.round,
                chunk,
            ),
        )
        for chunk in chunks
    ]


def on_chunk_reply(replica, now_ms, reply):
    """Handle a peer's acknowledgement and send the chunks that are due."""
    peer = replica.progress.get(reply.identity)
    if replica.role != "leader" or reply.term != replica.term or peer is None:
        return []
    peer.last_contact_ms, peer.address = now_ms, reply.address
    peer.round = max(peer.round, reply.round)
    if peer.transfer is None:
        return []
    snapshot_transfer.on_ack(peer.transfer, reply.ack)
    chunks = snapshot_transfer.chunks_due(peer.transfer)
    return _chunk_messages(replica, peer, reply.identity, chunks)


def finish(replica, peer):
    """End the transfer to a peer whose log reaches the leader's; drop an unused snapshot."""
    peer.transfer = None
    if not any(p.transfer for p in replica.progress.values()):
        replica.pinned_snapshot = None


def retained_index(replica):
    """Return the index after which current transfers need the log's entries, or None."""
    indices = [p.transfer.snapshot.id.index for p in replica.progress.values() if p.transfer]
    if replica.feed_retained_index is not None:
        indices.append(replica.feed_retained_index)
    return min(indices, default=None)
