"""Following the feed: how any node comes to the current state, and knows it.

A follower applies numbered entries in order, starting from a snapshot where the
log no longer reaches back.  It never goes back to an older place.  Its age is
measured on its own clock from the moment it *sent* the ask whose mark it has
caught up with.  Nodes that cannot reach the log node ask peers, who answer
once their own mark is newer than the question.
"""

from collections import deque
from dataclasses import dataclass, field

from transport.effects import Send
from transport.messages import (
    Ask,
    FeedChunk,
    FeedChunkReply,
    FeedItems,
    FeedSnapshot,
    Mark,
)
from transport.transfer_messages import ChunkAck

from replication import entry_batch, snapshot_transfer, state_machine

__all__ = [
    "FeedFollower",
    "FeedUpdate",
    "make_request",
    "on_chunk",
    "on_chunk_reply",
    "on_items",
    "on_snapshot",
    "on_mark",
    "age",
    "on_relay_request",
    "answer_relays",
]

_RECENT = 512
_RECENT_BYTES = 8 << 20
_BYTES_PER_SEND = 1 << 20
# How long a sender of the state may be silent before another's is taken instead.
_PATIENCE_MS = 2000.0
_RELAYS_AT_ONCE = 4
_RELAY_MS = 10_000.0


@dataclass
class RelayTransfer:
    """Our state on its way to a peer, and when that was last heard of."""

    outgoing: snapshot_transfer.Outgoing
    last_contact_ms: float = -1e12


@dataclass
class FeedFollower:
    position: int = 0
    term: int = 0
    snapshot_term: int = 0
    state: state_machine.StateMachine = field(default_factory=state_machine.StateMachine)
    recent: deque = field(default_factory=deque)
    recent_bytes: int = 0
    incoming: snapshot_transfer.Incoming = field(default_factory=snapshot_transfer.Incoming)
    relay_transfers: dict = field(default_factory=dict)
    marks: list = field(default_factory=list)
    current_ms: float = -1e12
    direct_ms: float = -1e12
    requested_ms: float = -1e12
    relay_requests: list = field(default_factory=list)


@dataclass(frozen=True)
class FeedUpdate:
    """Sections that counted, in order; or `rebuilt` when a snapshot replaced all."""

    sections: tuple = ()
    rebuilt: bool = False


def make_request(follower, now_ms, card, to):
    follower.requested_ms = now_ms
    return Send(
        to,
        Ask(
            card.name,
            card.address,
            card.incarnation,
            card.role,
            now_ms,
            follower.position,
            max(-1.0, follower.direct_ms),
        ),
    )


def age(follower, now_ms):
    return now_ms - follower.current_ms


def on_items(follower, message):
    sections = []
    for entry in message.entries:
        if entry.index != follower.position + 1:
            continue
        sections += state_machine.apply_body(follower.state, entry.body, entry.index)
        follower.position = entry.index
        _remember(follower, entry)
    _settle(follower)
    return FeedUpdate(tuple(sections))


def _remember(follower, entry):
    """Keep the newest entries for peers who ask, within some bytes."""
    follower.recent.append(entry)
    follower.recent_bytes += len(entry.body)
    while len(follower.recent) > _RECENT or follower.recent_bytes > _RECENT_BYTES:
        follower.recent_bytes -= len(follower.recent.popleft().body)


def on_chunk(follower, now_ms, name, sender, message):
    """Take a chunk of the state: (effects, FeedUpdate)."""
    chunk = message.chunk
    if _already_applied(follower, chunk.snapshot.index):
        ack = ChunkAck(chunk.snapshot, chunk.sequence, chunk.snapshot.size)
        return [Send(sender, FeedChunkReply(name, ack))], FeedUpdate()
    ack, whole = snapshot_transfer.on_chunk(follower.incoming, chunk, now_ms, _PATIENCE_MS)
    effects = [Send(sender, FeedChunkReply(name, ack))] if ack else []
    if whole is None:
        return effects, FeedUpdate()
    follower.incoming = snapshot_transfer.Incoming()
    snapshot = FeedSnapshot(message.term, chunk.snapshot.index, chunk.snapshot.term, whole)
    return effects, on_snapshot(follower, snapshot)


def _already_applied(follower, place):
    return place <= follower.position


