"""A depot's core: one function that takes an event and returns effects.

It puts together the group (`election`, `log_replication`, `bootstrap`,
`reconfiguration`, `leaving`) and, while this depot leads and its term's first entry is
committed, the leader's duties (`batch_writer`, `leases`, `feed`).
"""

from dataclasses import dataclass, field

from transport import messages as m
from transport.effects import LogLine, Send, Wake
from transport.events import Received, Shutdown, Tick, Written

from replication import (
    batch_writer,
    bootstrap,
    election,
    feed,
    feed_snapshots,
    leases,
    leaving,
    log_compaction,
    log_following,
    log_replication,
    reconfiguration,
    snapshot_receiving,
    snapshot_sending,
)
from replication.group import Replica, group_card

__all__ = ["Depot", "handle", "described"]


@dataclass
class Depot:
    group: Replica
    shards: int
    card: m.NodeInfo
    writer: batch_writer.BatchWriter = field(default_factory=batch_writer.BatchWriter)
    nodes: leases.NodeTable = field(default_factory=leases.NodeTable)
    asks: feed.Asks = field(default_factory=feed.Asks)
    founder: bootstrap.Bootstrap = field(default_factory=bootstrap.Bootstrap)
    leave: leaving.Leave | None = None


def handle(depot, now_ms, event, cards, known):
    """`cards` are the peers known by name; `known` is the group that any of
    them ever spoke of, or nothing."""
    replica = depot.group
    if isinstance(event, Tick):
        effects = _tick(depot, now_ms, cards, known)
    elif isinstance(event, Written):
        if replica.role == "leader":
            depot.writer.last_write_ms = event.took_ms
        effects = log_replication.on_written(replica, now_ms, event.index, event.term)
    elif isinstance(event, Shutdown):
        depot.leave = depot.leave or leaving.begin(replica, now_ms)
        effects = []
    elif isinstance(event, Received):
        effects = _receive(depot, now_ms, event.sender, event.message, known)
    else:
        effects = []
    return effects + _after(depot, now_ms)


def _tick(depot, now_ms, cards, known):
    replica = depot.group
    leases.excuse_freeze(replica, depot.nodes, now_ms)
    effects = bootstrap.tick(replica, depot.founder, now_ms, cards, known)
    effects += election.tick(replica, now_ms)
    if replica.role == "leader":
        leaving.watch(replica, now_ms)
    effects += reconfiguration.tick(replica, now_ms, cards)
    if depot.leave is not None:
        effects += leaving.tick(replica, depot.leave, now_ms)
    if replica.role == "leader" and depot.writer.serving:
        effects += leases.lease_tick(replica, depot.writer, depot.nodes, now_ms, depot.shards)
    return effects


def _receive(depot, now_ms, sender, message, known):
    replica = depot.group
    if isinstance(message, m.AppendEntries):
        return log_following.on_entries(replica, now_ms, sender, message)
    if isinstance(message, m.AppendReply):
        if message.term > replica.term:
            return election.step_back(replica, message.term, now_ms)
        return log_replication.on_ack(replica, now_ms, message)
    if isinstance(message, (m.ReplicaChunk, m.ReplicaChunkReply)):
        return _on_snapshot_message(replica, now_ms, sender, message)
    if isinstance(message, m.VoteRequest):
        return election.on_vote_request(replica, now_ms, sender, message)
    if isinstance(message, m.VoteReply):
        return election.on_vote_reply(replica, now_ms, message)
    if isinstance(message, m.TransferLeadership):
        return election.on_transfer_leadership(replica, now_ms, message)
    if isinstance(message, m.BootstrapRequest):
        return bootstrap.on_ask(replica, depot.founder, now_ms, sender, message, known)
    if isinstance(message, m.BootstrapReply):
        return bootstrap.on_agree(replica, depot.founder, now_ms, message)
    if isinstance(message, m.LeaveRequest):
        return leaving.on_request(replica, now_ms, sender, message)
    if isinstance(message, m.LeaveReply):
        return leaving.on_reply(replica, depot.leave, message)
    return _serve(depot, now_ms, sender, message)


def _on_snapshot_message(replica, now_ms, sender, message):
    if isinstance(message, m.ReplicaChunk):
        return snapshot_receiving.on_chunk(replica, now_ms, sender, message)
    if message.term > replica.term:
        return election.step_back(replica, message.term, now_ms)
    return snapshot_sending.on_chunk_reply(replica, now_ms, message)


def _serve(depot, now_ms, sender, message):
    """The log node's duties; any other depot says whom it follows instead."""
    replica, writer, nodes = depot.group, depot.writer, depot.nodes
    if isinstance(message, m.FeedChunkReply):
        return feed_snapshots.on_chunk_reply(replica, nodes, message)
    if isinstance(message, m.ShardChunkReply):
        return leases.on_chunk_reply(writer, sender, message)
    if not isinstance(message, (m.FeedRequest, m.ShardAppend, m.RecoveryRequest, m.LeaseRelease)):
        return []
    if not writer.serving:
        return [Send(sender, m.Gossip(depot.card, False, (), group_card(replica)))]
    if isinstance(message, m.FeedRequest):
        leases.heard(nodes, now_ms, message)
        return feed.on_ask(replica, nodes, depot.asks, now_ms, sender, message)
    if isinstance(message, m.ShardAppend):
        seen = nodes.seen.get(message.name)
        if seen and seen.incarnation == message.incarnation:
            seen.heard_ms = now_ms
        return batch_writer.stage(replica, writer, now_ms, sender, message.section)
    if isinstance(message, m.RecoveryRequest):
        return leases.on_recover(replica, writer, sender, message)
    return leases.on_release(replica, writer, nodes, now_ms, message)


def _after(depot, now_ms):
    """What follows any event: open or close the batch writer, write, tell, feed."""
    replica = depot.group
    effects: list = []
    if replica.role != "leader":
        if depot.writer.serving:
            depot.writer = batch_writer.BatchWriter(
                batches=depot.writer.batches, records=depot.writer.records
            )
            depot.asks = feed.Asks()
            replica.feed_retains = None
            depot.nodes = leases.NodeTable(tick_ms=depot.nodes.tick_ms)
    elif not depot.writer.serving and replica.commit >= replica.term_index:
        depot.writer = batch_writer.open_writer(replica, depot.writer)
        effects.append(LogLine("serves", {"term": replica.term, "commit": replica.commit}))
    if depot.writer.serving:
        effects += batch_writer.settle(replica, depot.writer, now_ms)
        effects += feed.push(replica, depot.nodes, now_ms)
        effects += feed.answer(replica, depot.asks, now_ms)
        effects += batch_writer.write_due(replica, depot.writer, now_ms)
        at = batch_writer.wake_at(replica, depot.writer, now_ms)
        if at is not None:
            effects.append(Wake(at))
    return effects + log_compaction.trim(replica)


def described(depot):
    """What an operator may see of this depot."""
    replica, writer = depot.group, depot.writer
    return {
        "group": replica.group,
        "identity": replica.identity,
        "term": replica.term,
        "role": replica.role,
        "serving": writer.serving,
        "commit": replica.commit,
        "synced": replica.synced,
        "members": [vars(x) for x in group_card(replica).members],
        "leader": replica.leader_address,
        "batches": writer.batches,
        "records": writer.records,
        "flushMs": round(writer.flush_ms, 3),
    }
