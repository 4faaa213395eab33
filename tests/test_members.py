"""Who may vote, what a replica has acknowledged, and how members are replaced:
the cores driven directly, message by message."""

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

TIMES = groups.Times(elect_ms=480.0, heartbeat_ms=120.0, ping_ms=240.0, revoke_ms=1800.0)
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


def leader_of(names, entries, term=3):
    """A leader of `term`, named by the one before it; its own log is synced, and
    of its peers nothing but their votes has been heard."""
    made = replica(names[0], entries, term=term - 1, founders=names)
    named = election.on_transfer_leadership(made, 0.0, TransferLeadership(term - 1))
    assert [e for e in named if isinstance(e, Send)]
    for name in names[1:]:
        election.on_vote_reply(made, 0.0, VoteReply(term, name, True, False))
    log_replication.on_written(made, 0.0, made.term_index, term)
    return made


def append(follower, leader, entries, prev, commit=0, term=3):
    """What a leader of `term` sends, and the acknowledgement it gets."""
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
    """The snapshot ends at an entry that is here: what follows it was acknowledged."""
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
    """The snapshot is synced; the writes under way when it came are not."""
    follower = replica("b")
    append(follower, "a", LOG[:4], Entry(0, 0, b""))
    append(follower, "a", LOG[4:], LOG[3])
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert acknowledged(effects) == [5]
    assert acknowledged(log_replication.on_written(follower, 0.0, 7, 3)) == [5]
    assert acknowledged(log_replication.on_written(follower, 0.0, 4, 3)) == [7]


def test_a_snapshot_that_does_not_fit_the_log_replaces_it():
    stale = [members_entry(1, 1, "abc")] + [plain_entry(i, 2) for i in range(2, 8)]
    follower = replica("b", stale, term=2)
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert (groups.last_index(follower), groups.last_term(follower)) == (5, 3)
    assert acknowledged(effects) == [5]
    assert [e.restart for e in effects if isinstance(e, Install)] == [True]
    log_replication.on_written(follower, 0.0, 7, 2)
    assert follower.synced == 5, "a write of the replaced log says nothing"


def test_what_is_committed_but_not_synced_here_is_not_acknowledged():
    """A snapshot that brings nothing new: the leader counts what is on disk alone."""
    follower = replica("b")
    append(follower, "a", LOG, Entry(0, 0, b""), commit=7)
    assert (follower.commit, follower.synced) == (7, 0)
    effects = log_following.on_snapshot(follower, 0.0, "a", snapshot_of(5, 3, LOG[:5], "b"))
    assert acknowledged(effects) == [0]


def test_acknowledgements_of_another_life_or_term_do_not_count():
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
    """Entries of an earlier term lie synced here that the new leader may not have."""
    follower = replica("b", [*LOG[:4], plain_entry(5, 3), plain_entry(6, 3)], term=3)
    effects = append(follower, "a", [], LOG[3], term=4)
    assert acknowledged(effects) == [4]


def test_a_snapshot_over_an_unfinished_write_leaves_a_disk_that_opens(tmp_path):
    """Of two writes under way, the second is done and the first, under the snapshot,
    is lost with the power: nothing after it was acknowledged, and the disk is trusted."""
    disk = disks.Disk(tmp_path, 1 << 20)
    disk.write(Write(tuple(LOG[:2]), known=0))
    disk.reserve(Write(tuple(LOG[2:5]), known=2))
    disk.put(disk.reserve(Write(tuple(LOG[5:7]), known=2)))
    snapshot = snapshot_of(5, 3, LOG[:5], "b").body
    disk.write(Install(5, snapshot, restart=False))
    disk._lock.close()
    again = disks.Disk(tmp_path, 1 << 20)
    reopened = replica("b", founders="")
    groups.open_replica(reopened, again.loaded.files, again.loaded.entries)
    assert (reopened.commit, groups.last_index(reopened), reopened.synced) == (5, 5, 5)
    again._lock.close()


