"""A leader's side of log replication: entries to the other members, and commits.

The leader sends what another depot lacks without waiting for earlier answers; an ack
names the last entry that is synced there and known to match, so it is cumulative.  An
entry of the leader's own term counts once a majority synced it, and everything before it
with it.  `log_following` is the other side, `log_commit` what both do alike.
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

# Entries that go as one message.
_PER_SEND = 64
# Below what a connection holds, so that nothing is dropped for a peer on a slow link.
_IN_FLIGHT_BYTES = 4 << 20
# For a peer that is silent so long no snapshot, and no entries after it, are kept.
_SILENT_REVOKES = 10
# A heartbeat waits behind what is sent before it on the same connection.
_BYTES_PER_SEND = 1 << 20


def propose(replica, now_ms, body, inline=False):
    """Add an entry of our own as leader: write it here, send it on."""
    entry = Entry(last_index(replica) + 1, replica.term, body)
    replica.log.append(entry)
    replica.bytes_since_snapshot += len(body)
    learn_members(replica, entry)
    _match_others(replica, now_ms)
    effects = []
    for peer in replica.progress.values():
        effects += replicate_to(replica, peer, now_ms)
    return effects + log_commit.write(replica, now_ms, (entry,), inline)


def _match_others(replica, now_ms):
    """Keep one `Other` for each voter; learners stay until they are voters."""
    for identity, member in members(replica).items():
        if identity != replica.identity and identity not in replica.progress:
            replica.progress[identity] = PeerProgress(
                member.address, member.name, last_index(replica), last_contact_ms=now_ms
            )
    for identity in [
        i for i, o in replica.progress.items() if i not in members(replica) and not o.learner
    ]:
        del replica.progress[identity]


def add_learner(replica, now_ms, identity, name, address):
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
    """Ask everyone at once for a word: what reads and pings are confirmed by."""
    replica.round += 1
    replica.round_sent_ms[replica.round] = now_ms
    for old in [r for r in replica.round_sent_ms if r < replica.round - 200]:
        del replica.round_sent_ms[old]
    effects = []
    for peer in replica.progress.values():
        effects += replicate_to(replica, peer, now_ms)
    return effects


def confirmed_round(replica):
    """The newest round that a majority, ourselves included, has answered."""
    answered = sorted(
        (o.round for i, o in replica.progress.items() if i in members(replica)), reverse=True
    )
    need = majority(replica) - 1
    return replica.round if need == 0 else answered[need - 1] if len(answered) >= need else 0


def _identity_of(replica, peer):
    return next(i for i, o in replica.progress.items() if o is peer)


def replicate_to(replica, peer, now_ms):
    peer.sent_ms = now_ms
    to = _identity_of(replica, peer)
    lacks_entries = peer.next <= replica.base_index
    if (
        lacks_entries
        and now_ms - peer.last_contact_ms < _SILENT_REVOKES * replica.settings.revoke_ms
    ):
        return snapshot_sending.messages_due(replica, peer, to)
    if peer.transfer is not None:
        snapshot_sending.finish(replica, peer)
    first = max(peer.next, replica.base_index + 1)
    batch = ()
    if _window_open(peer) and not lacks_entries:
        start = first - replica.base_index - 1
        batch, size = entry_batch.take_up_to_bytes(
            replica.log[start : start + _PER_SEND], _BYTES_PER_SEND
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
                to,
                first - 1,
                term_at(replica, first - 1),
                replica.commit,
                replica.round,
                batch,
            ),
        )
    ]


def _window_open(peer):
    """Whether more entries may go to a peer before it answers for those under way."""
    return sum(size for _, size in peer.in_flight) < _IN_FLIGHT_BYTES


def on_written(replica, now_ms, index, term):
    """A write of ours is synced: a leader counts it, a follower tells its leader."""
    if replica.role != "leader":
        return log_following.on_written(replica, index, term)
    log_commit.mark_written(replica, index, term)
    return count(replica)


def on_ack(replica, now_ms, ack):
    if replica.role != "leader" or ack.term > replica.term:
        return []
    peer = replica.progress.get(ack.identity)
    if peer is None or ack.term < replica.term:
        return []
    peer.last_contact_ms, peer.address = now_ms, ack.address
    peer.round = max(peer.round, ack.round)
    if not ack.agreed:
        return _on_mismatch(replica, peer, ack.index, now_ms)
    peer.match = max(peer.match, ack.index)
    peer.next = max(peer.next, peer.match + 1)
    peer.in_flight = [f for f in peer.in_flight if f[0] > peer.match]
    if peer.learner:
        catch_up.on_acknowledged(peer.catch_up, peer.match, last_index(replica), now_ms)
    effects = count(replica)
    if peer.next <= last_index(replica):
        effects += replicate_to(replica, peer, now_ms)
    return effects


def _on_mismatch(replica, peer, index, now_ms):
    """The peer's log doesn't have what ours has after `index`: go back to there.

    All that was under way gets the same answer; only the first of them counts, or each
    would have the same entries sent again."""
    again = index == peer.rewound_to and now_ms - peer.rewound_ms < replica.settings.election_ms
    if again and peer.next > index + 1:
        return []
    peer.rewound_to, peer.rewound_ms = index, now_ms
    peer.next = min(peer.next, index + 1)
    peer.in_flight = [f for f in peer.in_flight if f[0] <= index]
    return replicate_to(replica, peer, now_ms)


def count(replica):
    """Move the commit to what a majority has synced in our own term."""
    voters = counted_voters(replica)
    places = sorted(
        [o.match for i, o in replica.progress.items() if i in voters]
        + ([replica.synced] if replica.identity in voters else []),
        reverse=True,
    )
    if len(places) < majority(replica):
        return []
    place = places[majority(replica) - 1]
    if place > replica.commit and term_at(replica, place) == replica.term:
        return log_commit.advance_commit(replica, place)
    return []
