"""Followers, fellows and holders of a shard are given a large state in chunks."""

import random

from replication import depot as depots
from replication import (
    feed,
    follower,
    leases,
    log_commit,
    log_compaction,
    log_replication,
    shard_log,
    state_machine,
)
from replication import group as replicas
from replication.batch_writer import BatchWriter
from replication.snapshot_transfer import CHUNK_BYTES, WINDOW_CHUNKS
from test_catching_up import MOST_MESSAGE_BYTES, batch, lead, make_depot
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport import frames
from transport import messages as m
from transport.effects import Send

STATE_BYTES = 4 << 20


class Feeding:
    """A log node and a follower of its feed; what `passes` refuses is lost."""

    def __init__(self, state_bytes=STATE_BYTES):
        self.depot = make_depot("a")
        lead(self.depot, 100, state_bytes)
        self.depot.writer.serving = True
        self.depot.group.progress = {}
        self.depot.group.founders = (m.Member("a", "a", "a"),)
        self.follow = follower.Follow()
        self.card = m.NodeInfo("f", "counter", "z", "f", "f", "f.1")
        self.now_ms, self.passes = 0.0, lambda message: True
        self.largest = self.chunk_bytes = self.item_bytes = self.rebuilt = 0

    def commit(self, number, size):
        replica = self.depot.group
        body = batch(1, number, random.Random(number).randbytes(size))
        log_replication.propose(replica, self.now_ms, body)
        replica.synced = replicas.last_index(replica)
        log_commit.advance(replica, replica.synced)
        log_compaction.trim(replica)

    def ping(self):
        self.now_ms += 240.0
        ask = follower.ask(self.follow, self.now_ms, self.card, "a")
        queue = [ask]
        while queue:
            effect = queue.pop(0)
            if not isinstance(effect, Send) or not self.passes(effect.message):
                continue
            self._count(effect.message)
            if effect.to == "a":
                queue += depots._receive(self.depot, self.now_ms, "f", effect.message, "g")
            elif effect.to == "f":
                queue += self._take(effect.message)

    def push(self):
        for effect in feed.push(self.depot.group, self.depot.nodes, self.now_ms):
            self._count(effect.message)
            if self.passes(effect.message):
                self._take(effect.message)

    def _count(self, message):
        self.largest = max(self.largest, len(frames.pack(message)))
        if isinstance(message, m.FeedChunk):
            self.chunk_bytes += len(message.chunk.body)
        if isinstance(message, m.FeedEntries):
            self.item_bytes += sum(len(entry.body) for entry in message.entries)

    def _take(self, message):
        if isinstance(message, m.FeedEntries):
            follower.on_items(self.follow, message)
        if not isinstance(message, m.FeedChunk):
            return []
        effects, news = follower.on_chunk(self.follow, self.now_ms, "f", "a", message)
        self.rebuilt += news.rebuilt
        return effects


class Followers(TestCase):
    def test_a_large_state_comes_whole(self):
        feeding = Feeding(40 << 20)
        feeding.ping()
        self.assertThat(feeding.follow.place, Equals(100))
        self.assertThat(feeding.follow.state, Equals(feeding.depot.group.state))
        self.assertThat(feeding.largest, LessThan(MOST_MESSAGE_BYTES))

    def test_a_slow_link_does_not_start_it_over(self):
        """Some chunks a ping, while changes and snapshots go on at the log node."""
        feeding, left = Feeding(), [0]
        feeding.passes = lambda message: left[0] > 0 and not left.__setitem__(0, left[0] - 1)
        for number in range(2, 60):
            feeding.commit(number, 100_000)
            left[0] = 8
            feeding.ping()
        self.assertThat(feeding.depot.group.snapshot_index, GreaterThan(100))
        left[0] = 1 << 30
        for _ in range(12):
            feeding.ping()
        self.assertThat(feeding.follow.place, Equals(158))
        self.assertThat(feeding.rebuilt, Equals(1))
        self.assertThat(feeding.chunk_bytes, LessThan(6 << 20))

    def test_entries_are_bounded_by_bytes(self):
        feeding = Feeding(1000)
        feeding.ping()
        feeding.depot.group.times = replicas.Times(480.0, 120.0, 240.0, 3000.0, keep_bytes=64 << 20)
        feeding.passes = lambda message: False
        for number in range(2, 42):
            feeding.commit(number, 1 << 20)
        feeding.passes = lambda message: True
        for _ in range(60):
            feeding.ping()
        self.assertThat(feeding.follow.place, Equals(140))
        self.assertThat(feeding.largest, LessThan(MOST_MESSAGE_BYTES))

    def test_what_is_on_its_way_is_not_sent_again(self):
        """Entries that take longer than a ping to arrive on a slow link."""
        feeding = Feeding(1000)
        feeding.ping()
        feeding.passes = lambda message: not isinstance(message, m.FeedEntries)
        for number in range(2, 22):
            feeding.commit(number, 100_000)
            feeding.push()
        feeding.item_bytes = 0
        for _ in range(4):
            feeding.ping()
        self.assertThat(feeding.item_bytes, Equals(0))
        feeding.passes = lambda message: True
        for _ in range(30):
            feeding.ping()
        self.assertThat(feeding.follow.place, Equals(120))

    def test_many_that_start_at_once_take_turns(self):
        feeding = Feeding()
        cards = [m.NodeInfo(f"f{n}", "counter", "z", f"f{n}", "h", "1") for n in range(90)]
        sent = 0
        for card in cards:
            ask = follower.ask(follower.Follow(), 0.0, card, "a").message
            found = depots._receive(feeding.depot, 0.0, card.address, ask, "g")
            sent += sum(isinstance(e.message, m.FeedChunk) for e in found)
        self.assertThat(sent, LessThan(20))
        self.assertThat(sent, GreaterThan(4))
        self.assertThat(sent * WINDOW_CHUNKS * CHUNK_BYTES, LessThan(8 << 20))


