"""Transfer of a snapshot in chunks, over connections that may break at any point.

The sender keeps a few chunks in flight.  The receiver acknowledges each with the number of
bytes that it holds from the start, so a lost chunk, a broken connection or a change of sender
costs no more than the bytes in flight.  The sender has no timers: its regular messages
(heartbeats, replies to pings) carry a probe, an empty chunk, whose acknowledgement resumes
the transfer.
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

# A heartbeat queued behind a full window still arrives in time on a 10 Mbit/s link.
CHUNK_BYTES = 64 << 10
WINDOW_CHUNKS = 4
# A receiver assembles the snapshot in memory, of which a small machine has some 300 MB.
LIMIT_BYTES = 64 << 20


@dataclass(frozen=True)
class Snapshot:
    """The encoded state and the identity by which receivers recognise it."""

    id: SnapshotId
    body: bytes


def make_snapshot(index, term, body):
    """Return a snapshot of the state after the entry at `index`, which is of `term`."""
    return Snapshot(SnapshotId(index, term, len(body), zlib.crc32(body)), body)


@dataclass
class Outgoing:
    """A sender's state of the transfer to one receiver; `in_flight` has (sequence, offset)."""

    snapshot: Snapshot
    acknowledged: bool = False
    next_offset: int = 0
    sequence: int = 0
    acked_sequence: int = 0
    in_flight: list = field(default_factory=list)


def probe(outgoing):
    """Return an empty chunk, whose acknowledgement contains how much the receiver holds."""
    outgoing.sequence += 1
    return Chunk(outgoing.snapshot.id, outgoing.sequence, outgoing.next_offset, b"")


def chunks_due(outgoing):
    """Return the chunks that may be sent now; none before the first acknowledgement."""
    chunks = []
    size = outgoing.snapshot.id.size
    while (
        outgoing.acknowledged
        and outgoing.next_offset < size
        and len(outgoing.in_flight) < WINDOW_CHUNKS
    ):
        chunks.append(_next_chunk(outgoing))
    return chunks


def _next_chunk(outgoing):
    offset = outgoing.next_offset
    body = outgoing.snapshot.body[offset : offset + CHUNK_BYTES]
    outgoing.sequence += 1
    outgoing.next_offset += len(body)
    outgoing.in_flight.append((outgoing.sequence, offset))
    return Chunk(outgoing.snapshot.id, outgoing.sequence, offset, body)


def on_ack(outgoing, ack):
    """Handle an acknowledgement; return whether the receiver holds the complete snapshot."""
    matches = ack.snapshot == outgoing.snapshot.id
    if not matches or not outgoing.acked_sequence <= ack.sequence <= outgoing.sequence:
        return False
    outgoing.acknowledged = True
    outgoing.acked_sequence = ack.sequence
    outgoing.in_flight = [f for f in outgoing.in_flight if f[0] > ack.sequence]
    expected = outgoing.in_flight[0][1] if outgoing.in_flight else outgoing.next_offset
    if expected != ack.held:
        outgoing.in_flight = []
        outgoing.next_offset = ack.held
    return ack.held >= outgoing.snapshot.id.size


@dataclass
class Incoming:
    """The bytes received so far of a snapshot; a receiver accepts one snapshot at a time."""

    snapshot: SnapshotId | None = None
    body: bytearray = field(default_factory=bytearray)
    last_progress_ms: float = -1e12


def on_chunk(incoming, chunk, now_ms, sender_timeout_ms=0.0):
    """Handle a chunk; returns (acknowledgement or None, complete body or None).

    A chunk of a different snapshot is accepted only after the current transfer made no
    progress for `sender_timeout_ms`: otherwise two senders would discard each other's bytes
    in turn."""
    if chunk.snapshot.size > LIMIT_BYTES:
        return None, None
    if chunk.snapshot != incoming.snapshot:
        if incoming.snapshot is not None and now_ms - incoming.last_progress_ms < sender_timeout_ms:
            return None, None
        incoming.snapshot, incoming.body = chunk.snapshot, bytearray()
        incoming.last_progress_ms = now_ms
    remaining = chunk.snapshot.size - len(incoming.body)
    if chunk.body and chunk.offset == len(incoming.body) and len(chunk.body) <= remaining:
        incoming.body += chunk.body
        incoming.last_progress_ms = now_ms
    body = _complete_body(incoming)
    return ChunkAck(chunk.snapshot, chunk.sequence, len(incoming.body)), body


def _complete_body(incoming):
    """Return the body if it is complete; a body with a wrong checksum is discarded."""
    if len(incoming.body) < incoming.snapshot.size:
        return None
    if zlib.crc32(incoming.body) != incoming.snapshot.checksum:
        incoming.body = bytearray()
        return None
    return bytes(incoming.body)
