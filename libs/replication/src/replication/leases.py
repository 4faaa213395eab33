"""Leases of shards: the leader assigns and revokes them and sends holders their shards.

Leases are records of the log, so a shard's epoch never goes back when the leader changes.  A
lease is assigned anew when its holder was silent for too long, received nothing for as long
(even if it still sends), restarted, or released the lease because it is stopping.  The new
holder is the one that the old holder named, or a live counter (a node that routes requests)
chosen by rendezvous hashing.  Time in which the leader's own process was paused doesn't count
as silence.
"""

from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import ShardChunk
from transport.rendezvous import weight

from replication import batch_writer, snapshot_transfer, state_machine

__all__ = [
    "NodeTable",
    "NodeContact",
    "record_contact",
    "lease_tick",
    "on_release",
    "on_recover",
    "discount_pause",
]


@dataclass
class NodeContact:
    """What the leader knows of a node that sends it feed requests.

    `answered_ms` is when, by the node's clock, it sent its last request that was answered;
    `last_received_ms` is when `answered_ms` last advanced, by the leader's clock.
    `sent_position` is the log position up to which entries were sent, `sent_at_request` its value
    after the node's last request, and `in_flight` has (last position, bytes) of each message that
    isn't confirmed yet.  `last_progress_ms` is when `requested_position` last advanced, or when
    last no message was in flight."""

    address: str
    incarnation: str
    role: str
    last_contact_ms: float
    position: int = 0
    answered_ms: float = -1.0
    last_received_ms: float = 0.0
    sent_position: int = 0
    sent_at_request: int = 0
    sent_ms: float = -1e9
    transfer: snapshot_transfer.Outgoing | None = None
    in_flight: list = field(default_factory=list)
    requested_position: int = 0
    last_progress_ms: float = -1e9


@dataclass
class Recovery:
    """The transfer of a shard's content to the holder of its lease."""

    epoch: int
    outgoing: snapshot_transfer.Outgoing


@dataclass
class NodeTable:
    """The nodes known to the leader by name, and the time of its last tick."""

    contacts: dict = field(default_factory=dict)
    pinned_snapshot: snapshot_transfer.Snapshot | None = None
    tick_ms: float = -1.0


def record_contact(nodes, now_ms, request):
    """Update the contact of the node that sent a feed request."""
    contact = nodes.contacts.get(request.name)
    if contact is None or contact.incarnation != request.incarnation:
        nodes.contacts[request.name] = NodeContact(
            request.address,
            request.incarnation,
            request.role,
            now_ms,
            request.index,
            request.answered_sent_ms,
            now_ms,
            sent_position=request.index,
        )
        return
    contact.last_contact_ms, contact.address, contact.position = (
        now_ms,
        request.address,
        request.index,
    )
    contact.role = request.role
    if request.answered_sent_ms > contact.answered_ms:
        contact.answered_ms, contact.last_received_ms = request.answered_sent_ms, now_ms


def discount_pause(replica, nodes, now_ms):
    """Move contact times forward by a pause of this process, which isn't silence of the nodes."""
    gap_ms = now_ms - nodes.tick_ms if nodes.tick_ms >= 0 else 0.0
    if gap_ms > 2 * replica.settings.heartbeat_ms:
        for node in nodes.contacts.values():
            node.last_contact_ms += gap_ms
            node.last_received_ms += gap_ms
    nodes.tick_ms = now_ms


def _eligible_nodes(replica, nodes, now_ms):
    return [
        name
        for name, contact in sorted(nodes.contacts.items())
        if contact.role == replica.settings.placers
        and now_ms - contact.last_contact_ms < 2.5 * replica.settings.ping_ms
        and now_ms - contact.last_received_ms < 5 * replica.settings.ping_ms
    ]


def _needs_holder(replica, nodes, now_ms, shard_state):
    if not shard_state.holder:
        return True
    holder = nodes.contacts.get(shard_state.holder)
    if holder is None:
        return now_ms - replica.leader_since_ms > replica.settings.revoke_ms
    if holder.incarnation != shard_state.incarnation or holder.role != replica.settings.placers:
        return True
    return (
        now_ms - min(holder.last_contact_ms, holder.last_received_ms) > replica.settings.revoke_ms
    )


def _shard_counts(replica, nodes, now_ms):
    """Return how many shards each live counter holds."""
    shard_counts = {name: 0 for name in _eligible_nodes(replica, nodes, now_ms)}
    for shard_state in replica.state.shards.values():
        if shard_state.holder in shard_counts:
            shard_counts[shard_state.holder] += 1
    return shard_counts


