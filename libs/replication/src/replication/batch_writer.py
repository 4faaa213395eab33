"""The log node's batch writer: sections staged, batches cut, positions told.

Sections arrive pipelined; epoch and place are checked before anything is
staged.  Whoever writes next takes all that is staged as one batch.  Nothing
in flight and a fast last write: written at once.  Otherwise at most two
batches are in flight, and the next waits shortly for the shards of the last,
which usually answer its DURABLE together.
"""

from dataclasses import dataclass, field

from transport.codec import to_bytes
from transport.effects import Send
from transport.messages import AppendRefused, Batch, DurablePositions, ShardPosition

from replication import log_replication, state_machine
from replication.group import last_index

__all__ = [
    "BatchWriter",
    "Flight",
    "open_writer",
    "stage",
    "stage_own",
    "write_due",
    "settle",
    "wake_at",
]

# An entry goes in one message, and heartbeats wait behind it.
_MAX_BATCH_BYTES = 1 << 20


@dataclass
class Flight:
    index: int
    sent_ms: float
    places: tuple


@dataclass
class BatchWriter:
    serving: bool = False
    staged: list = field(default_factory=list)
    next: dict = field(default_factory=dict)
    epochs: dict = field(default_factory=dict)
    connections: dict = field(default_factory=dict)
    flights: list = field(default_factory=list)
    last_write_ms: float = 1e9
    flush_ms: float = 1.0
    last_shards: frozenset = frozenset()
    last_done_ms: float = 0.0
    turnMs: dict = field(default_factory=dict)
    told_ms: dict = field(default_factory=dict)
    hold_until_ms: float = 0.0
    recoveries: dict = field(default_factory=dict)
    batches: int = 0
    records: int = 0


def open_writer(replica, writer):
    """Start serving: the log up to our term's first entry is applied."""
    fresh = BatchWriter(serving=True, batches=writer.batches, records=writer.records)
    for shard, part in replica.state.shards.items():
        fresh.next[shard], fresh.epochs[shard] = part.next, part.epoch
    return fresh


def stage(replica, writer, now_ms, sender, section):
    """Check a holder's section and stage it, or say why not."""
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
        known = expected - section.first
        if known >= len(section.records):
            place = replica.state.shards[section.shard].next - 1
            return [
                Send(
                    sender,
                    DurablePositions(replica.term, (ShardPosition(section.shard, epoch, place),)),
                )
            ]
        section = type(section)(
            section.shard, epoch, section.kind, expected, section.records[known:]
        )
    writer.next[section.shard] = expected + len(section.records)
    writer.staged.append(section)
    _learn_turn(writer, now_ms, section.shard)
    return []


def _refused(replica, section, cause, expected):
    return AppendRefused(section.shard, section.epoch, cause, expected, replica.term)


def _learn_turn(writer, now_ms, shard):
    told = writer.told_ms.pop(shard, None)
    if told is not None:
        old = writer.turnMs.get(shard, now_ms - told)
        writer.turnMs[shard] = old + 0.25 * (now_ms - told - old)


def stage_own(writer, section):
    """Stage a record of the log node's own; a lease drops the old holder's."""
    if section.kind == state_machine.LEASE:
        writer.staged = [s for s in writer.staged if s.shard != section.shard]
        writer.epochs[section.shard] = section.epoch
    writer.staged.append(section)


def write_due(replica, writer, now_ms):
    """Cut a batch if one is due now; returns its effects."""
    if not writer.serving or not writer.staged or len(writer.flights) >= replica.times.in_flight:
        return []
    fast = not writer.flights and writer.last_write_ms <= replica.times.inline_ms
    if not fast and replica.times.group_wait and now_ms < _hold_until(writer, now_ms):
        return []
    taken, size = [], 0
    while writer.staged and size < _MAX_BATCH_BYTES:
        section = writer.staged.pop(0)
        taken.append(section)
        size += sum(len(r) for r in section.records)
    places = {}
    for s in taken:
        if s.kind == state_machine.RECORDS:
            places[s.shard] = ShardPosition(s.shard, s.epoch, s.first + len(s.records) - 1)
            writer.records += len(s.records)
    writer.batches += 1
    writer.last_shards = frozenset(places)
    writer.flights.append(Flight(last_index(replica) + 1, now_ms, tuple(places.values())))
    return log_replication.propose(replica, now_ms, to_bytes(Batch(tuple(taken))), inline=fast)


def _hold_until(writer, now_ms):
    """Until when the next batch waits for the last one's shards."""
    here = {s.shard for s in writer.staged}
    if len(writer.last_shards) <= 1 or writer.last_shards <= here:
        return now_ms
    turns = [writer.turnMs[s] for s in writer.last_shards if s in writer.turnMs]
    usual_ms = 3 * max(turns, default=0.0)
    return writer.last_done_ms + min(max(usual_ms, 0.02), writer.flush_ms / 4)


def wake_at(replica, writer, now_ms):
    """When `write_due` wants to be asked again, if a batch is being held."""
    if writer.serving and writer.staged and len(writer.flights) < replica.times.in_flight:
        return max(now_ms, _hold_until(writer, now_ms))
    return None


def settle(replica, writer, now_ms):
    """Tell each connection, in one frame, the new durable places of its shards."""
    told: dict = {}
    while writer.flights and writer.flights[0].index <= replica.commit:
        flight = writer.flights.pop(0)
        writer.flush_ms += 0.25 * (now_ms - flight.sent_ms - writer.flush_ms)
        writer.last_done_ms = now_ms
        for place in flight.places:
            if place.shard in writer.connections and place.epoch == writer.epochs.get(place.shard):
                told.setdefault(writer.connections[place.shard], {})[place.shard] = place
                writer.told_ms[place.shard] = now_ms
    return [
        Send(connection, DurablePositions(replica.term, tuple(places.values())))
        for connection, places in told.items()
    ]
