"""The log node's desk: sections staged, batches cut, positions told.

Sections arrive pipelined; epoch and place are checked before anything is
staged.  Whoever writes next takes all that is staged as one batch.  Nothing
in flight and a fast last write: written at once.  Otherwise at most two
batches are in flight, and the next waits shortly for the shards of the last,
which usually answer its DURABLE together.
"""

from dataclasses import dataclass, field

from waybill.codec import to_bytes
from waybill.effects import Send
from waybill.messages import Batch, Durable, Refused, ShardPlace

from logbook import book as books
from logbook import copying
from logbook.group import last_index

__all__ = ["Desk", "Flight", "open_desk", "stage", "stage_own", "write_due", "settle", "wake_at"]

_MAX_BATCH_BYTES = 4 << 20


@dataclass
class Flight:
    index: int
    sentMs: float
    places: tuple


@dataclass
class Desk:
    serving: bool = False
    staged: list = field(default_factory=list)
    next: dict = field(default_factory=dict)
    epochs: dict = field(default_factory=dict)
    pipes: dict = field(default_factory=dict)
    flights: list = field(default_factory=list)
    lastWriteMs: float = 1e9
    flushMs: float = 1.0
    lastShards: frozenset = frozenset()
    lastDoneMs: float = 0.0
    turnMs: dict = field(default_factory=dict)
    toldMs: dict = field(default_factory=dict)
    holdUntilMs: float = 0.0
    batches: int = 0
    records: int = 0


def open_desk(g, d):
    """Start serving: the log up to our term's first entry is applied."""
    fresh = Desk(serving=True, batches=d.batches, records=d.records)
    for shard, part in g.book.shards.items():
        fresh.next[shard], fresh.epochs[shard] = part.next, part.epoch
    return fresh


def stage(g, d, nowMs, sender, section):
    """Check a holder's section and stage it, or say why not."""
    epoch = d.epochs.get(section.shard, 0)
    if section.epoch != epoch:
        return [Send(sender, Refused(section.shard, section.epoch, "epoch", epoch))]
    d.pipes[section.shard] = sender
    if section.kind == books.CHECKPOINT:
        d.staged.append(section)
        return []
    expected = d.next.get(section.shard, 1)
    if section.first > expected:
        return [Send(sender, Refused(section.shard, section.epoch, "place", expected))]
    if section.first < expected:
        known = expected - section.first
        if known >= len(section.records):
            place = g.book.shards[section.shard].next - 1
            return [Send(sender, Durable(g.term, (ShardPlace(section.shard, epoch, place),)))]
        section = type(section)(
            section.shard, epoch, section.kind, expected, section.records[known:]
        )
    d.next[section.shard] = expected + len(section.records)
    d.staged.append(section)
    _learn_turn(d, nowMs, section.shard)
    return []


def _learn_turn(d, nowMs, shard):
    told = d.toldMs.pop(shard, None)
    if told is not None:
        old = d.turnMs.get(shard, nowMs - told)
        d.turnMs[shard] = old + 0.25 * (nowMs - told - old)


def stage_own(d, section):
    """Stage a record of the log node's own; a grant drops the old holder's."""
    if section.kind == books.GRANT:
        d.staged = [s for s in d.staged if s.shard != section.shard]
        d.epochs[section.shard] = section.epoch
    d.staged.append(section)


def write_due(g, d, nowMs):
    """Cut a batch if one is due now; returns its effects."""
    if not d.serving or not d.staged or len(d.flights) >= g.times.inFlight:
        return []
    fast = not d.flights and d.lastWriteMs <= g.times.inlineMs
    if not fast and g.times.groupWait and nowMs < _hold_until(d, nowMs):
        return []
    taken, size = [], 0
    while d.staged and size < _MAX_BATCH_BYTES:
        section = d.staged.pop(0)
        taken.append(section)
        size += sum(len(r) for r in section.records)
    places = {}
    for s in taken:
        if s.kind == books.RECORDS:
            places[s.shard] = ShardPlace(s.shard, s.epoch, s.first + len(s.records) - 1)
            d.records += len(s.records)
    d.batches += 1
    d.lastShards = frozenset(places)
    d.flights.append(Flight(last_index(g) + 1, nowMs, tuple(places.values())))
    return copying.propose(g, nowMs, to_bytes(Batch(tuple(taken))), inline=fast)


def _hold_until(d, nowMs):
    """Until when the next batch waits for the last one's shards."""
    here = {s.shard for s in d.staged}
    if len(d.lastShards) <= 1 or d.lastShards <= here:
        return nowMs
    turns = [d.turnMs[s] for s in d.lastShards if s in d.turnMs]
    usualMs = 3 * max(turns, default=0.0)
    return d.lastDoneMs + min(max(usualMs, 0.02), d.flushMs / 4)


def wake_at(g, d, nowMs):
    """When `write_due` wants to be asked again, if a batch is being held."""
    if d.serving and d.staged and len(d.flights) < g.times.inFlight:
        return max(nowMs, _hold_until(d, nowMs))
    return None


def settle(g, d, nowMs):
    """Tell each pipe, in one frame, the new durable places of its shards."""
    told = {}
    while d.flights and d.flights[0].index <= g.commit:
        flight = d.flights.pop(0)
        d.flushMs += 0.25 * (nowMs - flight.sentMs - d.flushMs)
        d.lastDoneMs = nowMs
        for place in flight.places:
            if place.shard in d.pipes and place.epoch == d.epochs.get(place.shard):
                told.setdefault(d.pipes[place.shard], {})[place.shard] = place
                d.toldMs[place.shard] = nowMs
    return [Send(pipe, Durable(g.term, tuple(places.values()))) for pipe, places in told.items()]
