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
    FeedChunk,
    FeedChunkReply,
    FeedEntries,
    FeedRequest,
    FeedSnapshot,
    FreshnessMark,
)
from transport.transfer_messages import ChunkAck

from replication import entry_batch, snapshot_transfer, state_machine

__all__ = [
    "Follow",
    "News",
    "ask",
    "on_chunk",
    "on_chunk_reply",
    "on_items",
    "on_snapshot",
    "on_mark",
    "age",
    "on_relay_ask",
    "relay",
]

_RECENT = 512
_RECENT_BYTES = 8 << 20
_BYTES_PER_SEND = 1 << 20
# How long a sender of the state may be silent before another's is taken instead.
_PATIENCE_MS = 2000.0
_RELAYS_AT_ONCE = 4
_RELAY_MS = 10_000.0


@dataclass
class Relayed:
    """Our state on its way to a peer, and when that was last heard of."""

    outgoing: snapshot_transfer.Outgoing
    heard_ms: float = -1e12


@dataclass
class Follow:
    place: int = 0
    term: int = 0
    snapshot_term: int = 0
    state: state_machine.StateMachine = field(default_factory=state_machine.StateMachine)
    recent: deque = field(default_factory=deque)
    recent_bytes: int = 0
    incoming: snapshot_transfer.Incoming = field(default_factory=snapshot_transfer.Incoming)
    relayed: dict = field(default_factory=dict)
    marks: list = field(default_factory=list)
    current_ms: float = -1e12
    direct_ms: float = -1e12
    asked_ms: float = -1e12
    relays: list = field(default_factory=list)


@dataclass(frozen=True)
class News:
    """Sections that counted, in order; or `rebuilt` when a snapshot replaced all."""

    sections: tuple = ()
    rebuilt: bool = False


def ask(follow, now_ms, card, to):
    follow.asked_ms = now_ms
    return Send(
        to,
        FeedRequest(
            card.name,
            card.address,
            card.incarnation,
            card.role,
            now_ms,
            follow.place,
            max(-1.0, follow.direct_ms),
        ),
    )


def age(follow, now_ms):
    return now_ms - follow.current_ms


def on_items(follow, message):
    sections = []
    for entry in message.entries:
        if entry.index != follow.place + 1:
            continue
        sections += state_machine.apply_body(follow.state, entry.body, entry.index)
        follow.place = entry.index
        _remember(follow, entry)
    _settle(follow)
    return News(tuple(sections))


def _remember(follow, entry):
    """Keep the newest entries for peers who ask, within some bytes."""
    follow.recent.append(entry)
    follow.recent_bytes += len(entry.body)
    while len(follow.recent) > _RECENT or follow.recent_bytes > _RECENT_BYTES:
        follow.recent_bytes -= len(follow.recent.popleft().body)


def on_chunk(follow, now_ms, name, sender, message):
    """Take a chunk of the state: (effects, News)."""
    chunk = message.chunk
    if _reached(follow, chunk.snapshot.index):
        ack = ChunkAck(chunk.snapshot, chunk.sequence, chunk.snapshot.size)
        return [Send(sender, FeedChunkReply(name, ack))], News()
    ack, whole = snapshot_transfer.on_chunk(follow.incoming, chunk, now_ms, _PATIENCE_MS)
    effects = [Send(sender, FeedChunkReply(name, ack))] if ack else []
    if whole is None:
        return effects, News()
    follow.incoming = snapshot_transfer.Incoming()
    snapshot = FeedSnapshot(message.term, chunk.snapshot.index, chunk.snapshot.term, whole)
    return effects, on_snapshot(follow, snapshot)


def _reached(follow, place):
    return place <= follow.place


def on_snapshot(follow, message):
    if _reached(follow, message.place):
        return News()
    follow.state, follow.place = state_machine.restore(message.body), message.place
    follow.snapshot_term = message.snapshot_term
    follow.recent.clear()
    follow.recent_bytes = 0
    _settle(follow)
    return News(rebuilt=True)


def on_mark(follow, mark):
    follow.term = max(follow.term, mark.term)
    if mark.direct:
        follow.direct_ms = max(follow.direct_ms, mark.sent_ms)
    follow.marks.append((mark.sent_ms, mark.place))
    _settle(follow)


def _settle(follow):
    reached = [sent_ms for sent_ms, place in follow.marks if place <= follow.place]
    if reached:
        follow.current_ms = max(follow.current_ms, *reached)
    follow.marks = [m for m in follow.marks if m[1] > follow.place and m[0] > follow.current_ms][
        -64:
    ]


def on_relay_ask(follow, now_ms, sender, message):
    """A peer without the log node asks us: answer once we know better."""
    follow.relays = [r for r in follow.relays if r[0] != sender][-32:]
    follow.relays.append((sender, message, now_ms))
    return []


def relay(follow, now_ms):
    """Answer the peers whose question is older than our newest mark."""
    effects = []
    for sender, asked, at_ms in follow.relays:
        if follow.current_ms < at_ms:
            continue
        if asked.place < follow.place:
            effects += _catch_up(follow, now_ms, sender, asked.place)
        effects.append(Send(sender, FreshnessMark(asked.sent_ms, follow.term, follow.place, False)))
    follow.relays = [r for r in follow.relays if follow.current_ms < r[2]]
    return effects


def _catch_up(follow, now_ms, sender, place):
    """What a peer at `place` lacks: entries, or the state if we don't have them all."""
    if follow.recent and follow.recent[0].index <= place + 1:
        follow.relayed.pop(sender, None)
        due = (entry for entry in follow.recent if entry.index > place)
        entries, _ = entry_batch.up_to_bytes(due, _BYTES_PER_SEND)
        return [Send(sender, FeedEntries(follow.term, entries[-1].index, entries))]
    _drop_old(follow, now_ms)
    relayed = follow.relayed.get(sender)
    if relayed is None or relayed.outgoing.snapshot.id.index <= place:
        if relayed is None and len(follow.relayed) >= _RELAYS_AT_ONCE:
            return []
        relayed = Relayed(snapshot_transfer.Outgoing(_state(follow)))
        follow.relayed[sender] = relayed
    relayed.heard_ms = now_ms
    chunks = snapshot_transfer.chunks_due(relayed.outgoing)
    chunks = chunks or [snapshot_transfer.probe(relayed.outgoing)]
    return [Send(sender, FeedChunk(follow.term, chunk)) for chunk in chunks]


def _drop_old(follow, now_ms):
    for sender, relayed in list(follow.relayed.items()):
        if now_ms - relayed.heard_ms > _RELAY_MS:
            del follow.relayed[sender]


def _state(follow):
    """Our state as a snapshot; one that is on its way to another peer, if it is new
    enough for the entries that we keep to follow on it."""
    oldest = follow.recent[0].index if follow.recent else follow.place + 1
    for relayed in follow.relayed.values():
        if relayed.outgoing.snapshot.id.index >= oldest - 1:
            return relayed.outgoing.snapshot
    body = state_machine.snapshot(follow.state)
    return snapshot_transfer.make_snapshot(follow.place, follow.snapshot_term, body)


def on_chunk_reply(follow, now_ms, sender, reply):
    """A peer told how much of our state it holds: send what is due now."""
    relayed = follow.relayed.get(sender)
    if relayed is None:
        return []
    relayed.heard_ms = now_ms
    if snapshot_transfer.on_ack(relayed.outgoing, reply.ack):
        del follow.relayed[sender]
        return []
    chunks = snapshot_transfer.chunks_due(relayed.outgoing)
    return [Send(sender, FeedChunk(follow.term, chunk)) for chunk in chunks]
