"""A follower's side of log replication: entries, snapshots and its acknowledgements.

An acknowledgement names the last entry that is synced here and known to match the
leader's log, so it is cumulative.
"""

from transport.effects import Install, LogLine, Send
from transport.messages import AppendReply

from replication import log_commit, state_machine
from replication.group import (
    last_index,
    learn_members,
    read_snapshot_file,
    save_promise,
    term_at,
)

__all__ = [
    "accept_leader",
    "acknowledged",
    "matched_reply",
    "on_entries",
    "on_snapshot",
    "on_written",
]


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
        effects.append(LogLine("joins", {"group": replica.group}))
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
            log_commit.cut(replica, entry.index)
        replica.log.append(entry)
        replica.bytes_since_snapshot += len(entry.body)
        learn_members(replica, entry)
        fresh.append(entry)
    if fresh:
        effects += log_commit.write(replica, now_ms, tuple(fresh))
    top = message.prev_index + len(message.entries)
    replica.verified = max(replica.verified, top)
    effects += log_commit.advance(replica, min(message.commit, replica.verified))
    return effects + [Send(sender, _ack(replica, True, acknowledged(replica), message.round))]


def on_written(replica, index, term):
    """A write of ours is synced: tell the leader, if there is one."""
    log_commit.count_written(replica, index, term)
    if not replica.leader_address:
        return []
    return [Send(replica.leader_address, _ack(replica, True, acknowledged(replica), 0))]


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
