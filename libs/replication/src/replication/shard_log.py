"""A shard as its holder sees it: recover, append, act once durable.

The holder learns of its grant from the feed, recovers the shard in pages, and
then pipelines records.  What it appended is kept until the log node's
cumulative position covers it, and is offered again to a new log node, which
skips what it already has.  Actions wait behind the position they depend on.
"""

from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import Append, RecoverAsk, Section, ShardChunkReply

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
    "offer_checkpoint",
    "barrier",
]


@dataclass
class ShardLog:
    shard: int
    epoch: int
    ready: bool = False
    lost: bool = False
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


def recover(log, now_ms, card, to):
    log.asked_ms = now_ms
    return [Send(to, RecoverAsk(log.shard, log.epoch, card.address, 0))]


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
    log.next = log.checkpoint_at + len(log.records) + 1
    log.durable = log.sent = log.next - 1
    log.ready = True


def append(log, record, then=None):
    """Add a record; `then` comes back from `on_durable` once it is safe."""
    position = log.next
    log.next += 1
    log.unacked.append(record)
    if then is not None:
        log.waiting.append((position, then))
    return position


def flush(log, now_ms, card, to):
    """Send what was appended since the last flush as one section."""
    if not log.ready or log.sent >= log.next - 1 or not to:
        return []
    first = log.sent + 1
    records = tuple(log.unacked[first - log.durable - 1 :])
    log.sent, log.sent_ms = log.next - 1, now_ms
    return [
        Send(
            to,
            Append(
                card.name,
                card.incarnation,
                Section(log.shard, log.epoch, state_machine.RECORDS, first, records),
            ),
        )
    ]


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
        log.lost = True
    else:
        log.sent = max(log.durable, min(log.sent, message.expected - 1))


def resend(log, now_ms, term, retryMs):
    """A new log node, or a silent one: offer everything unacknowledged again."""
    if term > log.term:
        log.term, log.sent = term, log.durable
    elif log.unacked and now_ms - log.sent_ms > retryMs:
        log.sent = log.durable


def offer_checkpoint(log, card, to, body):
    section = Section(log.shard, log.epoch, state_machine.CHECKPOINT, log.durable, (body,))
    return [Send(to, Append(card.name, card.incarnation, section))]


def barrier(log, then):
    """`then` once all that is appended so far is durable; True if it already is."""
    if log.durable >= log.next - 1:
        return True
    log.waiting.append((log.next - 1, then))
    return False
