"""A node's side of the feed: it keeps a copy of the replicated state and knows how old it is.

A feed follower applies log entries in order, after a snapshot if the leader's log no longer
reaches back far enough.  Its position never goes back.  Its requests are answered by a
`FreshnessMark` with a log position.  The age of its state is measured on its own clock, from
the time when it *sent* the newest request whose mark it has caught up with.  A node that can't
reach the leader sends its requests to peers, which relay entries and marks once their own state
is newer than the request.
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

_RECENT_ENTRIES = 512
_RECENT_BYTES = 8 << 20
_BYTES_PER_SEND = 1 << 20
# A snapshot from another sender is accepted once the current one was silent for this long.
_SENDER_TIMEOUT_MS = 2000.0
_MAX_RELAY_TRANSFERS = 4
_RELAY_TIMEOUT_MS = 10_000.0


@dataclass
class RelayTransfer:
    """A snapshot being sent to a peer, and the time of the peer's last message about it."""

    outgoing: snapshot_transfer.Outgoing
    last_contact_ms: float = -1e12


@dataclass
class FeedFollower:
    """A node's copy of the state, at log position `position`.

    The state was current at `current_ms`, by a mark of the leader or of a relaying peer;
    `direct_ms` is the same by marks of the leader alone.  `marks` holds marks that are ahead
    of the position, and `recent` the entries that can be relayed."""

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
    """The sections that changed the state, in order, or `rebuilt` if a snapshot replaced it."""

    sections: tuple = ()
    rebuilt: bool = False