def learner_of(leader, name, now_ms=0.0):
    """A depot that is no member becomes a learner of this leader; its progress."""
    log_replication.add_learner(leader, now_ms, name, name, name)
    return leader.progress[name]


def depot_card(name, zone="north"):
    return NodeInfo(name, "depot", zone, name, name, f"{name}.1", name)


def acked(leader, name, index, now_ms):
    """A peer's word that it holds all up to `index`."""
    ack = AppendReply(leader.term, name, name, name, True, index, 0)
    return log_replication.on_ack(leader, now_ms, ack)


def committed_leader(names="abc"):
    """A leader whose log is on all members' disks, at time 0."""
    made = leader_of(names, [members_entry(1, 1, names)])
    for name in names[1:]:
        acked(made, name, 2, 0.0)
    assert made.commit == 2
    return made


def written(leader, now_ms, count=1):
    """The leader adds entries and syncs them."""
    for _ in range(count):
        body = to_bytes(Batch((state_machine.term_section(leader.term),)))
        log_replication.propose(leader, now_ms, body)
        log_replication.on_written(leader, now_ms, groups.last_index(leader), leader.term)


def changes(effects):
    return [e.what for e in effects if isinstance(e, LogLine) and e.what.startswith("member-")]


def test_a_learner_under_steady_writes_is_taken_in():
    """Always a few entries behind the commit, it ends each round in good time."""
    leader = committed_leader()
    learner_of(leader, "d")
    cards = {n: depot_card(n) for n in "abcd"}
    now_ms, taken = 0.0, []
    while now_ms < 4000.0 and not taken:
        now_ms += 40.0
        written(leader, now_ms, count=2)
        acked(leader, "b", groups.last_index(leader), now_ms)
        acked(leader, "d", max(0, leader.commit - 3), now_ms)
        taken = [w for w in changes(reconfiguration.tick(leader, now_ms, cards)) if w]
    assert taken == ["member-removes"], "the silent member c gives way"
    assert now_ms < 4.5 * TIMES.elect_ms


def test_a_learner_that_takes_longer_than_an_election_for_a_round_waits():
    leader = committed_leader()
    peer = learner_of(leader, "d")
    for now_ms, index in ((100.0, 1), (900.0, 2)):
        acked(leader, "d", index, now_ms)
    assert not catch_up.caught_up(peer.catch_up, 900.0, TIMES.elect_ms)
    acked(leader, "d", 2, 1000.0)
    assert catch_up.caught_up(peer.catch_up, 1000.0, TIMES.elect_ms)
    assert not catch_up.caught_up(peer.catch_up, 1500.0, TIMES.elect_ms), "nor one that stopped"


def ask_to_leave(leader, name, now_ms):
    """What the leader answers to a member that wants to end."""
    effects = leaving.on_request(leader, now_ms, name, LeaveRequest("g", name))
    return [e.message for e in effects if isinstance(e, Send)]


def test_a_leaver_stays_while_it_may_hold_the_only_other_copy():
    """Entry 3 is committed by the leader and the leaver: the third member must have it
    before the leaver may end."""
    leader = committed_leader()
    written(leader, 10.0)
    acked(leader, "c", 3, 20.0)
    assert leader.commit == 3
    acked(leader, "b", 2, 30.0)
    assert ask_to_leave(leader, "c", 40.0) == []
    acked(leader, "b", 3, 50.0)
    assert ask_to_leave(leader, "c", 60.0) == [LeaveReply("g", "c", False)]


def test_a_leavers_acknowledgements_no_longer_move_the_commit():
    """So that what is committed from then on is on a majority without it."""
    leader = committed_leader()
    acked(leader, "b", 2, 10.0)
    ask_to_leave(leader, "c", 20.0)
    written(leader, 30.0)
    acked(leader, "c", 3, 40.0)
    assert leader.commit == 2
    acked(leader, "b", 3, 50.0)
    assert leader.commit == 3