def on_snapshot(follower, message):
    if _already_applied(follower, message.place):
        return FeedUpdate()
    follower.state, follower.position = state_machine.restore(message.body), message.place
    follower.snapshot_term = message.snapshot_term
    follower.recent.clear()
    follower.recent_bytes = 0
    _settle(follower)
    return FeedUpdate(rebuilt=True)


def on_mark(follower, mark):
    follower.term = max(follower.term, mark.term)
    if mark.direct:
        follower.direct_ms = max(follower.direct_ms, mark.sent_ms)
    follower.marks.append((mark.sent_ms, mark.place))
    _settle(follower)


def _settle(follower):
    reached = [sent_ms for sent_ms, place in follower.marks if place <= follower.position]
    if reached:
        follower.current_ms = max(follower.current_ms, *reached)
    follower.marks = [
        m for m in follower.marks if m[1] > follower.position and m[0] > follower.current_ms
    ][-64:]


def on_relay_request(follower, now_ms, sender, message):
    """A peer without the log node asks us: answer once we know better."""
    follower.relay_requests = [r for r in follower.relay_requests if r[0] != sender][-32:]
    follower.relay_requests.append((sender, message, now_ms))
    return []


def answer_relays(follower, now_ms):
    """Answer the peers whose question is older than our newest mark."""
    effects = []
    for sender, asked, at_ms in follower.relay_requests:
        if follower.current_ms < at_ms:
            continue
        if asked.place < follower.position:
            effects += _catch_up(follower, now_ms, sender, asked.place)
        effects.append(Send(sender, Mark(asked.sent_ms, follower.term, follower.position, False)))
    follower.relay_requests = [r for r in follower.relay_requests if follower.current_ms < r[2]]
    return effects


def _catch_up(follower, now_ms, sender, place):
    """What a peer at `place` lacks: entries, or the state if we don't have them all."""
    if follower.recent and follower.recent[0].index <= place + 1:
        follower.relay_transfers.pop(sender, None)
        due = (entry for entry in follower.recent if entry.index > place)
        entries, _ = entry_batch.take_up_to_bytes(due, _BYTES_PER_SEND)
        return [Send(sender, FeedItems(follower.term, entries[-1].index, entries))]
    _drop_old(follower, now_ms)
    relayed = follower.relay_transfers.get(sender)
    if relayed is None or relayed.outgoing.snapshot.id.index <= place:
        if relayed is None and len(follower.relay_transfers) >= _RELAYS_AT_ONCE:
            return []
        relayed = RelayTransfer(snapshot_transfer.Outgoing(_state(follower)))
        follower.relay_transfers[sender] = relayed
    relayed.last_contact_ms = now_ms
    chunks = snapshot_transfer.chunks_due(relayed.outgoing)
    chunks = chunks or [snapshot_transfer.probe(relayed.outgoing)]
    return [Send(sender, FeedChunk(follower.term, chunk)) for chunk in chunks]


def _drop_old(follower, now_ms):
    for sender, relayed in list(follower.relay_transfers.items()):
        if now_ms - relayed.last_contact_ms > _RELAY_MS:
            del follower.relay_transfers[sender]


def _state(follower):
    """Our state as a snapshot; one that is on its way to another peer, if it is new
    enough for the entries that we keep to follow on it."""
    oldest = follower.recent[0].index if follower.recent else follower.position + 1
    for relayed in follower.relay_transfers.values():
        if relayed.outgoing.snapshot.id.index >= oldest - 1:
            return relayed.outgoing.snapshot
    body = state_machine.snapshot(follower.state)
    return snapshot_transfer.make_snapshot(follower.position, follower.snapshot_term, body)


def on_chunk_reply(follower, now_ms, sender, reply):
    """A peer told how much of our state it holds: send what is due now."""
    relayed = follower.relay_transfers.get(sender)
    if relayed is None:
        return []
    relayed.last_contact_ms = now_ms
    if snapshot_transfer.on_ack(relayed.outgoing, reply.ack):
        del follower.relay_transfers[sender]
        return []
    chunks = snapshot_transfer.chunks_due(relayed.outgoing)
    return [Send(sender, FeedChunk(follower.term, chunk)) for chunk in chunks]
