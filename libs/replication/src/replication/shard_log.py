"""A lease holder's log of its shard: recovery, appends, and actions that wait for durability.

A holder learns of its lease from the feed, recovers the shard's content in chunks, and then
sends records without waiting for replies.  It keeps them until the leader's durable position,
which is cumulative, covers them.  It sends them again to a new leader, which skips the records
that it already has.  An action that depends on a record waits until the record is durable.
"""

from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import BatchSection, RecoveryRequest, ShardAppend, ShardChunkReply

from replication import snapshot_transfer, state_machine

__all__ = [
    "ShardLog",
    "request_recovery",
    "on_chunk",
    "append",
    "flush",
    "on_durable",
    "on_refused",
    "resend",
    "checkpoint_due",
    "prepare_checkpoint",
    "send_checkpoint",
    "barrier",
]


_SECTION_BYTES = 1 << 20
_IN_FLIGHT_BYTES = 4 << 20
_CHECKPOINT_BYTES = 256 << 10


@dataclass
class PreparedCheckpoint:
    """The state after the record at `position`, to be sent until the feed confirms it."""

    position: int
    body: bytes
    last_sent_ms: float = -1e12


@dataclass
class ShardLog:
    """A shard under one lease.

    `next` is the position of the next record, `sent` that of the last record sent, and `unacked`
    holds the records after `durable`.  `waiting` has (position, action) of each action that waits
    for a position to be durable.  `released`: the holder released the lease.  `refused_term` is
    the newest term whose leader refused the epoch as stale."""

    shard: int
    epoch: int
    ready: bool = False
    released: bool = False
    refused_term: int = -1
    requested_ms: float = -1e12
    checkpoint_at: int = 0
    checkpoint: bytes = b""
    records: list = field(default_factory=list)
    incoming: snapshot_transfer.Incoming = field(default_factory=snapshot_transfer.Incoming)
    next: int = 1
    durable: int = 0
    sent: int = 0
    sent_ms: float = -1e12
    term: int = 0
    unacked: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    prepared: PreparedCheckpoint | None = None
    checkpoint_bytes: int = 0
    bytes_since_checkpoint: int = 0

    @property
    def lost(self):
        """Whether the lease is lost, as far as is known.

        A leader refuses the epoch as soon as it stages the next lease.  If that lease never
        becomes durable, this one remains valid under the next leader, so a refusal holds only
        until a leader of a newer term is known."""
        return self.released or (self.refused_term >= 0 and self.refused_term >= self.term)


def request_recovery(log, now_ms, card, to):
    """Ask the leader for the shard's content."""
    log.requested_ms = now_ms
    return [Send(to, RecoveryRequest(log.shard, log.epoch, card.address, 0))]


def on_chunk(log, now_ms, sender, message):
    """Handle a chunk of the shard's content; returns (effects, whether it is complete)."""
    if log.ready or message.epoch != log.epoch:
        return [], False
    ack, whole = snapshot_transfer.on_chunk(log.incoming, message.chunk, now_ms)
    effects = [Send(sender, ShardChunkReply(log.shard, log.epoch, ack))] if ack else []
    if whole is not None:
        _load_content(log, state_machine.restore_shard(whole))
    return effects, log.ready


def _load_content(log, content):
    log.incoming = snapshot_transfer.Incoming()
    log.checkpoint_at, log.checkpoint = content.checkpoint_at, content.checkpoint
    log.records = list(content.records)
    log.checkpoint_bytes = len(content.checkpoint)
    log.bytes_since_checkpoint = sum(len(record) for record in content.records)
    log.next = log.checkpoint_at + len(log.records) + 1
    log.durable = log.sent = log.next - 1
    log.ready = True


def append(log, record, action=None):
    """Append a record; `on_durable` returns `action` once the record is durable."""
    position = log.next
    log.next += 1
    log.unacked.append(record)
    log.bytes_since_checkpoint += len(record)
    if action is not None:
        log.waiting.append((position, action))
    return position