def test_a_leaver_is_counted_while_the_others_are_no_majority():
    leader = committed_leader()
    now_ms = 3 * TIMES.elect_ms
    acked(leader, "c", 2, now_ms)
    assert ask_to_leave(leader, "c", now_ms) == [], "b is silent: c is needed"
    written(leader, now_ms)
    acked(leader, "c", 3, now_ms)
    assert leader.commit == 3


def test_of_two_leavers_only_one_ends_at_a_time():
    leader = committed_leader()
    assert ask_to_leave(leader, "c", 10.0) == []
    acked(leader, "b", 2, 15.0)
    assert ask_to_leave(leader, "c", 20.0) == [LeaveReply("g", "c", False)]
    assert ask_to_leave(leader, "b", 20.0) == []
    back_ms = 20.0 + 2 * TIMES.elect_ms
    acked(leader, "c", 2, back_ms)
    acked(leader, "b", 2, back_ms)
    leaving.watch(leader, back_ms)
    assert ask_to_leave(leader, "b", back_ms) == []
    acked(leader, "c", 2, back_ms + 10.0)
    assert ask_to_leave(leader, "b", back_ms + 20.0) == [LeaveReply("g", "b", False)]


def test_two_leavers_that_need_each_other_are_not_both_set_aside():
    """d is lost: of a, b and c, of whom two leave, one more must go on being counted, or
    nothing is committed any more and neither is ever replaced."""
    leader = committed_leader("abcd")
    now_ms = 5 * TIMES.elect_ms
    for name in "bc":
        acked(leader, name, 2, now_ms)
    learner_of(leader, "e", now_ms)
    acked(leader, "e", 2, now_ms)
    leader.progress["e"].learner = False
    wanted = [*groups.members(leader).values(), member("e")]
    section = state_machine.members_section({m.identity: m for m in wanted})
    log_replication.propose(leader, now_ms, to_bytes(Batch((section,))))
    log_replication.on_written(leader, now_ms, 3, leader.term)
    for name in "bc":
        ask_to_leave(leader, name, now_ms + 10.0)
    for name in "bce":
        acked(leader, name, 3, now_ms + 20.0)
    assert leader.commit == 3


