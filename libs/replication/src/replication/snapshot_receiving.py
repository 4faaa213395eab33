"""A follower's side of snapshot transfer: it receives the leader's snapshot and installs it."""

from transport.effects import Send
from transport.replication_messages import SnapshotPart
from transport.transfer_messages import ReplicaChunkReply

from replication import log_following, snapshot_transfer

__all__ = ["on_chunk"]


def on_chunk(replica, now_ms, sender, message):
    """Store a chunk and acknowledge the bytes held so far; install a complete snapshot."""
    accepted, effects = log_following.accept_leader(replica, now_ms, sender, message)
    if not accepted:
        return effects
    if message.chunk.snapshot.index <= replica.commit:
        replica.incoming = snapshot_transfer.Incoming()
        reply = log_following.matched_reply(replica, message.round)
        return effects + [Send(sender, reply)]
    ack, body = snapshot_transfer.on_chunk(replica.incoming, message.chunk, now_ms)
    if body is not None:
        replica.incoming = snapshot_transfer.Incoming()
        return effects + _install(replica, now_ms, sender, message, body)
    if ack is not None:
        reply = ReplicaChunkReply(
            replica.term, replica.identity, replica.address, message.round, ack
        )
        effects.append(Send(sender, reply))
    return effects


def _install(replica, now_ms, sender, message, body):
    snapshot = message.chunk.snapshot
    part = SnapshotPart(
        message.group,
        message.term,
        message.identity,
        message.address,
        message.to,
        snapshot.index,
        snapshot.term,
        body,
    )
    return log_following.on_snapshot(replica, now_ms, sender, part)