def flush(log, now_ms, card, to):
    """Send the records appended since the last flush, in sections of bounded size.

    The bytes in flight stay below what a connection's send buffer holds."""
    if not log.ready or not to:
        return []
    effects = []
    bytes_in_flight = sum(len(r) for r in log.unacked[: log.sent - log.durable])
    while log.sent < log.next - 1 and bytes_in_flight < _IN_FLIGHT_BYTES:
        first = log.sent + 1
        records = _section_records(log.unacked[first - log.durable - 1 :])
        bytes_in_flight += sum(len(record) for record in records)
        log.sent, log.sent_ms = log.sent + len(records), now_ms
        section = BatchSection(log.shard, log.epoch, state_machine.RECORDS, first, records)
        effects.append(Send(to, ShardAppend(card.name, card.incarnation, section)))
    return effects


def _section_records(records):
    """Return the first records that fit into one section, but at least one."""
    size, count = 0, 0
    for record in records:
        size += len(record)
        if count and size > _SECTION_BYTES:
            break
        count += 1
    return tuple(records[:count])


def on_durable(log, durable_position, now_ms):
    """Advance the durable position; return the actions that were waiting for it."""
    if durable_position.epoch != log.epoch or durable_position.position <= log.durable:
        return []
    del log.unacked[: durable_position.position - log.durable]
    log.durable = durable_position.position
    log.sent = max(log.sent, log.durable)
    log.sent_ms = now_ms
    ready = [action for position, action in log.waiting if position <= log.durable]
    log.waiting = [w for w in log.waiting if w[0] > log.durable]
    return ready


def on_refused(log, message):
    """Handle a leader's refusal: of the epoch, or of a position that leaves a gap."""
    if message.epoch != log.epoch:
        return
    if message.cause == "epoch":
        log.refused_term = max(log.refused_term, message.term)
    else:
        log.sent = max(log.durable, min(log.sent, message.expected - 1))


def resend(log, now_ms, term, retry_ms):
    """Schedule all unacknowledged records to be sent again, if the leader is new or nothing was
    sent or acknowledged for `retry_ms`."""
    if term > log.term:
        log.term, log.sent = term, log.durable
    elif log.unacked and now_ms - log.sent_ms > retry_ms:
        log.sent = log.durable


def checkpoint_due(log, max_records):
    """Return whether a new checkpoint is due.

    It is due after `max_records` records, or once the records have as many bytes as the last
    checkpoint (at least `_CHECKPOINT_BYTES`), so that a restart reads little and checkpoints
    cost no more than the records logged."""
    if log.prepared is not None:
        return False
    records = log.next - 1 - log.checkpoint_at
    threshold = max(_CHECKPOINT_BYTES, log.checkpoint_bytes)
    return records >= max_records or log.bytes_since_checkpoint >= threshold


def prepare_checkpoint(log, body):
    """Prepare a checkpoint with `body`, the state after all records appended so far.

    It is sent once these records are durable, even if more are appended meanwhile."""
    log.prepared = PreparedCheckpoint(log.next - 1, body)
    log.checkpoint_bytes, log.bytes_since_checkpoint = len(body), 0


def send_checkpoint(log, now_ms, card, to, confirmed_position, retry_ms):
    """Send a prepared checkpoint, repeatedly until the feed confirms it."""
    prepared = log.prepared
    if prepared is None or log.durable < prepared.position or not to:
        return []
    if confirmed_position >= prepared.position:
        log.checkpoint_at, log.prepared = confirmed_position, None
        return []
    if now_ms - prepared.last_sent_ms < retry_ms:
        return []
    prepared.last_sent_ms = now_ms
    section = BatchSection(
        log.shard, log.epoch, state_machine.CHECKPOINT, prepared.position, (prepared.body,)
    )
    return [Send(to, ShardAppend(card.name, card.incarnation, section))]


def barrier(log, action):
    """Return True if all appended records are durable; otherwise let `action` wait for them."""
    if log.durable >= log.next - 1:
        return True
    log.waiting.append((log.next - 1, action))
    return False
