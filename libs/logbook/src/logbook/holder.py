"""A shard as its holder sees it: recover, append, act once durable.

The holder learns of its grant from the feed, recovers the shard in pages, and
then pipelines records.  What it appended is kept until the log node's
cumulative position covers it, and is offered again to a new log node, which
skips what it already has.  Actions wait behind the position they depend on.
"""

from dataclasses import dataclass, field

from waybill.effects import Send
from waybill.messages import Append, RecoverAsk, Section

from logbook import book as books

__all__ = [
    "Held",
    "recover",
    "on_page",
    "append",
    "flush",
    "on_durable",
    "on_refused",
    "resend",
    "offer_checkpoint",
    "barrier",
]


@dataclass
class Held:
    shard: int
    epoch: int
    ready: bool = False
    lost: bool = False
    askedMs: float = -1e12
    checkpointAt: int = 0
    checkpoint: bytes = b""
    pages: list = field(default_factory=list)
    next: int = 1
    durable: int = 0
    sent: int = 0
    sentMs: float = -1e12
    term: int = 0
    unacked: list = field(default_factory=list)
    waiting: list = field(default_factory=list)


def recover(h, nowMs, card, to):
    h.askedMs, h.pages = nowMs, []
    return [Send(to, RecoverAsk(h.shard, h.epoch, card.address, 0))]


def on_page(h, page):
    """Take a page; True once the shard is whole."""
    if h.ready or page.epoch != h.epoch:
        return False
    expected = page.checkpointAt + 1 + len(h.pages)
    if page.first != expected and page.first != page.checkpointAt + 1:
        return False
    if page.first == page.checkpointAt + 1:
        h.pages, h.checkpoint = [], page.checkpoint
        h.checkpointAt = page.checkpointAt
    h.pages.extend(page.records)
    if not page.last:
        return False
    h.next = h.checkpointAt + len(h.pages) + 1
    h.durable = h.sent = h.next - 1
    h.ready = True
    return True


def append(h, record, then=None):
    """Add a record; `then` comes back from `on_durable` once it is safe."""
    position = h.next
    h.next += 1
    h.unacked.append(record)
    if then is not None:
        h.waiting.append((position, then))
    return position


def flush(h, nowMs, card, to):
    """Send what was appended since the last flush as one section."""
    if not h.ready or h.sent >= h.next - 1 or not to:
        return []
    first = h.sent + 1
    records = tuple(h.unacked[first - h.durable - 1 :])
    h.sent, h.sentMs = h.next - 1, nowMs
    return [
        Send(
            to,
            Append(
                card.name,
                card.incarnation,
                Section(h.shard, h.epoch, books.RECORDS, first, records),
            ),
        )
    ]


def on_durable(h, place, nowMs):
    """Move the durable position; return what was waiting for it."""
    if place.epoch != h.epoch or place.position <= h.durable:
        return []
    del h.unacked[: place.position - h.durable]
    h.durable = place.position
    h.sent = max(h.sent, h.durable)
    h.sentMs = nowMs
    ready = [then for position, then in h.waiting if position <= h.durable]
    h.waiting = [w for w in h.waiting if w[0] > h.durable]
    return ready


def on_refused(h, message):
    if message.epoch != h.epoch:
        return
    if message.cause == "epoch":
        h.lost = True
    else:
        h.sent = max(h.durable, min(h.sent, message.expected - 1))


def resend(h, nowMs, term, retryMs):
    """A new log node, or a silent one: offer everything unacknowledged again."""
    if term > h.term:
        h.term, h.sent = term, h.durable
    elif h.unacked and nowMs - h.sentMs > retryMs:
        h.sent = h.durable


def offer_checkpoint(h, card, to, body):
    section = Section(h.shard, h.epoch, books.CHECKPOINT, h.durable, (body,))
    return [Send(to, Append(card.name, card.incarnation, section))]


def barrier(h, then):
    """`then` once all that is appended so far is durable; True if it already is."""
    if h.durable >= h.next - 1:
        return True
    h.waiting.append((h.next - 1, then))
    return False
