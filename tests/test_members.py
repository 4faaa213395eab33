"""Who may vote, what a replica has acknowledged, and how members are replaced:
the cores driven directly, message by message."""

import random

from replication import election, log_replication, state_machine
from replication import group as groups
from transport.codec import to_bytes
from transport.effects import Send, Write
from transport.messages import (
    AppendEntries,
    AppendReply,
    Batch,
    Entry,
    Member,
    SnapshotPart,
    VoteReply,
    VoteRequest,
)

TIMES = groups.Times(elect_ms=480.0, heartbeat_ms=120.0, ping_ms=240.0, revoke_ms=1800.0)
HANDLERS = {
    VoteRequest: lambda r, now, sender, m: election.on_vote_request(r, now, sender, m),
    VoteReply: lambda r, now, sender, m: election.on_vote_reply(r, now, m),
    AppendEntries: lambda r, now, sender, m: log_replication.on_entries(r, now, sender, m),
    AppendReply: lambda r, now, sender, m: log_replication.on_ack(r, now, m),
    SnapshotPart: lambda r, now, sender, m: log_replication.on_view(r, now, sender, m),
}


def member(name):
    return Member(name, name, name)


def members_entry(index, term, names):
    section = state_machine.members_section({n: member(n) for n in names})
    return Entry(index, term, to_bytes(Batch((section,))))


def plain_entry(index, term):
    return Entry(index, term, to_bytes(Batch((state_machine.term_section(term),))))


def replica(name, entries=(), term=1, founders="abc", group="g"):
    """A replica whose log is synced, at an address that is its name."""
    made = groups.Replica(name, name, name, TIMES, random.Random(ord(name[0])))
    made.group, made.term = group, term
    made.founders = tuple(member(n) for n in founders)
    for entry in entries:
        made.log.append(entry)
        groups.learn_members(made, entry)
    made.synced = groups.last_index(made)
    return made


def deliver(replicas, now_ms, sender, effects):
    """Carry out effects at once: writes finish, messages to those that are up arrive."""
    queue = [(sender, effect) for effect in effects]
    while queue:
        origin, effect = queue.pop(0)
        if isinstance(effect, Write):
            last = effect.entries[-1]
            found = log_replication.on_written(replicas[origin], now_ms, last.index, last.term)
            queue += [(origin, e) for e in found]
        if isinstance(effect, Send) and effect.to in replicas:
            handler = HANDLERS[type(effect.message)]
            found = handler(replicas[effect.to], now_ms, origin, effect.message)
            queue += [(effect.to, e) for e in found]


def elect(replicas, span_ms=20 * TIMES.elect_ms):
    """Let time pass; the name of the leader, if one is found."""
    now_ms = 0.0
    while now_ms < span_ms:
        for name, one in replicas.items():
            deliver(replicas, now_ms, name, election.tick(one, now_ms))
            if one.role == "leader":
                return name
        now_ms += 20.0
    return None


def test_a_new_member_that_was_not_told_yet_votes_for_the_only_other_survivor():
    shared = [members_entry(1, 1, "ab"), plain_entry(2, 1)]
    survivors = {
        "b": replica("b", [*shared, members_entry(3, 1, "abd")], founders="abc"),
        "d": replica("d", shared, founders=""),
    }
    assert elect(survivors) == "b"


def test_a_replica_that_was_never_told_of_a_group_does_not_vote():
    asked = VoteRequest("g", 5, "b", 9, 4, False, False)
    empty = replica("d", group="", founders="", term=0)
    assert election.on_vote_request(empty, 0.0, "b", asked) == []
    assert election.on_vote_request(replica("d", group="other"), 0.0, "b", asked) == []


def test_votes_from_outside_the_candidates_membership_do_not_count():
    """An emptied machine comes back under a new identity, at its old address."""
    candidate = replica("b", [members_entry(1, 1, "abc")])
    emptied = replica("c", founders="")
    emptied.identity = "c-emptied"
    assert elect({"b": candidate, "c": emptied}) is None
    assert candidate.term == 1, "a pre-vote moves no term"


def test_a_voter_without_the_newest_entries_does_not_help_an_older_log():
    """The voter's log decides, not its idea of who the members are."""
    newest = replica("d", [members_entry(1, 1, "ab"), plain_entry(2, 2)], term=2, founders="")
    asked = VoteRequest("g", 3, "a", 5, 1, False, False)
    (answer,) = [
        e.message for e in election.on_vote_request(newest, 0.0, "a", asked) if isinstance(e, Send)
    ]
    assert not answer.granted
