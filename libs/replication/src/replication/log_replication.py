"""Copying the log between depots: entries, acknowledgements, snapshots, commits.

The leader sends what another depot lacks without waiting for earlier answers;
an ack names the last entry that is synced there and known to match, so it is
cumulative.  An entry of the leader's own term counts once a majority synced
it, and everything before it with it.
"""

from transport.effects import Install, Note, Send, Write
from transport.messages import AppendEntries, AppendReply, Entry

from replication import catch_up, entry_batch, snapshot_sending, state_machine
from replication.group import (
    PeerProgress,
    counted_voters,
    entry_at,
    last_index,
    learn_members,
    majority,
    members,
    read_snapshot_file,
    save_promise,
    snapshot_file,
    term_at,
)

__all__ = [
    "accept_leader",
    "matched_reply",
    "propose",
    "send_to",
    "new_round",
    "on_entries",
    "on_ack",
    "on_snapshot",
    "on_written",
    "acknowledged",
    "advance",
    "confirmed_round",
    "add_learner",
    "trim",
]

# Entries that go as one message.
_PER_SEND = 64
# Below what a connection holds, so that nothing is dropped for a peer on a slow link.
_IN_FLIGHT_BYTES = 4 << 20
# Entries kept behind a snapshot, for members and followers that are a little behind.
_KEPT_ENTRIES = 256
# For a peer that is silent so long no snapshot, and no entries after it, are kept.
_SILENT_REVOKES = 10
# While a snapshot is under way; a machine has some 300 MB in all.
_RETAINED_BYTES = 16 << 20
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
        effects += send_to(replica, peer, now_ms)
    return effects + _write(replica, now_ms, (entry,), inline)


def _write(replica, now_ms, entries, inline=False):
    replica.writes.append([entries[-1].index, entries[-1].term, False, now_ms])
    return [Write(entries, inline, replica.synced)]


def _match_others(replica, now_ms):
    """Keep one `Other` for each voter; learners stay until they are voters."""
    for identity, member in members(replica).items():
        if identity != replica.identity and identity not in replica.progress:
            replica.progress[identity] = PeerProgress(
                member.address, member.name, last_index(replica), heard_ms=now_ms
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
        heard_ms=now_ms,
        learner=True,
        catch_up=catch_up.begin(last_index(replica), now_ms),
    )
    return send_to(replica, replica.progress[identity], now_ms)


def new_round(replica, now_ms):
    """Ask everyone at once for a word: what reads and pings are confirmed by."""
    replica.round += 1
    replica.round_sent_ms[replica.round] = now_ms
    for old in [r for r in replica.round_sent_ms if r < replica.round - 200]:
        del replica.round_sent_ms[old]
    effects = []
    for peer in replica.progress.values():
        effects += send_to(replica, peer, now_ms)
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