def make_request(follower, now_ms, card, to):
    """Return the effect that sends a feed request, which is also the node's ping."""
    follower.requested_ms = now_ms
    return Send(
        to,
        FeedRequest(
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
    """Return the time, in ms, since the state was last known to be current."""
    return now_ms - follower.current_ms


def on_items(follower, message):
    """Apply the entries that follow the current position."""
    sections = []
    for entry in message.entries:
        if entry.index != follower.position + 1:
            continue
        sections += state_machine.apply_body(follower.state, entry.body, entry.index)
        follower.position = entry.index
        _keep_recent(follower, entry)
    _apply_marks(follower)
    return FeedUpdate(tuple(sections))


def _keep_recent(follower, entry):
    """Keep the newest entries for peers, limited in number and bytes."""
    follower.recent.append(entry)
    follower.recent_bytes += len(entry.body)
    while len(follower.recent) > _RECENT_ENTRIES or follower.recent_bytes > _RECENT_BYTES:
        follower.recent_bytes -= len(follower.recent.popleft().body)


def on_chunk(follower, now_ms, name, sender, message):
    """Handle a chunk of a snapshot; returns (effects, FeedUpdate)."""
    chunk = message.chunk
    if _already_applied(follower, chunk.snapshot.index):
        ack = ChunkAck(chunk.snapshot, chunk.sequence, chunk.snapshot.size)
        return [Send(sender, FeedChunkReply(name, ack))], FeedUpdate()
    ack, body = snapshot_transfer.on_chunk(follower.incoming, chunk, now_ms, _SENDER_TIMEOUT_MS)
    effects = [Send(sender, FeedChunkReply(name, ack))] if ack else []
    if body is None:
        return effects, FeedUpdate()
    follower.incoming = snapshot_transfer.Incoming()
    snapshot = FeedSnapshot(message.term, chunk.snapshot.index, chunk.snapshot.term, body)
    return effects, on_snapshot(follower, snapshot)


def _already_applied(follower, position):
    return position <= follower.position


def on_snapshot(follower, message):
    """Replace the state by a snapshot that is ahead of it."""
    if _already_applied(follower, message.index):
        return FeedUpdate()
    follower.state, follower.position = state_machine.restore(message.body), message.index
    follower.snapshot_term = message.snapshot_term
    follower.recent.clear()
    follower.recent_bytes = 0
    _apply_marks(follower)
    return FeedUpdate(rebuilt=True)


def on_mark(follower, mark):
    """Record a mark: a state at its position was current when the request was sent."""
    follower.term = max(follower.term, mark.term)
    if mark.direct:
        follower.direct_ms = max(follower.direct_ms, mark.sent_ms)
    follower.marks.append((mark.sent_ms, mark.index))
    _apply_marks(follower)


def _apply_marks(follower):
    reached = [sent_ms for sent_ms, position in follower.marks if position <= follower.position]
    if reached:
        follower.current_ms = max(follower.current_ms, *reached)
    follower.marks = [
        m for m in follower.marks if m[1] > follower.position and m[0] > follower.current_ms
    ][-64:]


def on_relay_request(follower, now_ms, sender, message):
    """Queue the request of a peer that can't reach the leader."""
    follower.relay_requests = [r for r in follower.relay_requests if r[0] != sender][-32:]
    follower.relay_requests.append((sender, message, now_ms))
    return []


def answer_relays(follower, now_ms):
    """Answer the relay requests received no later than `current_ms`."""
    effects = []
    for sender, request, received_ms in follower.relay_requests:
        if follower.current_ms < received_ms:
            continue
        if request.index < follower.position:
            effects += _entries_or_snapshot(follower, now_ms, sender, request.index)
        effects.append(
            Send(sender, FreshnessMark(request.sent_ms, follower.term, follower.position, False))
        )
    follower.relay_requests = [r for r in follower.relay_requests if follower.current_ms < r[2]]
    return effects


def _entries_or_snapshot(follower, now_ms, sender, position):
    """Return messages with the entries after `position`, or with chunks of a snapshot if some of
    these entries are no longer kept."""
    if follower.recent and follower.recent[0].index <= position + 1:
        follower.relay_transfers.pop(sender, None)
        due = (entry for entry in follower.recent if entry.index > position)
        entries, _ = entry_batch.take_up_to_bytes(due, _BYTES_PER_SEND)
        return [Send(sender, FeedEntries(follower.term, entries[-1].index, entries))]
    _drop_silent_transfers(follower, now_ms)
    transfer = follower.relay_transfers.get(sender)
    if transfer is None or transfer.outgoing.snapshot.id.index <= position:
        if transfer is None and len(follower.relay_transfers) >= _MAX_RELAY_TRANSFERS:
            return []
        transfer = RelayTransfer(snapshot_transfer.Outgoing(_relay_snapshot(follower)))
        follower.relay_transfers[sender] = transfer
    transfer.last_contact_ms = now_ms
    chunks = snapshot_transfer.chunks_due(transfer.outgoing)
    chunks = chunks or [snapshot_transfer.probe(transfer.outgoing)]
    return [Send(sender, FeedChunk(follower.term, chunk)) for chunk in chunks]


def _drop_silent_transfers(follower, now_ms):
    for sender, transfer in list(follower.relay_transfers.items()):
        if now_ms - transfer.last_contact_ms > _RELAY_TIMEOUT_MS:
            del follower.relay_transfers[sender]


def _relay_snapshot(follower):
    """Return a snapshot for relaying: one that is being sent to another peer, if the kept
    entries continue from it, or a new one of the current state."""
    oldest = follower.recent[0].index if follower.recent else follower.position + 1
    for transfer in follower.relay_transfers.values():
        if transfer.outgoing.snapshot.id.index >= oldest - 1:
            return transfer.outgoing.snapshot
    body = state_machine.snapshot(follower.state)
    return snapshot_transfer.make_snapshot(follower.position, follower.snapshot_term, body)


def on_chunk_reply(follower, now_ms, sender, reply):
    """Handle a peer's acknowledgement and send the chunks that are due."""
    transfer = follower.relay_transfers.get(sender)
    if transfer is None:
        return []
    transfer.last_contact_ms = now_ms
    if snapshot_transfer.on_ack(transfer.outgoing, reply.ack):
        del follower.relay_transfers[sender]
        return []
    chunks = snapshot_transfer.chunks_due(transfer.outgoing)
    return [Send(sender, FeedChunk(follower.term, chunk)) for chunk in chunks]
