"""A shard as its holder sees it: recover, append, act once durable.

The holder learns of its lease from the feed, recovers the shard in pages, and
then pipelines records.  What it appended is kept until the log node's
cumulative position covers it, and is offered again to a new log node, which
skips what it already has.  Actions wait behind the position they depend on.
"""

from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import BatchSection, RecoveryRequest, ShardAppend, ShardChunkReply

from replication import snapshot_transfer, state_machine

__all__ = [
    "ShardLog",
    "recover",
    "on_chunk",
    "append",
    "flush",
    "on_durable",
    "on_refused",
    "resend",
    "checkpoint_due",
    "prepare_checkpoint",
    "offer_checkpoint",
    "barrier",
]


_SECTION_BYTES = 1 << 20
_IN_FLIGHT_BYTES = 4 << 20
_CHECKPOINT_BYTES = 256 << 10


@dataclass
class PreparedCheckpoint:
    """A state after the record at `position`, to be offered until it counts."""

    position: int
    body: bytes
    offered_ms: float = -1e12


@dataclass
class ShardLog:
    """`released`: given back, for good.  `refused_term`: the newest term whose leader has
    called our epoch an old one."""

    shard: int
    epoch: int
    ready: bool = False
    released: bool = False
    refused_term: int = -1
    asked_ms: float = -1e12
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
        """Whether nothing may be done for this shard any more, as far as we know.  A
        leader refuses our epoch as soon as it stages the next lease; if that lease never
        becomes durable, the next leader still counts on us, so what one leader says binds
        us only until there is another."""
        return self.released or (self.refused_term >= 0 and self.refused_term >= self.term)


def recover(log, now_ms, card, to):
    log.asked_ms = now_ms
    return [Send(to, RecoveryRequest(log.shard, log.epoch, card.address, 0))]


def on_chunk(log, now_ms, sender, message):
    """Take a chunk of the shard: (effects, whether it is whole by now)."""
    if log.ready or message.epoch != log.epoch:
        return [], False
    ack, whole = snapshot_transfer.on_chunk(log.incoming, message.chunk, now_ms)
    effects = [Send(sender, ShardChunkReply(log.shard, log.epoch, ack))] if ack else []
    if whole is not None:
        _open(log, state_machine.restore_shard(whole))
    return effects, log.ready


def _open(log, content):
    log.incoming = snapshot_transfer.Incoming()
    log.checkpoint_at, log.checkpoint = content.checkpoint_at, content.checkpoint
    log.records = list(content.records)
    log.checkpoint_bytes = len(content.checkpoint)
    log.bytes_since_checkpoint = sum(len(record) for record in content.records)
    log.next = log.checkpoint_at + len(log.records) + 1
    log.durable = log.sent = log.next - 1
    log.ready = True


def append(log, record, then=None):
    """Add a record; `then` comes back from `on_durable` once it is safe."""
    position = log.next
    log.next += 1
    log.unacked.append(record)
    log.bytes_since_checkpoint += len(record)
    if then is not None:
        log.waiting.append((position, then))
    return position


def flush(log, now_ms, card, to):
    """Send what was appended since the last flush, in sections of bounded size, and no
    more of it on its way than a connection holds."""
    if not log.ready or not to:
        return []
    effects = []
    under_way = sum(len(r) for r in log.unacked[: log.sent - log.durable])
    while log.sent < log.next - 1 and under_way < _IN_FLIGHT_BYTES:
        first = log.sent + 1
        records = _section_records(log.unacked[first - log.durable - 1 :])
        under_way += sum(len(record) for record in records)
        log.sent, log.sent_ms = log.sent + len(records), now_ms
        section = BatchSection(log.shard, log.epoch, state_machine.RECORDS, first, records)
        effects.append(Send(to, ShardAppend(card.name, card.incarnation, section)))
    return effects


def _section_records(records):
    """The first of `records` that go in one section: one at least."""
    size, count = 0, 0
    for record in records:
        size += len(record)
        if count and size > _SECTION_BYTES:
            break
        count += 1
    return tuple(records[:count])


def on_durable(log, place, now_ms):
    """Move the durable position; return what was waiting for it."""
    if place.epoch != log.epoch or place.position <= log.durable:
        return []
    del log.unacked[: place.position - log.durable]
    log.durable = place.position
    log.sent = max(log.sent, log.durable)
    log.sent_ms = now_ms
    ready = [then for position, then in log.waiting if position <= log.durable]
    log.waiting = [w for w in log.waiting if w[0] > log.durable]
    return ready


def on_refused(log, message):
    if message.epoch != log.epoch:
        return
    if message.cause == "epoch":
        log.refused_term = max(log.refused_term, message.term)
    else:
        log.sent = max(log.durable, min(log.sent, message.expected - 1))


def resend(log, now_ms, term, retryMs):
    """A new log node, or a silent one: offer everything unacknowledged again."""
    if term > log.term:
        log.term, log.sent = term, log.durable
    elif log.unacked and now_ms - log.sent_ms > retryMs:
        log.sent = log.durable


def checkpoint_due(log, most_records):
    """Whether it is time for a new checkpoint: after some records, or once they have as
    many bytes as the last checkpoint, so that a restart reads little and what checkpoints
    cost stays in proportion to what is logged."""
    if log.prepared is not None:
        return False
    records = log.next - 1 - log.checkpoint_at
    least = max(_CHECKPOINT_BYTES, log.checkpoint_bytes)
    return records >= most_records or log.bytes_since_checkpoint >= least


def prepare_checkpoint(log, body):
    """`body` is the state after all that was appended so far; it is offered once all of
    that is durable, however much is appended meanwhile."""
    log.prepared = PreparedCheckpoint(log.next - 1, body)
    log.checkpoint_bytes, log.bytes_since_checkpoint = len(body), 0


def offer_checkpoint(log, now_ms, card, to, confirmed_at, retry_ms):
    """Send a prepared checkpoint until the feed shows that it counts."""
    prepared = log.prepared
    if prepared is None or log.durable < prepared.position or not to:
        return []
    if confirmed_at >= prepared.position:
        log.checkpoint_at, log.prepared = confirmed_at, None
        return []
    if now_ms - prepared.offered_ms < retry_ms:
        return []
    prepared.offered_ms = now_ms
    section = BatchSection(
        log.shard, log.epoch, state_machine.CHECKPOINT, prepared.position, (prepared.body,)
    )
    return [Send(to, ShardAppend(card.name, card.incarnation, section))]


def barrier(log, then):
    """`then` once all that is appended so far is durable; True if it already is."""
    if log.durable >= log.next - 1:
        return True
    log.waiting.append((log.next - 1, then))
    return False