def test_a_learner_that_leaves_is_not_made_a_member():
    """It was told that it may end, since it is none; its place would go to nobody."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    now_ms = 5 * TIMES.elect_ms
    for name in "bd":
        acked(leader, name, 2, now_ms - 100.0)
        acked(leader, name, 2, now_ms)
    assert ask_to_leave(leader, "d", now_ms) == [LeaveReply("g", "d", True)]
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []
    back_ms = now_ms + 2 * TIMES.elect_ms
    for name in "bd":
        acked(leader, name, 2, back_ms - 100.0)
        acked(leader, name, 2, back_ms)
    assert changes(reconfiguration.tick(leader, back_ms, cards)) == ["member-removes"]


def test_a_leader_that_leaves_does_not_hand_over_to_another_that_leaves():
    """Nor right after its election, when nobody has told it yet: learners that could take
    their places would never be brought up to date."""
    leader = committed_leader()
    leave = leaving.begin(leader, 10.0)
    assert leaving.tick(leader, leave, 20.0) == []
    now_ms = TIMES.elect_ms + 10.0
    for name in "bc":
        acked(leader, name, 2, now_ms)
        ask_to_leave(leader, name, now_ms)
    assert leaving.tick(leader, leave, now_ms) == []
    late_ms = 10.0 + 0.6 * leader.times.leave_ms
    for name in "bc":
        acked(leader, name, 2, late_ms)
        ask_to_leave(leader, name, late_ms)
    handed = [e.message for e in leaving.tick(leader, leave, late_ms) if isinstance(e, Send)]
    assert handed == [TransferLeadership(leader.term)]


def test_a_leaver_that_runs_is_removed_after_its_successor_was_added():
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    acked(leader, "d", 2, 10.0)
    acked(leader, "b", 2, 10.0)
    acked(leader, "c", 2, 10.0)
    assert ask_to_leave(leader, "c", 20.0) == [], "a successor is in sight"
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    assert set(groups.members(leader)) == set("abcd")
    log_replication.on_written(leader, 20.0, 3, leader.term)
    acked(leader, "b", 3, 30.0)
    assert leader.commit == 2, "three of four, and the leaver does not count"
    acked(leader, "d", 3, 30.0)
    assert leader.commit == 3
    assert changes(reconfiguration.tick(leader, 40.0, cards)) == ["member-removes"]
    assert ask_to_leave(leader, "c", 50.0) == [], "its removal is not committed yet"
    log_replication.on_written(leader, 50.0, 4, leader.term)
    acked(leader, "d", 4, 60.0)
    assert ask_to_leave(leader, "c", 70.0) == [LeaveReply("g", "c", True)]


def test_a_silent_member_is_removed_before_the_newcomer_is_added():
    """Were it still counted, the loss of the newcomer would leave no majority."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    now_ms = 4 * TIMES.elect_ms
    for at_ms in (now_ms - 100.0, now_ms):
        acked(leader, "b", 2, at_ms)
        acked(leader, "d", 2, at_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    assert set(groups.members(leader)) == set("ab")


def test_no_change_is_proposed_that_those_who_speak_cannot_commit():
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    now_ms = 4 * TIMES.elect_ms
    acked(leader, "d", 2, now_ms - 100.0)
    acked(leader, "d", 2, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []


def test_a_leader_never_removes_itself():
    """It adds its successor, hands over the lead, and is removed by the next leader."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    for name in "bcd":
        acked(leader, name, 2, 10.0)
    leave = leaving.begin(leader, 10.0)
    assert leaving.tick(leader, leave, 20.0) == []
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    log_replication.on_written(leader, 20.0, 3, leader.term)
    for name in "bcd":
        acked(leader, name, 3, 30.0)
    assert changes(reconfiguration.tick(leader, 40.0, cards)) == []
    assert leaving.tick(leader, leave, 40.0) == [], "nobody had the time to tell that it leaves"
    later_ms = 40.0 + TIMES.elect_ms
    for name in "bcd":
        acked(leader, name, 3, later_ms)
    assert changes(reconfiguration.tick(leader, later_ms, cards)) == []
    handed = [e.message for e in leaving.tick(leader, leave, later_ms) if isinstance(e, Send)]
    assert handed == [TransferLeadership(leader.term)]
    assert (leader.role, leave.done) == ("follower", False)


def test_a_successor_comes_from_the_zone_with_the_fewest_voters():
    leader = committed_leader()
    zones = {"a": "north", "b": "south", "c": "east", "d": "north", "e": "east", "f": "south"}
    cards = {n: depot_card(n, zone) for n, zone in zones.items()}
    now_ms = 4 * TIMES.elect_ms
    for name in "def":
        learner_of(leader, name, now_ms - 200.0)
    for at_ms in (now_ms - 100.0, now_ms):
        for name in "bdef":
            acked(leader, name, 2, at_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    log_replication.on_written(leader, now_ms, 3, leader.term)
    acked(leader, "b", 3, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-adds"]
    assert set(groups.members(leader)) == set("abe")


def test_a_new_leader_counts_the_old_ones_silence_from_its_last_word():
    """Not from its own election on; but the old one has an election to speak up."""
    heirs = {n: replica(n, [members_entry(1, 1, "abc")]) for n in "bc"}
    for one in heirs.values():
        one.elect_at_ms = 1e9
        append(one, "a", [], Entry(1, 1, b""), term=1)
    heirs["b"].elect_at_ms = 700.0
    for now_ms in (700.0, 5000.0):
        heirs["b"].role, heirs["b"].elect_at_ms = "follower", now_ms
        deliver(heirs, now_ms, "b", election.tick(heirs["b"], now_ms))
        assert heirs["b"].role == "leader"
        heard_ms = heirs["b"].progress["a"].heard_ms
        assert heard_ms == max(0.0, now_ms - 3 * TIMES.elect_ms)
        assert heirs["b"].progress["c"].heard_ms == now_ms


def test_a_new_leader_removes_nobody_before_those_who_stay_have_answered_it():
    """Right after its election it has heard of nobody, though it gives all of them time.
    c and d are lost; were b, which leaves, removed now, a and e would be no majority."""
    cards = {n: depot_card(n) for n in "abe"}
    leader = leader_of("abcde", [members_entry(1, 1, "abcde")])
    leader.times = dataclasses.replace(TIMES, depots=4)
    ask_to_leave(leader, "b", 0.0)
    for name in "be":
        acked(leader, name, 2, 10.0)
    assert leader.commit == 2
    ask_to_leave(leader, "b", 15.0)
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == []
    now_ms = 5 * TIMES.elect_ms
    for name in "be":
        acked(leader, name, 2, now_ms)
    ask_to_leave(leader, "b", now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]
    assert "b" in groups.members(leader), "one of the lost goes first"


def test_a_change_waits_for_the_word_of_those_it_needs():
    """The removal of c makes b indispensable: b must have spoken just now."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    now_ms = 4 * TIMES.elect_ms
    for at_ms in (now_ms - 100.0, now_ms):
        acked(leader, "d", 2, at_ms)
    acked(leader, "b", 2, now_ms - 0.6 * TIMES.elect_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == []
    acked(leader, "b", 2, now_ms)
    assert changes(reconfiguration.tick(leader, now_ms, cards)) == ["member-removes"]


def test_old_entries_that_a_replaced_log_left_behind_are_not_opened():
    """The power went after the snapshot was saved, and before its segments were removed."""
    snapshot = snapshot_of(5, 3, LOG[:5], "b").body
    reopened = replica("b", founders="")
    groups.open_replica(reopened, {"view": snapshot}, [plain_entry(6, 2), plain_entry(7, 2)])
    assert (groups.last_index(reopened), groups.last_term(reopened)) == (5, 3)
    assert reopened.synced == 5


def test_a_leaver_waits_for_its_removal_once_its_successor_was_added():
    """Of four, the leaver would be missed: b may be lost already, and not yet known to be."""
    leader, cards = committed_leader(), {n: depot_card(n) for n in "abcd"}
    learner_of(leader, "d")
    for name in "bcd":
        acked(leader, name, 2, 10.0)
    assert ask_to_leave(leader, "c", 20.0) == []
    assert changes(reconfiguration.tick(leader, 20.0, cards)) == ["member-adds"]
    assert ask_to_leave(leader, "c", 25.0) == [], "its adding is not committed yet"
    log_replication.on_written(leader, 30.0, 3, leader.term)
    for name in "bd":
        acked(leader, name, 3, 30.0)
    assert leader.commit == 3
    assert ask_to_leave(leader, "c", 35.0) == [], "its own removal is due"


def test_a_leaver_waits_for_a_word_of_the_others_since_it_asked():
    """One that was heard of just before may be lost by now."""
    leader = committed_leader()
    acked(leader, "b", 2, 100.0)
    assert ask_to_leave(leader, "c", 110.0) == []
    assert ask_to_leave(leader, "c", 200.0) == []
    acked(leader, "b", 2, 210.0)
    assert ask_to_leave(leader, "c", 220.0) == [LeaveReply("g", "c", False)]


def test_a_depot_that_thinks_it_is_no_member_asks_too():
    """It may have been added just now; the leader knows."""
    newcomer = replica("d", [members_entry(1, 1, "abc")])
    newcomer.leader_address = "a"
    effects = leaving.tick(newcomer, leaving.begin(newcomer, 0.0), 0.0)
    assert effects == [Send("a", LeaveRequest("g", "d"))]
    assert ask_to_leave(committed_leader(), "d", 10.0) == [LeaveReply("g", "d", True)]
