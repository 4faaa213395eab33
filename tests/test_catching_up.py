"""A replica far behind is brought up to date, however large the state, however often
the connection breaks: no message too large, no byte sent more often than it was lost."""

import random

from replication import depot as depots
from replication import group as replicas
from replication import log_commit, log_compaction, log_replication, state_machine
from replication.snapshot_transfer import CHUNK_BYTES, WINDOW_CHUNKS
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport import frames
from transport import messages as m
from transport.codec import to_bytes
from transport.effects import Install, Send, Write
from transport.events import Received, Tick, Written

TIMES = replicas.Times(elect_ms=480.0, heartbeat_ms=120.0, ping_ms=240.0, revoke_ms=3000.0)
NAMES = "abc"
MOST_MESSAGE_BYTES = 2 << 20
LARGE = 40 << 20


def batch(shard, first, *records):
    section = m.BatchSection(shard, 1, state_machine.RECORDS, first, records)
    return to_bytes(m.Batch((section,)))


def make_depot(name):
    replica = replicas.Replica(name, name, name, TIMES, random.Random(ord(name)))
    replica.group, replica.term = "g", 1
    replica.founders = tuple(m.Member(n, n, n) for n in NAMES)
    replica.elect_at_ms = 1e12
    card = m.NodeInfo(name, "depot", "z", name, name, name, name)
    return depots.Depot(replica, 2, card)


def lead(depot, index, state_bytes):
    """Make it the leader of term 1, its log beginning after a state of some size."""
    replica = depot.group
    part = state_machine.shard_of(replica.state, 1)
    part.epoch, part.next, part.checkpoint_at = 1, 2, 1
    part.checkpoint = random.Random(1).randbytes(state_bytes)
    replica.base_index = replica.commit = replica.synced = replica.snapshot_index = index
    replica.base_term, replica.role, replica.leader = 1, "leader", replica.identity
    replica.progress = {
        n: replicas.PeerProgress(n, n, index + 1) for n in NAMES if n != replica.name
    }


class Group:
    """Depots that exchange messages at once; what `passes` refuses is lost."""

    def __init__(self, *names):
        self.depots = {name: make_depot(name) for name in names}
        self.passes = lambda message: True
        self.now_ms = 0.0
        self.chunk_bytes = 0
        self.entry_bytes = 0
        self.largest = 0
        self.installed = []

    def heartbeat(self, name):
        self.now_ms += TIMES.heartbeat_ms
        self.do(name, Tick())

    def do(self, name, event):
        self._run([(name, event)])

    def propose(self, name, body):
        effects = log_replication.propose(self.replica(name), self.now_ms, body)
        self._run([found for effect in effects for found in self._follow_up(name, effect)])

    def _run(self, queue):
        while queue:
            to, event = queue.pop(0)
            effects = depots.handle(self.depots[to], self.now_ms, event, {}, "g")
            for effect in effects:
                queue += self._follow_up(to, effect)

    def _follow_up(self, name, effect):
        if isinstance(effect, Write):
            last = effect.entries[-1]
            return [(name, Written(last.index, last.term, 1.0))]
        if isinstance(effect, Install):
            self.installed.append((name, effect.index))
        if not isinstance(effect, Send) or effect.to not in self.depots:
            return []
        self.largest = max(self.largest, len(frames.pack(effect.message)))
        if isinstance(effect.message, m.AppendEntries):
            self.entry_bytes += sum(len(e.body) for e in effect.message.entries)
        if isinstance(effect.message, m.ReplicaChunk):
            self.chunk_bytes += len(effect.message.chunk.body)
        if not self.passes(effect.message):
            return []
        return [(effect.to, Received(name, effect.message))]

    def replica(self, name):
        return self.depots[name].group


