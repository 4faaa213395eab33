"""Sending a snapshot in chunks over a connection that may break at any point.

The sender keeps a few chunks in flight.  The receiver answers each with how many bytes
it holds from the start, so a lost chunk, a break or another sender of the same snapshot
costs no more than what was in flight.  The sender keeps no timers: whatever it does
regularly (a heartbeat, an answer to a ping) asks again by an empty chunk.
"""

import zlib
from dataclasses import dataclass, field

from transport.transfer_messages import Chunk, ChunkAck, SnapshotId

__all__ = [
    "CHUNK_BYTES",
    "LIMIT_BYTES",
    "WINDOW_CHUNKS",
    "Incoming",
    "Outgoing",
    "Snapshot",
    "chunks_due",
    "make_snapshot",
    "on_ack",
    "on_chunk",
    "probe",
]

# Small enough that a heartbeat behind a full window is not late on a link of 10 Mbit/s.
CHUNK_BYTES = 64 << 10
WINDOW_CHUNKS = 4
# A receiver assembles the whole in memory, of which a small machine has some 300 MB.
LIMIT_BYTES = 64 << 20


@dataclass(frozen=True)
class Snapshot:
    """The bytes of a state, and what they are known by."""

    id: SnapshotId
    body: bytes


def make_snapshot(index, term, body):
    """A snapshot of the state after the entry at `index`, which is of `term`."""
    return Snapshot(SnapshotId(index, term, len(body), zlib.crc32(body)), body)


@dataclass
class Outgoing:
    """What a sender knows of one receiver of a snapshot."""

    snapshot: Snapshot
    answered: bool = False
    next_offset: int = 0
    sequence: int = 0
    acked_sequence: int = 0
    in_flight: list = field(default_factory=list)


def probe(outgoing):
    """An empty chunk, whose answer tells what the receiver holds."""
    outgoing.sequence += 1
    return Chunk(outgoing.snapshot.id, outgoing.sequence, outgoing.next_offset, b"")


def chunks_due(outgoing):
    """The chunks that may be sent now; none before the receiver said what it holds."""
    found = []
    size = outgoing.snapshot.id.size
    while (
        outgoing.answered
        and outgoing.next_offset < size
        and len(outgoing.in_flight) < WINDOW_CHUNKS
    ):
        found.append(_next_chunk(outgoing))
    return found


def _next_chunk(outgoing):
    offset = outgoing.next_offset
    body = outgoing.snapshot.body[offset : offset + CHUNK_BYTES]
    outgoing.sequence += 1
    outgoing.next_offset += len(body)
    outgoing.in_flight.append((outgoing.sequence, offset))
    return Chunk(outgoing.snapshot.id, outgoing.sequence, offset, body)


def on_ack(outgoing, ack):
    """Take an answer; True once the receiver holds the whole."""
    known = ack.snapshot == outgoing.snapshot.id
    if not known or not outgoing.acked_sequence <= ack.sequence <= outgoing.sequence:
        return False
    outgoing.answered = True
    outgoing.acked_sequence = ack.sequence
    outgoing.in_flight = [f for f in outgoing.in_flight if f[0] > ack.sequence]
    expected = outgoing.in_flight[0][1] if outgoing.in_flight else outgoing.next_offset
    if expected != ack.held:
        outgoing.in_flight = []
        outgoing.next_offset = ack.held
    return ack.held >= outgoing.snapshot.id.size


@dataclass
class Incoming:
    """What a receiver has of the one snapshot that it takes in at a time."""

    snapshot: SnapshotId | None = None
    body: bytearray = field(default_factory=bytearray)
    last_progress_ms: float = -1e12


def on_chunk(incoming, chunk, now_ms, patience_ms=0.0):
    """Take a chunk: (its answer or None, the whole body or None).

    Another snapshot than the one under way is let in once nothing of that one has come
    for `patience_ms`: two senders must not throw each other's bytes away in turn."""
    if chunk.snapshot.size > LIMIT_BYTES:
        return None, None
    if chunk.snapshot != incoming.snapshot:
        if incoming.snapshot is not None and now_ms - incoming.last_progress_ms < patience_ms:
            return None, None
        incoming.snapshot, incoming.body = chunk.snapshot, bytearray()
        incoming.last_progress_ms = now_ms
    room = chunk.snapshot.size - len(incoming.body)
    if chunk.body and chunk.offset == len(incoming.body) and len(chunk.body) <= room:
        incoming.body += chunk.body
        incoming.last_progress_ms = now_ms
    whole = _whole(incoming)
    return ChunkAck(chunk.snapshot, chunk.sequence, len(incoming.body)), whole


def _whole(incoming):
    """The body once it is complete; what doesn't match its checksum is dropped."""
    if len(incoming.body) < incoming.snapshot.size:
        return None
    if zlib.crc32(incoming.body) != incoming.snapshot.checksum:
        incoming.body = bytearray()
        return None
    return bytes(incoming.body)
