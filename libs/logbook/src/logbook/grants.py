"""Who holds which shard: choosing, revoking, recovering.

Grants are records of the log, so epochs never go back whoever leads.  A
holder that is silent too long, that takes in nothing of what it is sent for as
long (it may still speak), or that restarted, is followed by the live counter
that a rendezvous hash names, or by the one the holder named.  Time in which this
node itself did not run is nobody's silence.
"""

from dataclasses import dataclass, field

from waybill.effects import Note, Send
from waybill.messages import RecoverPage
from waybill.rendezvous import weight

from logbook import book as books
from logbook import desk as desks

__all__ = ["Nodes", "Seen", "heard", "grant_tick", "on_release", "on_recover", "excuse_freeze"]


@dataclass
class Seen:
    address: str
    incarnation: str
    role: str
    heardMs: float
    place: int = 0
    answeredMs: float = -1.0
    tookMs: float = 0.0
    sentPlace: int = 0
    sentAtAsk: int = 0
    sentMs: float = -1e9


@dataclass
class Nodes:
    seen: dict = field(default_factory=dict)
    tickMs: float = -1.0


def heard(n, nowMs, ask):
    old = n.seen.get(ask.name)
    if old is None or old.incarnation != ask.incarnation:
        n.seen[ask.name] = Seen(
            ask.address,
            ask.incarnation,
            ask.role,
            nowMs,
            ask.place,
            ask.answeredMs,
            nowMs,
            sentPlace=ask.place,
        )
        return
    old.heardMs, old.address, old.place = nowMs, ask.address, ask.place
    if ask.answeredMs > old.answeredMs:
        old.answeredMs, old.tookMs = ask.answeredMs, nowMs


def excuse_freeze(g, n, nowMs):
    """If we did not run for a while, shift what we judge silence by."""
    gapMs = nowMs - n.tickMs if n.tickMs >= 0 else 0.0
    if gapMs > 2 * g.times.heartbeatMs:
        for node in n.seen.values():
            node.heardMs += gapMs
            node.tookMs += gapMs
    n.tickMs = nowMs


def _live(g, n, nowMs):
    return [
        name
        for name, s in sorted(n.seen.items())
        if s.role == g.times.placers
        and nowMs - s.heardMs < 2.5 * g.times.pingMs
        and nowMs - s.tookMs < 5 * g.times.pingMs
    ]


def _vacant(g, n, nowMs, part):
    if not part.holder:
        return True
    holder = n.seen.get(part.holder)
    if holder is None:
        return nowMs - g.ledFromMs > g.times.revokeMs
    if holder.incarnation != part.incarnation:
        return True
    return nowMs - min(holder.heardMs, holder.tookMs) > g.times.revokeMs


def _held_by(g, n, nowMs):
    """How many shards each live counter holds."""
    held = {name: 0 for name in _live(g, n, nowMs)}
    for part in g.book.shards.values():
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


def grant_tick(g, d, n, nowMs, shards):
    if not d.serving or nowMs - g.ledFromMs < 2 * g.times.pingMs:
        return []
    effects, held = [], _held_by(g, n, nowMs)
    for shard in range(shards):
        part = books.shard_of(g.book, shard)
        if d.epochs.get(shard, 0) != part.epoch or not _vacant(g, n, nowMs, part):
            continue
        name = part.holder if part.holder in held else _choose(held, shard, shards, g.name)
        if name is not None:
            held[name] += 1
            effects += _grant(g, d, n, shard, name)
    return effects


def _grant(g, d, n, shard, name):
    part = books.shard_of(g.book, shard)
    flying = [p.position for f in d.flights for p in f.places if p.shard == shard]
    section = books.grant_section(shard, part.epoch + 1, name, n.seen[name].incarnation)
    desks.stage_own(d, section)
    d.next[shard] = max(flying + [part.next - 1]) + 1
    return [Note("grants", {"shard": shard, "epoch": section.epoch, "to": name})]


def on_release(g, d, n, nowMs, message):
    part = books.shard_of(g.book, message.shard)
    if not d.serving or part.epoch != message.epoch or part.holder != message.name:
        return []
    if d.epochs.get(message.shard) != part.epoch:
        return []
    live = [name for name in _live(g, n, nowMs) if name != message.name]
    if not live:
        return []
    name = (
        message.successor
        if message.successor in live
        else max(live, key=lambda other: weight(message.shard, other))
    )
    return _grant(g, d, n, message.shard, name)


def on_recover(g, d, sender, ask):
    """Ship checkpoint and records in pages; the grant being applied means all
    the old holder's writes in flight are durable and before it."""
    part = books.shard_of(g.book, ask.shard)
    if not d.serving or part.epoch != ask.epoch or d.epochs.get(ask.shard) != ask.epoch:
        return []
    effects, page, size = [], [], 0
    first = part.checkpointAt + 1
    checkpoint = part.checkpoint
    for record in part.records:
        if size + len(record) > g.times.pageBytes and page:
            effects.append(
                Send(
                    sender,
                    RecoverPage(
                        ask.shard,
                        ask.epoch,
                        part.checkpointAt,
                        checkpoint,
                        first,
                        tuple(page),
                        False,
                    ),
                )
            )
            first, page, size, checkpoint = first + len(page), [], 0, b""
        page.append(record)
        size += len(record)
    effects.append(
        Send(
            sender,
            RecoverPage(
                ask.shard, ask.epoch, part.checkpointAt, checkpoint, first, tuple(page), True
            ),
        )
    )
    return effects