def _choose_holder(shard_counts, shard, shards, avoid=""):
    """Return the live node with the highest hash weight among those below their share of shards.

    The leader's own machine (`avoid`) is chosen only if no other is live, so that the loss of
    one machine doesn't take both the leader and the holder."""
    if not shard_counts:
        return None
    live = [name for name in shard_counts if name != avoid] or list(shard_counts)
    shard_limit = -(-shards // len(live))
    candidates = [name for name in live if shard_counts[name] < shard_limit] or live
    return max(candidates, key=lambda name: weight(shard, name))


def lease_tick(replica, writer, nodes, now_ms, shards):
    """Assign the shards that need a holder, once the nodes had time to contact this leader."""
    if not writer.serving or now_ms - replica.leader_since_ms < 2 * replica.settings.ping_ms:
        return []
    effects, shard_counts = [], _shard_counts(replica, nodes, now_ms)
    for shard in range(shards):
        shard_state = state_machine.shard_of(replica.state, shard)
        if writer.epochs.get(shard, 0) != shard_state.epoch or not _needs_holder(
            replica, nodes, now_ms, shard_state
        ):
            continue
        name = (
            shard_state.holder
            if shard_state.holder in shard_counts
            else _choose_holder(shard_counts, shard, shards, replica.name)
        )
        if name is not None:
            shard_counts[name] += 1
            effects += _assign(replica, writer, nodes, shard, name)
    return effects


def _assign(replica, writer, nodes, shard, name):
    shard_state = state_machine.shard_of(replica.state, shard)
    pending = [p.position for b in writer.pending for p in b.positions if p.shard == shard]
    section = state_machine.lease_section(
        shard, shard_state.epoch + 1, name, nodes.contacts[name].incarnation
    )
    batch_writer.stage_internal(writer, section)
    writer.next[shard] = max(pending + [shard_state.next - 1]) + 1
    return [LogLine("leases", {"shard": shard, "epoch": section.epoch, "to": name})]


def on_release(replica, writer, nodes, now_ms, message):
    """Assign a released lease to the successor that the holder named, or to another live node."""
    shard_state = state_machine.shard_of(replica.state, message.shard)
    if (
        not writer.serving
        or shard_state.epoch != message.epoch
        or shard_state.holder != message.name
    ):
        return []
    if writer.epochs.get(message.shard) != shard_state.epoch:
        return []
    live = [name for name in _eligible_nodes(replica, nodes, now_ms) if name != message.name]
    if not live:
        return []
    name = (
        message.successor
        if message.successor in live
        else max(live, key=lambda peer: weight(message.shard, peer))
    )
    return _assign(replica, writer, nodes, message.shard, name)


def on_recover(replica, writer, sender, request):
    """Send a holder the content of its shard.

    Once the lease is applied, all writes of the previous holder that were in flight come
    before the lease in the log.  The content therefore doesn't change until the new holder has
    received it, and is the same on every later leader."""
    shard_state = state_machine.shard_of(replica.state, request.shard)
    if (
        not writer.serving
        or shard_state.epoch != request.epoch
        or writer.epochs.get(request.shard) != request.epoch
    ):
        return []
    recovery = writer.recoveries.get(request.shard)
    if recovery is None or recovery.epoch != request.epoch:
        body = state_machine.shard_snapshot(shard_state)
        snapshot = snapshot_transfer.make_snapshot(shard_state.next - 1, request.epoch, body)
        recovery = Recovery(request.epoch, snapshot_transfer.Outgoing(snapshot))
        writer.recoveries[request.shard] = recovery
    chunks = snapshot_transfer.chunks_due(recovery.outgoing)
    return _shard_chunks(sender, request, chunks or [snapshot_transfer.probe(recovery.outgoing)])


def on_chunk_reply(writer, sender, reply):
    """Handle a holder's acknowledgement and send the chunks that are due."""
    recovery = writer.recoveries.get(reply.shard)
    if recovery is None or recovery.epoch != reply.epoch:
        return []
    if snapshot_transfer.on_ack(recovery.outgoing, reply.ack):
        del writer.recoveries[reply.shard]
        return []
    return _shard_chunks(sender, reply, snapshot_transfer.chunks_due(recovery.outgoing))


def _shard_chunks(to, message, chunks):
    return [Send(to, ShardChunk(message.shard, message.epoch, chunk)) for chunk in chunks]
