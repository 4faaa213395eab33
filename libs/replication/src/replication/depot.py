"""The core of a depot, a node that keeps a copy of the log: events in, effects out.

`handle` dispatches each event to the modules of the replication group (`election`,
`log_replication`, `bootstrap`, `reconfiguration`, `leaving`).  While this depot leads and the
first entry of its term is committed, it also serves the other nodes (`batch_writer`,
`leases`, `feed`).
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

__all__ = ["Depot", "handle", "describe"]


@dataclass
class Depot:
    """All state of a depot's core; `leave` is set once the depot was told to stop."""

    group: Replica
    shards: int
    card: m.NodeInfo
    writer: batch_writer.BatchWriter = field(default_factory=batch_writer.BatchWriter)
    nodes: leases.NodeTable = field(default_factory=leases.NodeTable)
    feed_requests: feed.PendingRequests = field(default_factory=feed.PendingRequests)
    founding: bootstrap.Bootstrap = field(default_factory=bootstrap.Bootstrap)
    leave: leaving.LeaveState | None = None


def handle(depot, now_ms, event, cards, known_group):
    """Handle an event and return the effects to carry out.

    `cards` holds the NodeInfos of the known peers by name; `known_group` is the name of the
    group that any of them reported, or "".
    """
    replica = depot.group
    if isinstance(event, Tick):
        effects = _tick(depot, now_ms, cards, known_group)
    elif isinstance(event, Written):
        if replica.role == "leader":
            depot.writer.last_write_ms = event.took_ms
        effects = log_replication.on_written(replica, now_ms, event.index, event.term)
    elif isinstance(event, Shutdown):
        depot.leave = depot.leave or leaving.begin(replica, now_ms)
        effects = []
    elif isinstance(event, Received):
        effects = _on_message(depot, now_ms, event.sender, event.message, known_group)
    else:
        effects = []
    return effects + _follow_up(depot, now_ms)


def _tick(depot, now_ms, cards, known_group):
    replica = depot.group
    leases.discount_pause(replica, depot.nodes, now_ms)
    effects = bootstrap.tick(replica, depot.founding, now_ms, cards, known_group)
    effects += election.tick(replica, now_ms)
    if replica.role == "leader":
        leaving.update_departures(replica, now_ms)
    effects += reconfiguration.tick(replica, now_ms, cards)
    if depot.leave is not None:
        effects += leaving.tick(replica, depot.leave, now_ms)
    if replica.role == "leader" and depot.writer.serving:
        effects += leases.lease_tick(replica, depot.writer, depot.nodes, now_ms, depot.shards)
    return effects


def _on_message(depot, now_ms, sender, message, known_group):
    replica = depot.group
    if isinstance(message, m.AppendEntries):
        return log_following.on_entries(replica, now_ms, sender, message)
    if isinstance(message, m.AppendReply):
        if message.term > replica.term:
            return election.step_down(replica, message.term, now_ms)
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
        return bootstrap.on_request(replica, depot.founding, now_ms, sender, message, known_group)
    if isinstance(message, m.BootstrapReply):
        return bootstrap.on_reply(replica, depot.founding, now_ms, message)
    if isinstance(message, m.LeaveRequest):
        return leaving.on_request(replica, now_ms, sender, message)
    if isinstance(message, m.LeaveReply):
        return leaving.on_reply(replica, depot.leave, message)
    return _on_node_message(depot, now_ms, sender, message)


def _on_snapshot_message(replica, now_ms, sender, message):
    if isinstance(message, m.ReplicaChunk):
        return snapshot_receiving.on_chunk(replica, now_ms, sender, message)
    if message.term > replica.term:
        return election.step_down(replica, message.term, now_ms)
    return snapshot_sending.on_chunk_reply(replica, now_ms, message)


def _on_node_message(depot, now_ms, sender, message):
    """Serve a node's message as leader; any other depot replies with its leader's address."""
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
        leases.record_contact(nodes, now_ms, message)
        return feed.on_request(replica, nodes, depot.feed_requests, now_ms, sender, message)
    if isinstance(message, m.ShardAppend):
        contact = nodes.contacts.get(message.name)
        if contact and contact.incarnation == message.incarnation:
            contact.last_contact_ms = now_ms
        return batch_writer.stage(replica, writer, now_ms, sender, message.section)
    if isinstance(message, m.RecoveryRequest):
        return leases.on_recover(replica, writer, sender, message)
    return leases.on_release(replica, writer, nodes, now_ms, message)


def _follow_up(depot, now_ms):
    """Complete the handling of any event.

    Start or stop serving, write a batch, report new durable positions and feed new commits."""
    replica = depot.group
    effects: list = []
    if replica.role != "leader":
        if depot.writer.serving:
            depot.writer = batch_writer.BatchWriter(
                batches=depot.writer.batches, records=depot.writer.records
            )
            depot.feed_requests = feed.PendingRequests()
            replica.feed_retained_index = None
            depot.nodes = leases.NodeTable(tick_ms=depot.nodes.tick_ms)
    elif not depot.writer.serving and replica.commit >= replica.term_index:
        depot.writer = batch_writer.open_writer(replica, depot.writer)
        effects.append(LogLine("serves", {"term": replica.term, "commit": replica.commit}))
    if depot.writer.serving:
        effects += batch_writer.report_durable(replica, depot.writer, now_ms)
        effects += feed.push(replica, depot.nodes, now_ms)
        effects += feed.answer_requests(replica, depot.feed_requests, now_ms)
        effects += batch_writer.write_due(replica, depot.writer, now_ms)
        wake_ms = batch_writer.wake_at(replica, depot.writer, now_ms)
        if wake_ms is not None:
            effects.append(Wake(wake_ms))
    return effects + log_compaction.trim(replica)


def describe(depot):
    """Return the state of this depot as operators see it."""
    replica, writer = depot.group, depot.writer
    return {
        "group": replica.group,
        "identity": replica.identity,
        "term": replica.term,
        "role": replica.role,
        "serving": writer.serving,
        "commit": replica.commit,
        "synced": replica.synced,
        "members": [vars(member) for member in group_card(replica).members],
        "leader": replica.leader_address,
        "batches": writer.batches,
        "records": writer.records,
        "flushMs": round(writer.flush_ms, 3),
    }