class Fellows(TestCase):
    def test_a_fellow_hands_on_a_large_state(self):
        ahead, behind = follower.Follow(), follower.Follow()
        feeding = Feeding()
        feeding.follow = ahead
        feeding.ping()
        now_ms, largest = 10_000.0, 0
        ahead.current_ms = now_ms + 1
        card = m.NodeInfo("g", "counter", "z", "g", "g", "g.1")
        ask = follower.ask(behind, now_ms, card, "f").message
        follower.on_relay_ask(ahead, now_ms, "g", ask)
        queue = follower.relay(ahead, now_ms)
        while queue:
            effect = queue.pop(0)
            largest = max(largest, len(frames.pack(effect.message)))
            if isinstance(effect.message, m.FeedChunk):
                queue += follower.on_chunk(behind, now_ms, "g", "f", effect.message)[0]
            elif isinstance(effect.message, m.FeedChunkReply):
                queue += follower.on_chunk_reply(ahead, now_ms, "g", effect.message)
        self.assertThat(behind.place, Equals(100))
        self.assertThat(behind.state, Equals(ahead.state))
        self.assertThat(largest, LessThan(MOST_MESSAGE_BYTES))
        self.assertThat(ahead.relayed, Equals({}))

    def test_what_a_fellow_keeps_is_bounded_by_bytes(self):
        follow = follower.Follow()
        for index in range(1, 200):
            entry = m.Entry(index, 1, batch(1, index, bytes(200_000)))
            follower.on_items(follow, m.FeedEntries(1, index, (entry,)))
        kept = sum(len(entry.body) for entry in follow.recent)
        self.assertThat(kept, LessThan(10 << 20))
        self.assertThat(follow.recent_bytes, Equals(kept))


class Holders(TestCase):
    def give(self, replica, writer, log, passes):
        """Pings of a holder until it has its shard; the bytes that were sent."""
        sent, card = 0, m.NodeInfo("h", "counter", "z", "h", "h", "h.1")
        for turn in range(100):
            queue = [("a", e.message) for e in shard_log.recover(log, turn * 240.0, card, "a")]
            while queue:
                to, message = queue.pop(0)
                if isinstance(message, m.ShardChunk):
                    sent += len(message.chunk.body)
                    self.assertThat(len(frames.pack(message)), LessThan(MOST_MESSAGE_BYTES))
                if not passes():
                    continue
                if isinstance(message, m.RecoveryRequest):
                    effects = leases.on_recover(replica, writer, "h", message)
                elif isinstance(message, m.ShardChunkReply):
                    effects = leases.on_chunk_reply(writer, "h", message)
                else:
                    effects, _ = shard_log.on_chunk(log, turn * 240.0, "a", message)
                queue += [(e.to, e.message) for e in effects]
            if log.ready:
                return sent
        return sent

    def shard(self):
        depot = make_depot("a")
        lead(depot, 100, STATE_BYTES)
        part = state_machine.shard_of(depot.group.state, 1)
        part.records = [random.Random(n).randbytes(300_000) for n in range(8)]
        part.next = part.checkpoint_at + len(part.records) + 1
        return depot.group, BatchWriter(serving=True, epochs={1: 1}), part

    def test_a_shard_comes_in_chunks(self):
        replica, writer, part = self.shard()
        log = shard_log.ShardLog(1, 1)
        sent = self.give(replica, writer, log, lambda: True)
        self.assertTrue(log.ready)
        self.assertThat(log.checkpoint, Equals(part.checkpoint))
        self.assertThat(log.records, Equals(part.records))
        self.assertThat(log.next, Equals(part.next))
        self.assertThat(sent, LessThan(STATE_BYTES + 2_500_000))
        self.assertThat(writer.recoveries, Equals({}))

    def test_losses_cost_what_was_in_flight(self):
        replica, writer, part = self.shard()
        log, rng, lost = shard_log.ShardLog(1, 1), random.Random(4), []

        def passes():
            lost.append(rng.random() < 0.04)
            return not lost[-1]

        sent = self.give(replica, writer, log, passes)
        self.assertThat(log.records, Equals(part.records))
        self.assertThat(sum(lost), GreaterThan(4))
        window = WINDOW_CHUNKS * CHUNK_BYTES
        self.assertThat(sent, LessThan(STATE_BYTES + 2_500_000 + sum(lost) * window))

    def test_a_new_log_node_goes_on(self):
        replica, writer, part = self.shard()
        log, left = shard_log.ShardLog(1, 1), [40]

        def passes():
            left[0] -= 1
            return left[0] >= 0

        self.give(replica, writer, log, passes)
        held = len(log.incoming.body)
        self.assertThat(held, GreaterThan(8 * CHUNK_BYTES))
        sent = self.give(replica, BatchWriter(serving=True, epochs={1: 1}), log, lambda: True)
        self.assertThat(log.records, Equals(part.records))
        self.assertThat(sent, LessThan(STATE_BYTES + 2_500_000 - held))
