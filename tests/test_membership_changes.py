"""Votes, acknowledgements and membership changes, by messages given to the cores directly."""

import dataclasses
import random

from replication import (
    catch_up,
    election,
    leaving,
    log_following,
    log_replication,
    reconfiguration,
    snapshot_receiving,
    snapshot_sending,
    state_machine,
)
from replication import disk as disks
from replication import group as groups
from transport.codec import to_bytes
from transport.effects import Install, LogLine, Send, Write
from transport.messages import (
    AppendEntries,
    AppendReply,
    Batch,
    Entry,
    LeaveReply,
    LeaveRequest,
    Member,
    NodeInfo,
    ReplicaChunk,
    ReplicaChunkReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from transport.replication_messages import SnapshotPart

TIMES = groups.GroupSettings(election_ms=480.0, heartbeat_ms=120.0, ping_ms=240.0, revoke_ms=1800.0)
HANDLERS = {
    VoteRequest: lambda r, now, sender, m: election.on_vote_request(r, now, sender, m),
    VoteReply: lambda r, now, sender, m: election.on_vote_reply(r, now, m),
    AppendEntries: lambda r, now, sender, m: log_following.on_entries(r, now, sender, m),
    AppendReply: lambda r, now, sender, m: log_replication.on_ack(r, now, m),
    SnapshotPart: lambda r, now, sender, m: log_following.on_snapshot(r, now, sender, m),
    ReplicaChunk: lambda r, now, sender, m: snapshot_receiving.on_chunk(r, now, sender, m),
    ReplicaChunkReply: lambda r, now, _, m: snapshot_sending.on_chunk_reply(r, now, m),
}


def member(name):
    return Member(name, name, name)


def members_entry(index, term, names):
    section = state_machine.members_section({n: member(n) for n in names})
    return Entry(index, term, to_bytes(Batch((section,))))


def plain_entry(index, term):
    return Entry(index, term, to_bytes(Batch((state_machine.term_section(term),))))


def replica(name, entries=(), term=1, founders="abc", group="g"):
    """Return a replica whose log is synced; its address is its name."""
    made = groups.Replica(name, name, name, TIMES, random.Random(ord(name[0])))
    made.group, made.term = group, term
    made.founders = tuple(member(n) for n in founders)
    for entry in entries:
        made.log.append(entry)
        groups.learn_members(made, entry)
    made.synced = groups.last_index(made)
    return made


def deliver(replicas, now_ms, sender, effects):
    """Carry out effects at once: writes finish, and messages to running replicas arrive."""
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


def elect(replicas, span_ms=20 * TIMES.election_ms):
    """Let time pass; returns the name of the leader, or None if none is elected."""
    now_ms = 0.0
    while now_ms < span_ms:
        for name, one in replicas.items():
            deliver(replicas, now_ms, name, election.tick(one, now_ms))
            if one.role == "leader":
                return name
        now_ms += 20.0
    return None


def test_a_new_member_without_the_entry_that_added_it_votes():
    shared = [members_entry(1, 1, "ab"), plain_entry(2, 1)]
    survivors = {
        "b": replica("b", [*shared, members_entry(3, 1, "abd")], founders="abc"),
        "d": replica("d", shared, founders=""),
    }
    assert elect(survivors) == "b"


def test_a_replica_without_a_group_does_not_vote():
    asked = VoteRequest("g", 5, "b", 9, 4, False, False)
    empty = replica("d", group="", founders="", term=0)
    assert election.on_vote_request(empty, 0.0, "b", asked) == []
    assert election.on_vote_request(replica("d", group="other"), 0.0, "b", asked) == []


def test_votes_from_outside_the_candidates_membership_do_not_count():
    """A machine that lost its disk returns under a new identity, at its old address."""
    candidate = replica("b", [members_entry(1, 1, "abc")])
    emptied = replica("c", founders="")
    emptied.identity = "c-emptied"
    assert elect({"b": candidate, "c": emptied}) is None
    assert candidate.term == 1, "a pre-vote moves no term"


def test_a_voter_without_the_newest_entries_does_not_help_an_older_log():
    """The voter's log decides, not the membership that it knows."""
    newest = replica("d", [members_entry(1, 1, "ab"), plain_entry(2, 2)], term=2, founders="")
    asked = VoteRequest("g", 3, "a", 5, 1, False, False)
    (answer,) = [
        e.message for e in election.on_vote_request(newest, 0.0, "a", asked) if isinstance(e, Send)
    ]
    assert not answer.granted


def leader_of(names, entries, term=3):
    """Return a leader of `term` after a leadership transfer.

    Its own log is synced; from its peers it has received nothing but votes."""
    made = replica(names[0], entries, term=term - 1, founders=names)
    named = election.on_transfer_leadership(made, 0.0, TransferLeadership(term - 1))
    assert [e for e in named if isinstance(e, Send)]
    for name in names[1:]:
        election.on_vote_reply(made, 0.0, VoteReply(term, name, True, False))
    log_replication.on_written(made, 0.0, made.term_index, term)
    return made


def append(follower, leader, entries, prev, commit=0, term=3):
    """Send a follower entries from a leader of `term`; returns the follower's effects."""
    message = AppendEntries(
        "g",
        term,
        leader,
        leader,
        follower.identity,
        prev.index,
        prev.term,
        commit,
        0,
        tuple(entries),
    )
    return log_following.on_entries(follower, 0.0, leader, message)


def snapshot_of(index, term, entries, to, sender_term=3):
    state = state_machine.StateMachine()
    for entry in entries:
        state_machine.apply_body(state, entry.body, entry.index)
    source = replica("a", entries, term=sender_term)
    source.state, source.commit = state, index
    return SnapshotPart("g", sender_term, "a", "a", to, index, term, groups.snapshot_file(source))


def acknowledged(effects):
    return [e.message.index for e in effects if isinstance(e, Send) and e.message.agreed]


LOG = [members_entry(1, 1, "abc")] + [plain_entry(i, 3) for i in range(2, 8)]


def test_a_late_snapshot_keeps_the_entries_after_it():
    """The log holds the snapshot's last entry: the entries after it were acknowledged."""
    follower = replica("b")
    append(follower, "a", LOG, Entry(0, 0, b""))
    assert acknowledged(log_replication.on_written(follower, 0.0, 7, 3)) == [7]
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert groups.last_index(follower) == 7
    assert [groups.term_at(follower, i) for i in (5, 6, 7)] == [3, 3, 3]
    assert (follower.commit, follower.synced) == (5, 7)
    assert acknowledged(effects) == [7], "an acknowledged position never goes back"
    (install,) = [e for e in effects if isinstance(e, Install)]
    assert not install.restart, "the log's segments hold what follows the snapshot"


def test_a_late_snapshot_keeps_the_membership_after_it():
    follower = replica("b")
    entries = [*LOG[:5], members_entry(6, 3, "abd"), LOG[6]]
    append(follower, "a", entries, Entry(0, 0, b""))
    log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert set(groups.members(follower)) == set("abd")


def test_entries_after_a_snapshot_count_only_once_their_own_write_is_done():
    """The snapshot is synced; the writes in flight when it arrived are not."""
    follower = replica("b")
    append(follower, "a", LOG[:4], Entry(0, 0, b""))
    append(follower, "a", LOG[4:], LOG[3])
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert acknowledged(effects) == [5]
    assert acknowledged(log_replication.on_written(follower, 0.0, 7, 3)) == [5]
    assert acknowledged(log_replication.on_written(follower, 0.0, 4, 3)) == [7]


def test_a_snapshot_that_conflicts_with_the_log_replaces_it():
    stale = [members_entry(1, 1, "abc")] + [plain_entry(i, 2) for i in range(2, 8)]
    follower = replica("b", stale, term=2)
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert (groups.last_index(follower), groups.last_term(follower)) == (5, 3)
    assert acknowledged(effects) == [5]
    assert [e.restart for e in effects if isinstance(e, Install)] == [True]
    log_replication.on_written(follower, 0.0, 7, 2)
    assert follower.synced == 5, "a write of the replaced log says nothing"


def test_committed_entries_that_are_not_synced_are_not_acknowledged():
    """Also in the reply to a snapshot that is behind the commit."""
    follower = replica("b")
    append(follower, "a", LOG, Entry(0, 0, b""), commit=7)
    assert (follower.commit, follower.synced) == (7, 0)
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert acknowledged(effects) == [0]


def test_acknowledgements_of_another_identity_or_term_do_not_count():
    leader = leader_of("abc", [members_entry(1, 1, "abc")])
    for ack in (
        AppendReply(2, "b", "b", "b", True, 2, 0),
        AppendReply(3, "b-emptied", "b", "b", True, 2, 0),
    ):
        log_replication.on_ack(leader, 0.0, ack)
    assert (leader.progress["b"].match, leader.commit) == (0, 0)
    log_replication.on_ack(leader, 0.0, AppendReply(3, "b", "b", "b", True, 2, 0))
    assert leader.commit == 2


def test_a_replica_acknowledges_only_what_its_leader_has_verified():
    """Synced entries of an earlier term may be missing in the new leader's log."""
    follower = replica("b", [*LOG[:4], plain_entry(5, 3), plain_entry(6, 3)], term=3)
    effects = append(follower, "a", [], LOG[3], term=4)
    assert acknowledged(effects) == [4]


def test_a_snapshot_over_an_unfinished_write_leaves_a_disk_that_opens(tmp_path):
    """Of two writes in flight, the second is done, and the first, which the snapshot covers, is
    lost with the power: nothing after it was acknowledged, and the disk is trusted."""
    disk = disks.Disk(tmp_path, 1 << 20)
    disk.write(Write(tuple(LOG[:2]), known=0))
    disk.reserve(Write(tuple(LOG[2:5]), known=2))
    disk.write_reserved(disk.reserve(Write(tuple(LOG[5:7]), known=2)))
    snapshot = snapshot_of(5, 3, LOG[:5], "b").body
    disk.write(Install(5, snapshot, restart=False))
    disk._lock.close()
    reopened_disk = disks.Disk(tmp_path, 1 << 20)
    reopened = replica("b", founders="")
    groups.open_replica(reopened, reopened_disk.loaded.files, reopened_disk.loaded.entries)
    assert (reopened.commit, groups.last_index(reopened), reopened.synced) == (5, 5, 5)
    reopened_disk._lock.close()


def make_learner(leader, name, now_ms=0.0):
    """Make a depot a learner of this leader; returns its progress."""
    log_replication.add_learner(leader, now_ms, name, name, name)
    return leader.progress[name]


def depot_card(name, zone="north"):
    return NodeInfo(name, "depot", zone, name, name, f"{name}.1", name)


def acknowledge(leader, name, index, now_ms):
    """Deliver a peer's acknowledgement of the log up to `index`."""
    ack = AppendReply(leader.term, name, name, name, True, index, 0)
    return log_replication.on_ack(leader, now_ms, ack)


def committed_leader(names="abc"):
    """Return a leader whose log is on all members' disks at time 0."""
    made = leader_of(names, [members_entry(1, 1, names)])
    for name in names[1:]:
        acknowledge(made, name, 2, 0.0)
    assert made.commit == 2
    return made


def append_synced(leader, now_ms, count=1):
    """Let the leader append entries and sync them."""
    for _ in range(count):
        body = to_bytes(Batch((state_machine.term_section(leader.term),)))
        log_replication.propose(leader, now_ms, body)
        log_replication.on_written(leader, now_ms, groups.last_index(leader), leader.term)


def changes(effects):
    return [e.event for e in effects if isinstance(e, LogLine) and e.event.startswith("member-")]


def test_a_learner_becomes_a_member_under_steady_writes():
    """It is always a few entries behind the commit, but completes each round in time."""
    leader = committed_leader()
    make_learner(leader, "d")
    cards = {n: depot_card(n) for n in "abcd"}
    now_ms, changes_made = 0.0, []
    while now_ms < 4000.0 and not changes_made:
        now_ms += 40.0
        append_synced(leader, now_ms, count=2)
        acknowledge(leader, "b", groups.last_index(leader), now_ms)
        acknowledge(leader, "d", max(0, leader.commit - 3), now_ms)
        changes_made = [w for w in changes(reconfiguration.tick(leader, now_ms, cards)) if w]
    assert changes_made == ["member-removes"], "the silent member c gives way"
    assert now_ms < 4.5 * TIMES.election_ms


def test_a_learner_that_takes_longer_than_an_election_for_a_round_waits():
    leader = committed_leader()
    peer = make_learner(leader, "d")
    for now_ms, index in ((100.0, 1), (900.0, 2)):
        acknowledge(leader, "d", index, now_ms)
    assert not catch_up.caught_up(peer.catch_up, 900.0, TIMES.election_ms)
    acknowledge(leader, "d", 2, 1000.0)
    assert catch_up.caught_up(peer.catch_up, 1000.0, TIMES.election_ms)
    assert not catch_up.caught_up(peer.catch_up, 1500.0, TIMES.election_ms), "nor one that stopped"


def ask_to_leave(leader, name, now_ms):
    """Return the leader's replies to a member that asks to leave."""
    effects = leaving.on_request(leader, now_ms, name, LeaveRequest("g", name))
    return [e.message for e in effects if isinstance(e, Send)]


def test_a_leaving_member_stays_while_it_may_hold_the_only_other_copy():
    """Entry 3 is committed by the leader and the leaver: the third member must have it
    before the leaver may end."""
    leader = committed_leader()
    append_synced(leader, 10.0)
    acknowledge(leader, "c", 3, 20.0)
    assert leader.commit == 3
    acknowledge(leader, "b", 2, 30.0)
    assert ask_to_leave(leader, "c", 40.0) == []
    acknowledge(leader, "b", 3, 50.0)
    assert ask_to_leave(leader, "c", 60.0) == [LeaveReply("g", "c", False)]


def test_a_leaving_members_acknowledgements_no_longer_advance_the_commit():
    """Entries committed from then on are on a majority without it."""
    leader = committed_leader()
    acknowledge(leader, "b", 2, 10.0)
    ask_to_leave(leader, "c", 20.0)
    append_synced(leader, 30.0)
    acknowledge(leader, "c", 3, 40.0)
    assert leader.commit == 2
    acknowledge(leader, "b", 3, 50.0)
    assert leader.commit == 3


def test_a_leaving_member_counts_while_the_others_are_no_majority():
    leader = committed_leader()
    now_ms = 3 * TIMES.election_ms
    acknowledge(leader, "c", 2, now_ms)
    assert ask_to_leave(leader, "c", now_ms) == [], "b is silent: c is needed"
    append_synced(leader, now_ms)
    acknowledge(leader, "c", 3, now_ms)
    assert leader.commit == 3


def test_of_two_leaving_members_only_one_stops_at_a_time():
    leader = committed_leader()
    assert ask_to_leave(leader, "c", 10.0) == []
    acknowledge(leader, "b", 2, 15.0)
    assert ask_to_leave(leader, "c", 20.0) == [LeaveReply("g", "c", False)]
    assert ask_to_leave(leader, "b", 20.0) == []
    back_ms = 20.0 + 2 * TIMES.election_ms
    acknowledge(leader, "c", 2, back_ms)
    acknowledge(leader, "b", 2, back_ms)
    leaving.update_departures(leader, back_ms)
    assert ask_to_leave(leader, "b", back_ms) == []
    acknowledge(leader, "c", 2, back_ms + 10.0)
    assert ask_to_leave(leader, "b", back_ms + 20.0) == [LeaveReply("g", "b", False)]


def test_two_leaving_members_that_need_each_other_still_count():
    """d is lost, and two of a, b and c leave.  At least one of these must still count, or no
    entry could be committed and neither would ever be replaced."""
    leader = committed_leader("abcd")
    now_ms = 5 * TIMES.election_ms
    for name in "bc":
        acknowledge(leader, name, 2, now_ms)
    make_learner(leader, "e", now_ms)
    acknowledge(leader, "e", 2, now_ms)
    leader.progress["e"].learner = False
    wanted = [*groups.members(leader).values(), member("e")]
    section = state_machine.members_section({m.identity: m for m in wanted})
    log_replication.propose(leader, now_ms, to_bytes(Batch((section,))))
    log_replication.on_written(leader, now_ms, 3, leader.term)
    for name in "bc":
        ask_to_leave(leader, name, now_ms + 10.0)
    for name in "bce":
        acknowledge(leader, name, 3, now_ms + 20.0)
    assert leader.commit == 3


def test_a_learner_that_leaves_is_not_made_a_member():
    """It was told that it may stop; as a member it would have to be replaced at once."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    now_ms = 5 * TIMES.election_ms
    for name in "bd":
        acknowledge(leader, name, 2, now_ms - 100.0)
        acknowledge(leader, name, 2, now_ms)
    assert ask_to_leave(leader, "d", now_ms) == [LeaveReply("g", "d", True)]
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []
    back_ms = now_ms + 2 * TIMES.election_ms
    for name in "bd":
        acknowledge(leader, name, 2, back_ms - 100.0)
        acknowledge(leader, name, 2, back_ms)
    assert changes(reconfiguration.tick(leader, back_ms, cards)) == ["member-removes"]


def test_a_leaving_leader_does_not_transfer_leadership_to_a_leaving_member():
    """Nor right after its election, when members haven't said yet that they leave: learners
    that could replace them would never be brought up to date."""
    leader = committed_leader()
    leave = leaving.begin(leader, 10.0)
    assert leaving.tick(leader, leave, 20.0) == []
    now_ms = TIMES.election_ms + 10.0
    for name in "bc":
        acknowledge(leader, name, 2, now_ms)
        ask_to_leave(leader, name, now_ms)
    assert leaving.tick(leader, leave, now_ms) == []
    late_ms = 10.0 + 0.6 * leader.settings.leave_ms
    for name in "bc":
        acknowledge(leader, name, 2, late_ms)
        ask_to_leave(leader, name, late_ms)
    transfers = [e.message for e in leaving.tick(leader, leave, late_ms) if isinstance(e, Send)]
    assert transfers == [TransferLeadership(leader.term)]


def test_a_leaving_member_that_runs_is_removed_after_its_successor_was_added():
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    acknowledge(leader, "d", 2, 10.0)
    acknowledge(leader, "b", 2, 10.0)
    acknowledge(leader, "c", 2, 10.0)
    assert ask_to_leave(leader, "c", 20.0) == [], "a successor is in sight"
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    assert set(groups.members(leader)) == set("abcd")
    log_replication.on_written(leader, 20.0, 3, leader.term)
    acknowledge(leader, "b", 3, 30.0)
    assert leader.commit == 2, "three of four, and the leaver does not count"
    acknowledge(leader, "d", 3, 30.0)
    assert leader.commit == 3
    assert changes(reconfiguration.tick(leader, 40.0, cards)) == ["member-removes"]
    assert ask_to_leave(leader, "c", 50.0) == [], "its removal is not committed yet"
    log_replication.on_written(leader, 50.0, 4, leader.term)
    acknowledge(leader, "d", 4, 60.0)
    assert ask_to_leave(leader, "c", 70.0) == [LeaveReply("g", "c", True)]


def test_a_silent_member_is_removed_before_the_newcomer_is_added():
    """If it still counted, the loss of the new member would leave no majority."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    now_ms = 4 * TIMES.election_ms
    for at_ms in (now_ms - 100.0, now_ms):
        acknowledge(leader, "b", 2, at_ms)
        acknowledge(leader, "d", 2, at_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    assert set(groups.members(leader)) == set("ab")


def test_no_change_is_proposed_that_the_responsive_members_cannot_commit():
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    now_ms = 4 * TIMES.election_ms
    acknowledge(leader, "d", 2, now_ms - 100.0)
    acknowledge(leader, "d", 2, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []


def test_a_leader_never_removes_itself():
    """It adds its successor, transfers leadership, and is removed by the next leader."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    for name in "bcd":
        acknowledge(leader, name, 2, 10.0)
    leave = leaving.begin(leader, 10.0)
    assert leaving.tick(leader, leave, 20.0) == []
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    log_replication.on_written(leader, 20.0, 3, leader.term)
    for name in "bcd":
        acknowledge(leader, name, 3, 30.0)
    assert changes(reconfiguration.tick(leader, 40.0, cards)) == []
    assert leaving.tick(leader, leave, 40.0) == [], "nobody had the time to tell that it leaves"
    later_ms = 40.0 + TIMES.election_ms
    for name in "bcd":
        acknowledge(leader, name, 3, later_ms)
    assert changes(reconfiguration.tick(leader, later_ms, cards)) == []
    transfers = [e.message for e in leaving.tick(leader, leave, later_ms) if isinstance(e, Send)]
    assert transfers == [TransferLeadership(leader.term)]
    assert (leader.role, leave.done) == ("follower", False)


def test_a_successor_comes_from_the_zone_with_the_fewest_voters():
    leader = committed_leader()
    zones = {"a": "north", "b": "south", "c": "east", "d": "north", "e": "east", "f": "south"}
    cards = {n: depot_card(n, zone) for n, zone in zones.items()}
    now_ms = 4 * TIMES.election_ms
    for name in "def":
        make_learner(leader, name, now_ms - 200.0)
    for at_ms in (now_ms - 100.0, now_ms):
        for name in "bdef":
            acknowledge(leader, name, 2, at_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    log_replication.on_written(leader, now_ms, 3, leader.term)
    acknowledge(leader, "b", 3, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-adds"]
    assert set(groups.members(leader)) == set("abe")


def test_a_new_leader_counts_the_old_ones_silence_from_its_last_message():
    """Not from its own election on; but it leaves the old one an election timeout to respond."""
    candidates = {n: replica(n, [members_entry(1, 1, "abc")]) for n in "bc"}
    for one in candidates.values():
        one.election_due_ms = 1e9
        append(one, "a", [], Entry(1, 1, b""), term=1)
    candidates["b"].election_due_ms = 700.0
    for now_ms in (700.0, 5000.0):
        candidates["b"].role, candidates["b"].election_due_ms = "follower", now_ms
        deliver(candidates, now_ms, "b", election.tick(candidates["b"], now_ms))
        assert candidates["b"].role == "leader"
        last_contact_ms = candidates["b"].progress["a"].last_contact_ms
        assert last_contact_ms == max(0.0, now_ms - 3 * TIMES.election_ms)
        assert candidates["b"].progress["c"].last_contact_ms == now_ms


def test_a_new_leader_removes_nobody_before_the_remaining_members_have_replied():
    """Right after its election it assumes contact with all members, but has received nothing.
    c and d are lost; if b, which leaves, were removed now, a and e would be no majority."""
    cards = {n: depot_card(n) for n in "abe"}
    leader = leader_of("abcde", [members_entry(1, 1, "abcde")])
    leader.settings = dataclasses.replace(TIMES, depots=4)
    ask_to_leave(leader, "b", 0.0)
    for name in "be":
        acknowledge(leader, name, 2, 10.0)
    assert leader.commit == 2
    ask_to_leave(leader, "b", 15.0)
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == []
    now_ms = 5 * TIMES.election_ms
    for name in "be":
        acknowledge(leader, name, 2, now_ms)
    ask_to_leave(leader, "b", now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    assert "b" in groups.members(leader), "one of the lost goes first"


def test_a_change_waits_for_contact_with_the_members_it_needs():
    """The removal of c makes b indispensable: b must have been in contact recently."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    now_ms = 4 * TIMES.election_ms
    for at_ms in (now_ms - 100.0, now_ms):
        acknowledge(leader, "d", 2, at_ms)
    acknowledge(leader, "b", 2, now_ms - 0.6 * TIMES.election_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []
    acknowledge(leader, "b", 2, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]


def test_entries_of_a_replaced_log_are_not_opened():
    """Power was lost after the snapshot was saved, before the old segments were removed."""
    snapshot = snapshot_of(5, 3, LOG[:5], "b").body
    reopened = replica("b", founders="")
    groups.open_replica(reopened, {"view": snapshot}, [plain_entry(6, 2), plain_entry(7, 2)])
    assert (groups.last_index(reopened), groups.last_term(reopened)) == (5, 3)
    assert reopened.synced == 5


def test_a_leaving_member_waits_for_its_removal_once_its_successor_was_added():
    """Of four voters, its loss could be one too many: b may be lost without anyone knowing."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    make_learner(leader, "d")
    for name in "bcd":
        acknowledge(leader, name, 2, 10.0)
    assert ask_to_leave(leader, "c", 20.0) == []
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    assert ask_to_leave(leader, "c", 25.0) == [], "its adding is not committed yet"
    log_replication.on_written(leader, 30.0, 3, leader.term)
    for name in "bd":
        acknowledge(leader, name, 3, 30.0)
    assert leader.commit == 3
    assert ask_to_leave(leader, "c", 35.0) == [], "its own removal is due"


def test_a_leaving_member_waits_until_the_others_made_contact_since_it_asked():
    """A member that was in contact just before may be lost by now."""
    leader = committed_leader()
    acknowledge(leader, "b", 2, 100.0)
    assert ask_to_leave(leader, "c", 110.0) == []
    assert ask_to_leave(leader, "c", 200.0) == []
    acknowledge(leader, "b", 2, 210.0)
    assert ask_to_leave(leader, "c", 220.0) == [LeaveReply("g", "c", False)]


def test_a_depot_that_knows_no_entry_that_added_it_asks_too():
    """It may have been added just now, which the leader knows."""
    newcomer = replica("d", [members_entry(1, 1, "abc")])
    newcomer.leader_address = "a"
    effects = leaving.tick(newcomer, leaving.begin(newcomer, 0.0), 0.0)
    assert effects == [Send("a", LeaveRequest("g", "d"))]
    assert ask_to_leave(committed_leader(), "d", 10.0) == [LeaveReply("g", "d", True)]
