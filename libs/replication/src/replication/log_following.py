"""A follower's side of log replication: entries, snapshots and acknowledgements.

An acknowledgement is cumulative: it names the last entry that is synced here and known to
match the leader's log.
"""

from transport.effects import Install, LogLine, Send
from transport.messages import AppendReply

from replication import log_commit, state_machine
from replication.group import (
    last_index,
    learn_members,
    read_snapshot_file,
    save_persistent_state,
    term_at,
)

__all__ = [
    "accept_leader",
    "acknowledged_index",
    "matched_reply",
    "on_entries",
    "on_snapshot",
    "on_written",
]


def accept_leader(replica, now_ms, sender, message):
    """Check that a message is for this replica and not from an older term.

    Returns (accepted, effects); an accepted message's sender is followed as leader."""
    if message.to != replica.identity or (replica.group and message.group != replica.group):
        return False, []
    if message.term < replica.term:
        return False, [Send(sender, _ack(replica, False, 0, 0))]
    return True, _follow_leader(replica, now_ms, message)


def matched_reply(replica, round_):
    """Return an acknowledgement up to where the synced log is known to match the leader's."""
    matched_index = min(replica.synced, max(replica.verified, replica.commit))
    return _ack(replica, True, max(replica.snapshot_index, matched_index), round_)


def _follow_leader(replica, now_ms, message):
    """Follow the sender as leader of its term; a new term is saved before the reply."""
    effects = []
    if not replica.group:
        replica.group = message.group
        effects.append(LogLine("joins", {"group": replica.group}))
    if message.term > replica.term or len(effects):
        replica.term = max(replica.term, message.term)
        replica.voted_for, replica.verified = "", 0
        effects.append(save_persistent_state(replica))
    if replica.role != "follower":
        replica.role = "follower"
    replica.leader, replica.leader_address, replica.last_contact_ms = (
        message.identity,
        message.address,
        now_ms,
    )
    replica.last_leader = message.identity
    replica.election_due_ms = now_ms + replica.settings.election_ms * (1 + replica.random.random())
    return effects


def acknowledged_index(replica):
    """Return the index up to which a follower acknowledges the log: on its disk, as entries or
    in its snapshot, and known to match the log of this term's leader."""
    return max(replica.snapshot_index, min(replica.synced, replica.verified))


def _ack(replica, success, index, round_):
    return AppendReply(
        replica.term, replica.identity, replica.name, replica.address, success, index, round_
    )


def on_entries(replica, now_ms, sender, message):
    """Append the leader's entries after the point where the logs match, or report a mismatch."""
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
    new_entries = []
    for entry in message.entries:
        if entry.index <= replica.commit or term_at(replica, entry.index) == entry.term:
            continue
        if entry.index <= last_index(replica):
            log_commit.truncate(replica, entry.index)
        replica.log.append(entry)
        replica.bytes_since_snapshot += len(entry.body)
        learn_members(replica, entry)
        new_entries.append(entry)
    if new_entries:
        effects += log_commit.write(replica, now_ms, tuple(new_entries))
    last_matching = message.prev_index + len(message.entries)
    replica.verified = max(replica.verified, last_matching)
    effects += log_commit.advance_commit(replica, min(message.commit, replica.verified))
    return effects + [Send(sender, _ack(replica, True, acknowledged_index(replica), message.round))]


def on_written(replica, index, term):
    """Record a synced write and acknowledge it to the leader, if one is known."""
    log_commit.mark_written(replica, index, term)
    if not replica.leader_address:
        return []
    return [Send(replica.leader_address, _ack(replica, True, acknowledged_index(replica), 0))]


def on_snapshot(replica, now_ms, sender, message):
    """Install a complete snapshot that is ahead of the committed state."""
    if (
        message.to != replica.identity
        or message.term < replica.term
        or (replica.group and message.group != replica.group)
    ):
        return []
    effects = _follow_leader(replica, now_ms, message)
    if message.index > replica.commit:
        effects.append(_install(replica, message.body))
    return effects + [Send(sender, _ack(replica, True, acknowledged_index(replica), 0))]


def _install(replica, snapshot_file):
    """Replace the state by a snapshot that is ahead of it.

    If the log holds the snapshot's last entry, the entries after it are kept (Raft paper,
    section 7), since they may have been acknowledged.  Otherwise no entry after it was
    verified in this term, and the whole log is discarded.
    """
    index, term, body = read_snapshot_file(snapshot_file)
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
    replica.snapshot_bytes = len(snapshot_file)
    return Install(index, snapshot_file, restart=not matches)
