"""Broken variants of the core's functions, each in one way only."""

import dataclasses

from replication import (
    batch_writer,
    election,
    log_commit,
    log_compaction,
    log_following,
    log_replication,
    state_machine,
)
from replication import disk as disks
from replication import group as groups
from transport.codec import to_bytes
from transport.effects import Install, Save
from transport.messages import Batch, Member

__all__ = [
    "unsaved",
    "forgets_vote",
    "any_log",
    "votes_forgotten",
    "any_previous",
    "commits_unverified",
    "acks_unsynced",
    "older_terms",
    "alone",
    "older_views",
    "drops_suffix",
    "keeps_all",
    "swaps",
    "founds",
    "settles_early",
    "drops_last",
    "removes_too_much",
    "no_election",
    "strict_others",
]


def unsaved(handler):
    """Its promises are told, but never written."""

    def broken(*args):
        return [e for e in handler(*args) if not isinstance(e, Save)]

    return broken


def forgets_vote(replica, now_ms, sender, ask):
    replica.voted_for = ""
    return _REAL["on_vote_request"](replica, now_ms, sender, ask)


def any_log(replica, now_ms, sender, ask):
    better = dataclasses.replace(ask, last_term=10**9)
    return _REAL["on_vote_request"](replica, now_ms, sender, better)


def votes_forgotten(replica, files, entries):
    _REAL["open_replica"](replica, files, entries)
    replica.voted_for = ""


def any_previous(replica, now_ms, sender, message):
    """Entries are taken though what lies before them differs."""
    if message.prev_index <= groups.last_index(replica) and message.prev_index > replica.commit:
        term = groups.term_at(replica, message.prev_index)
        message = dataclasses.replace(message, prev_term=term)
    return _REAL["on_entries"](replica, now_ms, sender, message)


def commits_unverified(replica, now_ms, sender, message):
    """Whatever is here is committed as far as the leader is, also after a refusal."""
    effects = _REAL["on_entries"](replica, now_ms, sender, message)
    log_commit.advance_commit(replica, min(message.commit, groups.last_index(replica)))
    return effects


def acks_unsynced(replica, agreed, index, round_):
    return _REAL["_ack"](replica, agreed, groups.last_index(replica) if agreed else index, round_)


def older_terms(replica):
    """Whatever a majority has is committed, of whichever term."""
    voters = groups.members(replica)
    places = [o.match for i, o in replica.progress.items() if i in voters] + [replica.synced]
    place = sorted(places, reverse=True)[groups.majority(replica) - 1]
    return log_commit.advance_commit(replica, place) if place > replica.commit else []


def alone(replica):
    return (
        log_commit.advance_commit(replica, replica.synced)
        if replica.synced > replica.commit
        else []
    )


def older_views(replica, now_ms, sender, message):
    """A snapshot is taken though more is committed here."""
    chunk = getattr(message, "chunk", None)
    index = chunk.snapshot.index if chunk else message.index
    if index < replica.commit:
        replica.commit = min(replica.commit, index - 1)
    return _REAL["snapshot_handler"](replica, now_ms, sender, message)


def drops_suffix(replica, now_ms, sender, message):
    """A snapshot drops what was synced past it."""
    if replica.commit < message.index < groups.last_index(replica):
        log_commit.truncate(replica, message.index + 1)
    return _REAL["on_snapshot"](replica, now_ms, sender, message)


def keeps_all(replica, now_ms, sender, message):
    """A snapshot keeps what lies past it, though it doesn't follow."""
    past = [e for e in replica.log if e.index > message.index]
    effects = _REAL["on_snapshot"](replica, now_ms, sender, message)
    if groups.last_index(replica) == message.index:
        replica.log = past
    return effects


def swaps(replica, now_ms, body, inline=False):
    """The lost member goes and its successor comes in one change."""
    learners = [(i, peer) for i, peer in replica.progress.items() if peer.learner]
    wanted = state_machine.StateMachine()
    state_machine.apply_body(wanted, body, 1)
    if wanted.members and len(wanted.members) < len(groups.members(replica)) and learners:
        identity, peer = learners[0]
        wanted.members[identity] = Member(peer.name, identity, peer.address)
        body = to_bytes(Batch((state_machine.members_section(wanted.members),)))
    return _REAL["propose"](replica, now_ms, body, inline)


def founds(handler):
    """An empty machine founds a group whenever it meets enough others."""

    def broken(replica, *more):
        kept, replica.settings = (
            replica.settings,
            dataclasses.replace(replica.settings, founds=True),
        )
        try:
            return handler(replica, *more)
        finally:
            replica.settings = kept

    return broken


def settles_early(replica, d, now_ms):
    commit, replica.commit = replica.commit, groups.last_index(replica)
    try:
        return _REAL["report_durable"](replica, d, now_ms)
    finally:
        replica.commit = commit


def drops_last(*args):
    return _REAL["load_entries"](*args)[:-1]


def removes_too_much(replica):
    """The log is cut behind a snapshot that is older."""
    effects = _REAL["trim"](replica)
    return [
        dataclasses.replace(e, body=_older(e.body)) if isinstance(e, Install) else e
        for e in effects
    ]


def _older(body):
    index = int.from_bytes(body[:8], "big")
    return max(0, index - 4).to_bytes(8, "big") + body[8:]


def no_election(replica, now_ms):
    return _REAL["tick"](replica, now_ms) if replica.role == "leader" or not replica.term else []


def strict_others(replica, now_ms, ack):
    if replica.role == "leader" and ack.agreed:
        assert ack.identity in replica.progress
    return _REAL["on_ack"](replica, now_ms, ack)


try:
    from replication import snapshot_receiving as _receiving

    SNAPSHOT_HANDLER = (_receiving, "on_chunk")
except ImportError:  # Snapshots go as one message.
    SNAPSHOT_HANDLER = (log_following, "on_snapshot")

_REAL = {
    "snapshot_handler": getattr(*SNAPSHOT_HANDLER),
    "on_vote_request": election.on_vote_request,
    "open_replica": groups.open_replica,
    "on_entries": log_following.on_entries,
    "_ack": log_following._ack,
    "on_snapshot": log_following.on_snapshot,
    "propose": log_replication.propose,
    "report_durable": batch_writer.report_durable,
    "load_entries": disks.load_entries,
    "trim": log_compaction.trim,
    "tick": election.tick,
    "on_ack": log_replication.on_ack,
}