def send_to(replica, peer, now_ms):
    peer.sent_ms = now_ms
    to = _identity_of(replica, peer)
    lacks_entries = peer.next <= replica.base_index
    if lacks_entries and now_ms - peer.heard_ms < _SILENT_REVOKES * replica.times.revoke_ms:
        return snapshot_sending.messages_due(replica, peer, to)
    if peer.transfer is not None:
        snapshot_sending.finish(replica, peer)
    first = max(peer.next, replica.base_index + 1)
    batch = ()
    if _window_open(peer) and not lacks_entries:
        start = first - replica.base_index - 1
        batch, size = entry_batch.up_to_bytes(
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


def accept_leader(replica, now_ms, sender, message):
    """(whether `message` is for us and from the leader of its term, effects)."""
    if message.to != replica.identity or (replica.group and message.group != replica.group):
        return False, []
    if message.term < replica.term:
        return False, [Send(sender, _ack(replica, False, 0, 0))]
    return True, _follow(replica, now_ms, message)


def matched_reply(replica, round_):
    """Up to where our synced log is known to match the leader's."""
    matched = min(replica.synced, max(replica.verified, replica.commit))
    return _ack(replica, True, max(replica.snapshot_index, matched), round_)


def _follow(replica, now_ms, message):
    """Accept the sender as leader of its term; saved before we answer."""
    effects = []
    if not replica.group:
        replica.group = message.group
        effects.append(Note("joins", {"group": replica.group}))
    if message.term > replica.term or len(effects):
        replica.term = max(replica.term, message.term)
        replica.voted_for, replica.verified = "", 0
        effects.append(save_promise(replica))
    if replica.role != "follower":
        replica.role = "follower"
    replica.leader, replica.leader_address, replica.heard_ms = (
        message.identity,
        message.address,
        now_ms,
    )
    replica.last_leader = message.identity
    replica.elect_at_ms = now_ms + replica.times.elect_ms * (1 + replica.random.random())
    return effects


def acknowledged(replica):
    """The last entry that a follower answers for: on its disk, in its own log or under
    its snapshot, and known to be what the leader of this term has."""
    return max(replica.snapshot_index, min(replica.synced, replica.verified))


def _ack(replica, agreed, index, round_):
    return AppendReply(
        replica.term, replica.identity, replica.name, replica.address, agreed, index, round_
    )


def on_entries(replica, now_ms, sender, message):
    accepted, effects = accept_leader(replica, now_ms, sender, message)
    if not accepted:
        return effects
    if message.prev_index > last_index(replica) or (
        message.prev_index >= replica.commit
        and term_at(replica, message.prev_index) != message.prev_term
    ):
        hint = min(last_index(replica), message.prev_index - 1)
        return effects + [
            Send(sender, _ack(replica, False, max(hint, replica.commit), message.round))
        ]
    fresh = []
    for entry in message.entries:
        if entry.index <= replica.commit or term_at(replica, entry.index) == entry.term:
            continue
        if entry.index <= last_index(replica):
            _cut(replica, entry.index)
        replica.log.append(entry)
        replica.bytes_since_snapshot += len(entry.body)
        learn_members(replica, entry)
        fresh.append(entry)
    if fresh:
        effects += _write(replica, now_ms, tuple(fresh))
    top = message.prev_index + len(message.entries)
    replica.verified = max(replica.verified, top)
    effects += advance(replica, min(message.commit, replica.verified))
    return effects + [Send(sender, _ack(replica, True, acknowledged(replica), message.round))]


def _cut(replica, index):
    del replica.log[index - replica.base_index - 1 :]
    replica.synced = min(replica.synced, index - 1)
    while replica.member_entries and replica.member_entries[-1][0] >= index:
        replica.member_entries.pop()


def on_written(replica, now_ms, index, term):
    """A write of ours is synced; count it once all before it are."""
    for write in replica.writes:
        if write[0] == index and write[1] == term:
            write[2] = True
    while replica.writes and replica.writes[0][2]:
        done, done_term, _, _ = replica.writes.pop(0)
        if term_at(replica, done) == done_term:
            replica.synced = max(replica.synced, done)
    if replica.role == "leader":
        return count(replica)
    if replica.leader_address:
        return [
            Send(
                replica.leader_address,
                _ack(replica, True, acknowledged(replica), 0),
            )
        ]
    return []


def on_ack(replica, now_ms, ack):
    if replica.role != "leader" or ack.term > replica.term:
        return []
    peer = replica.progress.get(ack.identity)
    if peer is None or ack.term < replica.term:
        return []
    peer.heard_ms, peer.address = now_ms, ack.address
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
        effects += send_to(replica, peer, now_ms)
    return effects


def _on_mismatch(replica, peer, index, now_ms):
    """The peer's log doesn't have what ours has after `index`: go back to there.

    All that was under way gets the same answer; only the first of them counts, or each
    would have the same entries sent again."""
    again = index == peer.rewound_to and now_ms - peer.rewound_ms < replica.times.elect_ms
    if again and peer.next > index + 1:
        return []
    peer.rewound_to, peer.rewound_ms = index, now_ms
    peer.next = min(peer.next, index + 1)
    peer.in_flight = [f for f in peer.in_flight if f[0] <= index]
    return send_to(replica, peer, now_ms)


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
        return advance(replica, place)
    return []


def advance(replica, commit):
    """Apply entries up to `commit` to the state machine."""
    while replica.commit < commit:
        entry = entry_at(replica, replica.commit + 1)
        state_machine.apply_body(replica.state, entry.body, entry.index)
        replica.commit += 1
    while replica.member_entries and replica.member_entries[0][0] <= replica.commit:
        replica.member_entries.pop(0)
    return []


def on_snapshot(replica, now_ms, sender, message):
    if (
        message.to != replica.identity
        or message.term < replica.term
        or (replica.group and message.group != replica.group)
    ):
        return []
    effects = _follow(replica, now_ms, message)
    if message.index > replica.commit:
        effects.append(_install(replica, message.body))
    return effects + [Send(sender, _ack(replica, True, acknowledged(replica), 0))]


def _install(replica, snapshot):
    """Replace the state by a snapshot that is ahead of it.

    If the log holds the snapshot's last entry, what follows that entry is kept (Raft,
    section 7): it may have been acknowledged.  Else nothing past it was verified in
    this term, and the whole log goes.
    """
    index, term, body = read_snapshot_file(snapshot)
    matches = term_at(replica, index) == term
    if matches:
        replica.member_entries = [entry for entry in replica.member_entries if entry[0] > index]
    else:
        replica.log, replica.writes, replica.member_entries = [], [], []
        replica.base_index, replica.base_term, replica.synced = index, term, index
    replica.state = state_machine.restore(body)
    replica.commit = replica.snapshot_index = index
    replica.verified = max(replica.verified, index)
    replica.bytes_since_snapshot = sum(
        len(entry.body) for entry in replica.log[index - replica.base_index :]
    )
    replica.snapshot_bytes = len(snapshot)
    return Install(index, snapshot, restart=not matches)


def trim(replica):
    """Take a snapshot once enough was logged since the last, and drop what it covers."""
    least = min(max(replica.times.keep_bytes, replica.snapshot_bytes), _RETAINED_BYTES)
    if replica.bytes_since_snapshot < least or replica.commit <= replica.snapshot_index:
        return []
    body = snapshot_file(replica)
    replica.snapshot_index, replica.bytes_since_snapshot = replica.commit, 0
    replica.snapshot_bytes = len(body)
    keep = _first_kept(replica)
    term = term_at(replica, keep)
    del replica.log[: keep - replica.base_index]
    replica.base_index, replica.base_term = keep, term
    return [Install(replica.snapshot_index, body)]


def _first_kept(replica):
    """The index after which entries are kept for peers that are a little behind; and
    for one that takes in a snapshot, those after it."""
    needed = snapshot_sending.retained_index(replica)
    size, keep = 0, replica.commit
    while keep > replica.base_index:
        size += len(entry_at(replica, keep).body)
        near = replica.commit - keep < _KEPT_ENTRIES and size <= replica.times.keep_bytes
        wanted = needed is not None and keep > needed and size <= _RETAINED_BYTES
        if not near and not wanted:
            break
        keep -= 1
    return keep
