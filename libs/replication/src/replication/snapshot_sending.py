"""A leader brings up a replica whose log ends before the leader's own begins."""

from transport.effects import Send
from transport.messages import ReplicaChunk

from replication import snapshot_transfer
from replication.group import snapshot_file, term_at

__all__ = ["finish", "messages_due", "on_chunk_reply", "retained_index"]


def messages_due(replica, peer, identity):
    """Chunks for a peer that needs a snapshot; a probe at least, as its heartbeat."""
    if peer.transfer is None:
        peer.transfer = snapshot_transfer.Outgoing(_pinned(replica))
    chunks = snapshot_transfer.chunks_due(peer.transfer)
    chunks = chunks or [snapshot_transfer.probe(peer.transfer)]
    return _messages(replica, peer, identity, chunks)


def _pinned(replica):
    """The one snapshot for all peers that need one.  It is kept while any of them does,
    so that a newer one never makes a transfer start over."""
    pinned = replica.pinned_snapshot
    if pinned is None or pinned.id.index < replica.base_index:
        term = term_at(replica, replica.commit)
        body = snapshot_file(replica)
        pinned = snapshot_transfer.make_snapshot(replica.commit, term, body)
        replica.pinned_snapshot = pinned
    return pinned


def _messages(replica, peer, identity, chunks):
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
    """A peer told how much it holds: send what is due now."""
    peer = replica.progress.get(reply.identity)
    if replica.role != "leader" or reply.term != replica.term or peer is None:
        return []
    peer.last_contact_ms, peer.address = now_ms, reply.address
    peer.round = max(peer.round, reply.round)
    if peer.transfer is None:
        return []
    snapshot_transfer.on_ack(peer.transfer, reply.ack)
    chunks = snapshot_transfer.chunks_due(peer.transfer)
    return _messages(replica, peer, reply.identity, chunks)


def finish(replica, peer):
    """The peer's log reaches ours; the snapshot goes once nobody needs it."""
    peer.transfer = None
    if not any(p.transfer for p in replica.progress.values()):
        replica.pinned_snapshot = None


def retained_index(replica):
    """The first index whose later entries a transfer under way will need, or None."""
    indices = [p.transfer.snapshot.id.index for p in replica.progress.values() if p.transfer]
    if replica.feed_retained_index is not None:
        indices.append(replica.feed_retained_index)
    return min(indices, default=None)
