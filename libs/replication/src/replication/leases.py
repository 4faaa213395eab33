"""Who holds which shard: choosing, revoking, recovering.

Leases are records of the log, so epochs never go back whoever leads.  A
holder that is silent too long, that takes in nothing of what it is sent for as
long (it may still speak), that restarted, or that says it is stopping, is
followed by the live counter that a rendezvous hash names, or by the one the
holder named.  Time in which this node itself did not run is nobody's silence.
"""

from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import ShardChunk
from transport.rendezvous import weight

from replication import batch_writer, snapshot_transfer, state_machine

__all__ = ["NodeTable", "Seen", "heard", "lease_tick", "on_release", "on_recover", "excuse_freeze"]


@dataclass
class Seen:
    address: str
    incarnation: str
    role: str
    heard_ms: float
    place: int = 0
    answered_ms: float = -1.0
    took_ms: float = 0.0
    sent_place: int = 0
    sent_at_ask: int = 0
    sent_ms: float = -1e9
    transfer: snapshot_transfer.Outgoing | None = None
    in_flight: list = field(default_factory=list)
    asked_place: int = 0
    moved_ms: float = -1e9


@dataclass
class Recovery:
    """A shard on its way to the holder of a lease."""

    epoch: int
    outgoing: snapshot_transfer.Outgoing


@dataclass
class NodeTable:
    seen: dict = field(default_factory=dict)
    pinned_snapshot: snapshot_transfer.Snapshot | None = None
    tick_ms: float = -1.0


def heard(nodes, now_ms, ask):
    old = nodes.seen.get(ask.name)
    if old is None or old.incarnation != ask.incarnation:
        nodes.seen[ask.name] = Seen(
            ask.address,
            ask.incarnation,
            ask.role,
            now_ms,
            ask.place,
            ask.answered_ms,
            now_ms,
            sent_place=ask.place,
        )
        return
    old.heard_ms, old.address, old.place = now_ms, ask.address, ask.place
    old.role = ask.role
    if ask.answered_ms > old.answered_ms:
        old.answered_ms, old.took_ms = ask.answered_ms, now_ms


def excuse_freeze(replica, nodes, now_ms):
    """If we did not run for a while, shift what we judge silence by."""
    gap_ms = now_ms - nodes.tick_ms if nodes.tick_ms >= 0 else 0.0
    if gap_ms > 2 * replica.times.heartbeat_ms:
        for node in nodes.seen.values():
            node.heard_ms += gap_ms
            node.took_ms += gap_ms
    nodes.tick_ms = now_ms


def _live(replica, nodes, now_ms):
    return [
        name
        for name, s in sorted(nodes.seen.items())
        if s.role == replica.times.placers
        and now_ms - s.heard_ms < 2.5 * replica.times.ping_ms
        and now_ms - s.took_ms < 5 * replica.times.ping_ms
    ]


def _vacant(replica, nodes, now_ms, part):
    if not part.holder:
        return True
    holder = nodes.seen.get(part.holder)
    if holder is None:
        return now_ms - replica.led_from_ms > replica.times.revoke_ms
    if holder.incarnation != part.incarnation or holder.role != replica.times.placers:
        return True
    return now_ms - min(holder.heard_ms, holder.took_ms) > replica.times.revoke_ms


def _held_by(replica, nodes, now_ms):
    """How many shards each live counter holds."""
    held = {name: 0 for name in _live(replica, nodes, now_ms)}
    for part in replica.state.shards.values():
        if part.holder in held:
            held[part.holder] += 1
    return held


def _choose(held, shard, shards, apart=""):
    """The live node with the best score among those not yet full; not the log node
    itself if there is another, so that one loss doesn't take both."""
    if not held:
        return None
    live = [name for name in held if name != apart] or list(held)
    cap = -(-shards // len(live))
    roomy = [name for name in live if held[name] < cap] or live
    return max(roomy, key=lambda name: weight(shard, name))


def lease_tick(replica, writer, nodes, now_ms, shards):
    if not writer.serving or now_ms - replica.led_from_ms < 2 * replica.times.ping_ms:
        return []
    effects, held = [], _held_by(replica, nodes, now_ms)
    for shard in range(shards):
        part = state_machine.shard_of(replica.state, shard)
        if writer.epochs.get(shard, 0) != part.epoch or not _vacant(replica, nodes, now_ms, part):
            continue
        name = part.holder if part.holder in held else _choose(held, shard, shards, replica.name)
        if name is not None:
            held[name] += 1
            effects += _lease(replica, writer, nodes, shard, name)
    return effects


def _lease(replica, writer, nodes, shard, name):
    part = state_machine.shard_of(replica.state, shard)
    flying = [p.position for f in writer.flights for p in f.places if p.shard == shard]
    section = state_machine.lease_section(shard, part.epoch + 1, name, nodes.seen[name].incarnation)
    batch_writer.stage_own(writer, section)
    writer.next[shard] = max(flying + [part.next - 1]) + 1
    return [LogLine("leases", {"shard": shard, "epoch": section.epoch, "to": name})]


def on_release(replica, writer, nodes, now_ms, message):
    part = state_machine.shard_of(replica.state, message.shard)
    if not writer.serving or part.epoch != message.epoch or part.holder != message.name:
        return []
    if writer.epochs.get(message.shard) != part.epoch:
        return []
    live = [name for name in _live(replica, nodes, now_ms) if name != message.name]
    if not live:
        return []
    name = (
        message.successor
        if message.successor in live
        else max(live, key=lambda peer: weight(message.shard, peer))
    )
    return _lease(replica, writer, nodes, message.shard, name)


def on_recover(replica, writer, sender, ask):
    """Give a holder its shard; the lease being applied means that all the old holder's
    writes in flight are durable and before it, so the shard stays as it is until the
    asker has it, and is the same at whoever leads."""
    part = state_machine.shard_of(replica.state, ask.shard)
    if not writer.serving or part.epoch != ask.epoch or writer.epochs.get(ask.shard) != ask.epoch:
        return []
    recovery = writer.recoveries.get(ask.shard)
    if recovery is None or recovery.epoch != ask.epoch:
        body = state_machine.shard_snapshot(part)
        snapshot = snapshot_transfer.make_snapshot(part.next - 1, ask.epoch, body)
        recovery = Recovery(ask.epoch, snapshot_transfer.Outgoing(snapshot))
        writer.recoveries[ask.shard] = recovery
    chunks = snapshot_transfer.chunks_due(recovery.outgoing)
    return _shard_chunks(sender, ask, chunks or [snapshot_transfer.probe(recovery.outgoing)])


def on_chunk_reply(writer, sender, reply):
    """A holder told how much of its shard it has: send what is due now."""
    recovery = writer.recoveries.get(reply.shard)
    if recovery is None or recovery.epoch != reply.epoch:
        return []
    if snapshot_transfer.on_ack(recovery.outgoing, reply.ack):
        del writer.recoveries[reply.shard]
        return []
    return _shard_chunks(sender, reply, snapshot_transfer.chunks_due(recovery.outgoing))


def _shard_chunks(to, about, chunks):
    return [Send(to, ShardChunk(about.shard, about.epoch, chunk)) for chunk in chunks]
