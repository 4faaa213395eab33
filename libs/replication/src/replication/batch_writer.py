"""The leader's batch writer: it combines the records of many shards into log entries.

Lease holders send sections of records without waiting for replies.  A section whose epoch
or position is wrong is refused before it is staged.  Each batch takes all staged sections,
up to a size limit, and becomes one log entry.  If no batch is in flight and the last write
was fast, a batch is written at once.  Otherwise at most `in_flight` batches are in flight,
and the next batch waits briefly for the shards of the last one: their holders usually send
their next sections together, right after the `DurablePositions` message.
"""

from dataclasses import dataclass, field

from transport.codec import to_bytes
from transport.effects import Send
from transport.messages import AppendRefused, Batch, DurablePositions, ShardPosition

from replication import log_replication, state_machine
from replication.group import last_index

__all__ = [
    "BatchWriter",
    "PendingBatch",
    "open_writer",
    "stage",
    "stage_internal",
    "write_due",
    "report_durable",
    "wake_at",
]

# An entry is sent as one message, which delays the heartbeats queued behind it.
_MAX_BATCH_BYTES = 1 << 20


@dataclass
class PendingBatch:
    """A batch that was written and isn't committed yet: its log index, and the position up
    to which it makes the records of each shard durable."""

    index: int
    sent_ms: float
    positions: tuple


@dataclass
class BatchWriter:
    """State of the batch writer; `serving` while this depot leads and accepts records.

    `next`, `epochs` and `connections` hold, by shard, the next expected position, the epoch
    of the newest staged lease and the connection of the holder.  `flush_ms` is a moving
    average of the time from write to commit; `turnMs` is one, by shard, of the time between
    a `DurablePositions` message and the holder's next section.  `recoveries` holds, by shard,
    the transfer of its content to the holder.
    """

    serving: bool = False
    staged: list = field(default_factory=list)
    next: dict = field(default_factory=dict)
    epochs: dict = field(default_factory=dict)
    connections: dict = field(default_factory=dict)
    pending: list = field(default_factory=list)
    last_write_ms: float = 1e9
    flush_ms: float = 1.0
    last_shards: frozenset = frozenset()
    last_done_ms: float = 0.0
    turnMs: dict = field(default_factory=dict)
    reported_ms: dict = field(default_factory=dict)
    hold_until_ms: float = 0.0
    recoveries: dict = field(default_factory=dict)
    batches: int = 0
    records: int = 0


def open_writer(replica, writer):
    """Return a writer that accepts records, and keeps the counters of `writer`.

    Called once the log up to the first entry of this leader's term is applied."""
    fresh = BatchWriter(serving=True, batches=writer.batches, records=writer.records)
    for shard, shard_state in replica.state.shards.items():
        fresh.next[shard], fresh.epochs[shard] = shard_state.next, shard_state.epoch
    return fresh


def stage(replica, writer, now_ms, sender, section):
    """Stage a lease holder's section, or return a message that refuses it.

    Records that were staged before are skipped; if all were, the reply is the durable position."""
    epoch = writer.epochs.get(section.shard, 0)
    if section.epoch != epoch:
        return [Send(sender, _refused(replica, section, "epoch", epoch))]
    writer.connections[section.shard] = sender
    if section.kind == state_machine.CHECKPOINT:
        writer.staged.append(section)
        return []
    expected = writer.next.get(section.shard, 1)
    if section.first > expected:
        return [Send(sender, _refused(replica, section, "place", expected))]
    if section.first < expected:
        already_staged = expected - section.first
        if already_staged >= len(section.records):
            position = replica.state.shards[section.shard].next - 1
            return [
                Send(
                    sender,
                    DurablePositions(
                        replica.term, (ShardPosition(section.shard, epoch, position),)
                    ),
                )
            ]
        section = type(section)(
            section.shard, epoch, section.kind, expected, section.records[already_staged:]
        )
    writer.next[section.shard] = expected + len(section.records)
    writer.staged.append(section)
    _record_turnaround(writer, now_ms, section.shard)
    return []


def _refused(replica, section, cause, expected):
    return AppendRefused(section.shard, section.epoch, cause, expected, replica.term)


def _record_turnaround(writer, now_ms, shard):
    reported_ms = writer.reported_ms.pop(shard, None)
    if reported_ms is not None:
        average_ms = writer.turnMs.get(shard, now_ms - reported_ms)
        writer.turnMs[shard] = average_ms + 0.25 * (now_ms - reported_ms - average_ms)


def stage_internal(writer, section):
    """Stage a section of the leader itself; a lease removes the old holder's staged sections."""
    if section.kind == state_machine.LEASE:
        writer.staged = [s for s in writer.staged if s.shard != section.shard]
        writer.epochs[section.shard] = section.epoch
    writer.staged.append(section)


def write_due(replica, writer, now_ms):
    """Write a batch if one is due now; returns its effects."""
    if not writer.serving or not writer.staged or len(writer.pending) >= replica.settings.in_flight:
        return []
    fast = not writer.pending and writer.last_write_ms <= replica.settings.inline_ms
    if not fast and replica.settings.group_wait and now_ms < _hold_until(writer, now_ms):
        return []
    sections, size = [], 0
    while writer.staged and size < _MAX_BATCH_BYTES:
        section = writer.staged.pop(0)
        sections.append(section)
        size += sum(len(r) for r in section.records)
    positions = {}
    for s in sections:
        if s.kind == state_machine.RECORDS:
            positions[s.shard] = ShardPosition(s.shard, s.epoch, s.first + len(s.records) - 1)
            writer.records += len(s.records)
    writer.batches += 1
    writer.last_shards = frozenset(positions)
    writer.pending.append(PendingBatch(last_index(replica) + 1, now_ms, tuple(positions.values())))
    return log_replication.propose(replica, now_ms, to_bytes(Batch(tuple(sections))), inline=fast)


def _hold_until(writer, now_ms):
    """Return the time until which the next batch waits for sections of the last batch's shards."""
    staged_shards = {s.shard for s in writer.staged}
    if len(writer.last_shards) <= 1 or writer.last_shards <= staged_shards:
        return now_ms
    turnarounds_ms = [writer.turnMs[s] for s in writer.last_shards if s in writer.turnMs]
    usual_ms = 3 * max(turnarounds_ms, default=0.0)
    return writer.last_done_ms + min(max(usual_ms, 0.02), writer.flush_ms / 4)


def wake_at(replica, writer, now_ms):
    """Return when `write_due` should be called again, or None if no batch is being held back."""
    if writer.serving and writer.staged and len(writer.pending) < replica.settings.in_flight:
        return max(now_ms, _hold_until(writer, now_ms))
    return None


def report_durable(replica, writer, now_ms):
    """Send each connection one message with the new durable positions of its shards."""
    by_connection: dict = {}
    while writer.pending and writer.pending[0].index <= replica.commit:
        batch = writer.pending.pop(0)
        writer.flush_ms += 0.25 * (now_ms - batch.sent_ms - writer.flush_ms)
        writer.last_done_ms = now_ms
        for position in batch.positions:
            if position.shard in writer.connections and position.epoch == writer.epochs.get(
                position.shard
            ):
                by_connection.setdefault(writer.connections[position.shard], {})[position.shard] = (
                    position
                )
                writer.reported_ms[position.shard] = now_ms
    return [
        Send(connection, DurablePositions(replica.term, tuple(positions.values())))
        for connection, positions in by_connection.items()
    ]