class CatchingUp(TestCase):
    def make(self, state_bytes):
        group = Group("a", "b")
        lead(group.depots["a"], 100, state_bytes)
        return group

    def test_a_state_larger_than_a_frame(self):
        group = self.make(LARGE)
        for _ in range(3):
            group.heartbeat("a")
        self.assertThat(group.replica("b").commit, Equals(100))
        self.assertThat(group.replica("a").progress["b"].match, Equals(100))
        self.assertThat(group.largest, LessThan(MOST_MESSAGE_BYTES))

    def test_entries_larger_than_a_frame_together(self):
        group = self.make(1000)
        group.heartbeat("a")
        group.passes = lambda message: False
        for number in range(2, 42):
            body = batch(1, number, random.Random(number).randbytes(1 << 20))
            group.propose("a", body)
        group.passes = lambda message: True
        for _ in range(4):
            group.heartbeat("a")
        self.assertThat(group.replica("b").commit, Equals(140))
        self.assertThat(group.largest, LessThan(MOST_MESSAGE_BYTES))

    def test_entries_lost_are_sent_again_once(self):
        """One message lost of many under way: each that follows is answered alike."""
        group = self.make(1000)
        group.heartbeat("a")
        group.heartbeat("a")
        leader, under_way = group.replica("a"), []
        for number in range(2, 32):
            body = batch(1, number, random.Random(number).randbytes(50_000))
            under_way += log_replication.propose(leader, group.now_ms, body)
        sends = [e for e in under_way if isinstance(e, Send) and e.to == "b"]
        group.entry_bytes = 0
        events = [found for e in sends[1:] for found in group._follow_up("a", e)]
        self.assertThat(group.entry_bytes, GreaterThan(1_400_000))
        group._run(events)
        group.heartbeat("a")
        self.assertThat(replicas.last_index(group.replica("b")), Equals(130))
        self.assertThat(group.entry_bytes, LessThan(4_000_000))

    def test_no_more_entries_under_way_than_a_connection_holds(self):
        group = self.make(1000)
        group.heartbeat("a")
        group.heartbeat("a")
        leader, under_way = group.replica("a"), []
        for number in range(2, 32):
            body = batch(1, number, random.Random(number).randbytes(1 << 20))
            under_way += log_replication.propose(leader, group.now_ms, body)
        sends = [e for e in under_way if isinstance(e, Send) and e.to == "b"]
        for effect in sends:
            group._follow_up("a", effect)
        self.assertThat(group.entry_bytes, LessThan(6 << 20))
        for _ in range(3):
            group.heartbeat("a")
        for effect in sends:
            group._run(group._follow_up("a", effect))
        group.heartbeat("a")
        self.assertThat(replicas.last_index(group.replica("b")), Equals(130))

    def test_breaks_cost_what_was_in_flight(self):
        group = self.make(4 << 20)
        rng, breaks = random.Random(3), []

        def passes(message):
            breaks.append(rng.random() < 0.05)
            return not breaks[-1]

        group.passes = passes
        for _ in range(200):
            group.heartbeat("a")
        self.assertThat(group.replica("b").commit, Equals(100))
        self.assertThat(sum(breaks), GreaterThan(5))
        lost = sum(breaks) * WINDOW_CHUNKS * CHUNK_BYTES
        self.assertThat(group.chunk_bytes, LessThan((5 << 20) + lost))

    def test_a_newer_snapshot_does_not_start_it_over(self):
        """Changes and snapshots go on at the leader while a slow peer takes in one."""
        group = self.make(4 << 20)
        passing = [0]
        group.passes = lambda message: passing[0] > 0 and not passing.__setitem__(0, passing[0] - 1)
        leader = group.replica("a")
        for number in range(2, 60):
            passing[0] = 6
            body = batch(1, number, random.Random(number).randbytes(100_000))
            group.propose("a", body)
            log_commit.advance(leader, leader.synced)
            group.heartbeat("a")
        passing[0] = 1 << 30
        for _ in range(4):
            group.heartbeat("a")
        self.assertThat(leader.snapshot_index, GreaterThan(100))
        self.assertThat(group.replica("b").commit, Equals(158))
        self.assertThat([i for n, i in group.installed if n == "b"][:1], Equals([100]))
        self.assertThat(group.chunk_bytes, LessThan(6 << 20))

    def test_a_new_leader_with_the_same_snapshot_goes_on(self):
        group = Group("a", "b", "c")
        lead(group.depots["a"], 100, 4 << 20)
        left = [30]
        group.passes = lambda message: left[0] > 0 and not left.__setitem__(0, left[0] - 1)
        group.heartbeat("a")
        held = len(group.replica("b").incoming.body)
        self.assertThat(held, GreaterThan(6 * CHUNK_BYTES))
        group.passes = lambda message: True
        lead(group.depots["c"], 100, 4 << 20)
        group.replica("c").term = 2
        group.chunk_bytes = 0
        for _ in range(3):
            group.heartbeat("c")
        self.assertThat(group.replica("b").commit, Equals(100))
        self.assertThat(group.replica("b").term, Equals(2))
        self.assertThat(group.chunk_bytes, LessThan((4 << 20) - held + 1000))

    def test_nothing_is_kept_for_a_peer_that_is_gone(self):
        group = self.make(4 << 20)
        leader = group.replica("a")
        passes = group.passes
        group.passes = lambda message: False
        leader.progress["b"].next = 1
        group.heartbeat("a")
        self.assertIsNot(None, leader.pinned_snapshot)
        for _ in range(300):
            leader.heard_ms = group.now_ms
            leader.progress["c"].heard_ms = group.now_ms
            leader.progress["c"].next = 101
            group.heartbeat("a")
        self.assertThat(leader.pinned_snapshot, Equals(None))
        group.passes = passes
        for _ in range(4):
            group.heartbeat("a")
        self.assertThat(group.replica("b").commit, Equals(100))

    def test_the_leaders_memory_is_bounded(self):
        """Entries of any size are kept for peers a little behind up to some bytes only."""
        group = self.make(1000)
        leader = group.replica("a")
        for number in range(2, 80):
            body = batch(1, number, bytes(800_000))
            log_replication.propose(leader, group.now_ms, body)
            leader.synced = replicas.last_index(leader)
            log_commit.advance(leader, leader.synced)
            log_compaction.trim(leader)
        kept = sum(len(entry.body) for entry in leader.log)
        self.assertThat(kept, LessThan(36 << 20))
