"""A leader's side of log replication: entries to the other depots, and commits.

The leader sends entries without waiting for earlier replies.  A reply is cumulative: it names
the last entry that is synced there and known to match.  An entry of the leader's own term is
committed, with all entries before it, once a majority synced it.  `log_following` is the
follower's side; `log_commit` has the steps that both share.
"""

from transport.effects import Send
from transport.messages import AppendEntries, Entry

from replication import catch_up, entry_batch, log_commit, log_following, snapshot_sending
from replication.group import (
    PeerProgress,
    counted_voters,
    last_index,
    learn_members,
    majority,
    members,
    term_at,
)

__all__ = [
    "add_learner",
    "confirmed_round",
    "new_round",
    "on_ack",
    "on_written",
    "propose",
    "replicate_to",
]

# Limit on the entries in one message.
_PER_SEND = 64
# Less than the send buffer of a connection, so that nothing is dropped on a slow link.
_IN_FLIGHT_BYTES = 4 << 20
# Silence, in units of `revoke_ms`, after which no snapshot, and no entries after one, are kept
# for a peer.
_SILENT_REVOKES = 10
# Heartbeats are queued behind entries on the same connection, so a message stays small.
_BYTES_PER_SEND = 1 << 20


def propose(replica, now_ms, body, inline=False):
    """Append an entry as leader: write it here and send it to the other depots."""
    entry = Entry(last_index(replica) + 1, replica.term, body)
    replica.log.append(entry)
    replica.bytes_since_snapshot += len(body)
    learn_members(replica, entry)
    _update_progress(replica, now_ms)
    effects = []
    for peer in replica.progress.values():
        effects += replicate_to(replica, peer, now_ms)
    return effects + log_commit.write(replica, now_ms, (entry,), inline)


def _update_progress(replica, now_ms):
    """Add `PeerProgress` of new voters and remove that of former ones; learners keep theirs."""
    for identity, member in members(replica).items():
        if identity != replica.identity and identity not in replica.progress:
            replica.progress[identity] = PeerProgress(
                member.address, member.name, last_index(replica), last_contact_ms=now_ms
            )
    for identity in [
        i for i, peer in replica.progress.items() if i not in members(replica) and not peer.learner
    ]:
        del replica.progress[identity]


def add_learner(replica, now_ms, identity, name, address):
    """Start to replicate the log to a depot that isn't a voter."""
    replica.progress[identity] = PeerProgress(
        address,
        name,
        last_index(replica) + 1,
        last_contact_ms=now_ms,
        learner=True,
        catch_up=catch_up.begin(last_index(replica), now_ms),
    )
    return replicate_to(replica, replica.progress[identity], now_ms)


def new_round(replica, now_ms):
    """Start a heartbeat round; feed requests are confirmed once a majority answered it."""
    replica.round += 1
    replica.round_sent_ms[replica.round] = now_ms
    for old_round in [r for r in replica.round_sent_ms if r < replica.round - 200]:
        del replica.round_sent_ms[old_round]
    effects = []
    for peer in replica.progress.values():
        effects += replicate_to(replica, peer, now_ms)
    return effects


def confirmed_round(replica):
    """Return the newest round that a majority, this leader included, has answered."""
    answered_rounds = sorted(
        (peer.round for i, peer in replica.progress.items() if i in members(replica)), reverse=True
    )
    needed = majority(replica) - 1
    return (
        replica.round
        if needed == 0
        else answered_rounds[needed - 1]
        if len(answered_rounds) >= needed
        else 0
    )


def _identity_of(replica, peer):
    return next(i for i, other in replica.progress.items() if other is peer)


def replicate_to(replica, peer, now_ms):
    """Send a peer the entries due to it, a snapshot, or at least a heartbeat."""
    peer.sent_ms = now_ms
    identity = _identity_of(replica, peer)
    lacks_entries = peer.next <= replica.base_index
    if (
        lacks_entries
        and now_ms - peer.last_contact_ms < _SILENT_REVOKES * replica.settings.revoke_ms
    ):
        return snapshot_sending.messages_due(replica, peer, identity)
    if peer.transfer is not None:
        snapshot_sending.finish(replica, peer)
    first = max(peer.next, replica.base_index + 1)
    batch = ()
    if _window_open(peer) and not lacks_entries:
        first_offset = first - replica.base_index - 1
        batch, size = entry_batch.take_up_to_bytes(
            replica.log[first_offset : first_offset + _PER_SEND], _BYTES_PER_SEND
        )
    if batch:
        peer.next = first + len(batch)
        peer.in_flight.append((batch[-1].index, size))
    return [
        Send(
            peer.address,
            AppendEntries(
                replica.group,
                replica.term,
                replica.identity,
                replica.address,
                identity,
                first - 1,
                term_at(replica, first - 1),
                replica.commit,
                replica.round,
                batch,
            ),
        )
    ]


def _window_open(peer):
    """Return whether more entries may be sent to a peer before it acknowledges earlier ones."""
    return sum(size for _, size in peer.in_flight) < _IN_FLIGHT_BYTES


def on_written(replica, now_ms, index, term):
    """Handle a synced write: a leader counts it, a follower acknowledges it to its leader."""
    if replica.role != "leader":
        return log_following.on_written(replica, index, term)
    log_commit.mark_written(replica, index, term)
    return count(replica)


def on_ack(replica, now_ms, reply):
    """Handle the reply to entries or a heartbeat: advance the peer and the commit."""
    if replica.role != "leader" or reply.term > replica.term:
        return []
    peer = replica.progress.get(reply.identity)
    if peer is None or reply.term < replica.term:
        return []
    peer.last_contact_ms, peer.address = now_ms, reply.address
    peer.round = max(peer.round, reply.round)
    if not reply.agreed:
        return _on_mismatch(replica, peer, reply.index, now_ms)
    peer.match = max(peer.match, reply.index)
    peer.next = max(peer.next, peer.match + 1)
    peer.in_flight = [f for f in peer.in_flight if f[0] > peer.match]
    if peer.learner:
        catch_up.on_acknowledged(peer.catch_up, peer.match, last_index(replica), now_ms)
    effects = count(replica)
    if peer.next <= last_index(replica):
        effects += replicate_to(replica, peer, now_ms)
    return effects


def _on_mismatch(replica, peer, index, now_ms):
    """Handle a reply that the peer's log doesn't match beyond `index`: send again from there.

    Every message in flight gets the same reply.  Only the first such reply has an effect;
    otherwise each would cause the same entries to be sent again."""
    repeated = index == peer.rewound_to and now_ms - peer.rewound_ms < replica.settings.election_ms
    if repeated and peer.next > index + 1:
        return []
    peer.rewound_to, peer.rewound_ms = index, now_ms
    peer.next = min(peer.next, index + 1)
    peer.in_flight = [f for f in peer.in_flight if f[0] <= index]
    return replicate_to(replica, peer, now_ms)


def count(replica):
    """Advance the commit to the last entry of this term that a majority has synced."""
    voters = counted_voters(replica)
    positions = sorted(
        [peer.match for i, peer in replica.progress.items() if i in voters]
        + ([replica.synced] if replica.identity in voters else []),
        reverse=True,
    )
    if len(positions) < majority(replica):
        return []
    position = positions[majority(replica) - 1]
    if position > replica.commit and term_at(replica, position) == replica.term:
        return log_commit.advance_commit(replica, position)
    return []
