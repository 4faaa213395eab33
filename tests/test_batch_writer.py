"""The batch writer in virtual time: grouping of shards, epochs, cumulative positions."""

import heapq
import random

from replication import batch_writer, leases, log_replication, shard_log, state_machine
from replication import group as groups
from replication.snapshot_transfer import CHUNK_BYTES
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport.effects import Send, Write
from transport.messages import (
    AppendRefused,
    BatchSection,
    DurablePositions,
    Member,
    RecoveryRequest,
    ShardChunkReply,
)

TIMES = dict(election_ms=720.0, heartbeat_ms=180.0, ping_ms=360.0, revoke_ms=3000.0)


class Leader:
    """A single leader with a disk of a given speed, and lease holders that send their next
    section a short time after each `DurablePositions` message."""

    def __init__(self, shards, flush_ms, group_wait=True):
        self.replica = groups.Replica(
            "d0",
            "id0",
            "a",
            groups.GroupSettings(**TIMES, group_wait=group_wait, depots=1),
            random.Random(1),
            group="g",
            term=1,
            role="leader",
            founders=(Member("d0", "id0", "a"),),
        )
        self.replica.state.shards = {
            s: state_machine.ShardState(epoch=1, holder="c") for s in range(shards)
        }
        self.writer = batch_writer.open_writer(self.replica, batch_writer.BatchWriter())
        self.flush_ms, self.heap, self.now, self.count = flush_ms, [], 0.0, 0
        self.durable, self.rng = {}, random.Random(2)

    def at(self, wait_ms, *event):
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait_ms, self.count, event))

    def do(self, effects):
        for effect in effects:
            if isinstance(effect, Write):
                took_ms = self.flush_ms * (0.9 + 0.2 * self.rng.random())
                self.at(took_ms, "written", effect.entries[-1], took_ms)
            elif isinstance(effect, Send) and isinstance(effect.message, DurablePositions):
                for position in effect.message.positions:
                    assert position.position > self.durable.get(position.shard, 0)
                    self.durable[position.shard] = position.position
                    self.at(
                        0.2 + 0.2 * self.rng.random(),
                        "section",
                        position.shard,
                        position.position + 1,
                    )

    def run(self, until_ms):
        while self.heap and self.heap[0][0] <= until_ms:
            self.now, _, (kind, *facts) = heapq.heappop(self.heap)
            if kind == "written":
                self.writer.last_write_ms = facts[1]
                self.do(
                    log_replication.on_written(
                        self.replica, self.now, facts[0].index, facts[0].term
                    )
                )
            elif kind == "section":
                shard, first = facts
                self.do(
                    batch_writer.stage(
                        self.replica,
                        self.writer,
                        self.now,
                        f"pipe{shard}",
                        BatchSection(shard, 1, state_machine.RECORDS, first, (b"{}",)),
                    )
                )
            self.do(batch_writer.report_durable(self.replica, self.writer, self.now))
            self.do(batch_writer.write_due(self.replica, self.writer, self.now))
            wake_ms = batch_writer.wake_at(self.replica, self.writer, self.now)
            if wake_ms is not None:
                self.at(max(0.001, wake_ms - self.now), "wake")

    def start(self, shards):
        for shard in range(shards):
            self.at(5.0 * shard, "section", shard, 1)


def run_steadily(shards, flush_ms, group_wait):
    leader = Leader(shards, flush_ms, group_wait)
    leader.start(shards)
    leader.run(3000)
    return leader


def recover(leader, shard, epoch):
    """Recover a shard for a new holder; returns its log and the size of each chunk."""
    log, sizes = shard_log.ShardLog(shard, epoch), []
    queue = leases.on_recover(
        leader.replica, leader.writer, "new", RecoveryRequest(shard, epoch, "new", 0)
    )
    while queue:
        message = queue.pop(0).message
        if isinstance(message, ShardChunkReply):
            queue += leases.on_chunk_reply(leader.writer, "new", message)
        else:
            sizes.append(len(message.chunk.body))
            queue += shard_log.on_chunk(log, 0.0, "log", message)[0]
    return log, sizes


class Batches(TestCase):
    def test_group_wait_keeps_shards_together(self):
        """On a slow disk, eight shards share a write instead of alternating."""
        single, grouped, ungrouped = (
            run_steadily(1, 25.0, True),
            run_steadily(8, 25.0, True),
            run_steadily(8, 25.0, False),
        )
        self.assertThat(grouped.writer.records / grouped.writer.batches, GreaterThan(5.0))
        self.assertThat(ungrouped.writer.records / ungrouped.writer.batches, LessThan(3.5))
        self.assertThat(grouped.writer.records / ungrouped.writer.records, GreaterThan(1.2))
        slower = single.writer.records / (grouped.writer.records / 8)
        self.assertThat(slower, LessThan(1.2))

    def test_lone_shard_never_waits(self):
        grouped, ungrouped = run_steadily(1, 25.0, True), run_steadily(1, 25.0, False)
        self.assertThat(grouped.writer.records, Equals(ungrouped.writer.records))

    def test_stale_epochs_and_gaps_are_refused(self):
        leader = Leader(2, 1.0)
        for epoch, first, cause in ((0, 1, "epoch"), (2, 1, "epoch"), (1, 2, "place")):
            section = BatchSection(1, epoch, state_machine.RECORDS, first, (b"{}",))
            refusal = batch_writer.stage(leader.replica, leader.writer, 0.0, "p", section)[
                0
            ].message
            self.assertIsInstance(refusal, AppendRefused)
            self.assertThat(refusal.cause, Equals(cause))
        self.assertThat(leader.writer.staged, Equals([]))

    def test_a_lease_drops_staged_sections_but_not_those_in_flight(self):
        leader = Leader(2, 10.0)
        in_flight = BatchSection(1, 1, state_machine.RECORDS, 1, (b'{"k":"a"}',))
        leader.do(batch_writer.stage(leader.replica, leader.writer, 0.0, "old", in_flight))
        leader.do(batch_writer.write_due(leader.replica, leader.writer, 0.0))
        staged = BatchSection(1, 1, state_machine.RECORDS, 2, (b'{"k":"b"}',))
        leader.do(batch_writer.stage(leader.replica, leader.writer, 0.0, "old", staged))
        nodes = leases.NodeTable(contacts={"new": leases.NodeContact("n", "n.1", "counter", 0.0)})
        leases._assign(leader.replica, leader.writer, nodes, 1, "new")
        self.assertThat([s.kind for s in leader.writer.staged], Equals([state_machine.LEASE]))
        late = batch_writer.stage(leader.replica, leader.writer, 0.0, "old", staged)[0].message
        self.assertThat(late.cause, Equals("epoch"))
        ask = RecoveryRequest(1, 2, "new", 0)
        self.assertThat(
            leases.on_recover(leader.replica, leader.writer, "new", ask),
            Equals([]),
            "recovery waits for the old holder's sections in flight",
        )
        leader.run(100)
        log, _ = recover(leader, 1, 2)
        self.assertThat((log.records, log.ready), Equals(([b'{"k":"a"}'], True)))
        self.assertThat(leader.writer.next[1], Equals(2))

    def test_recovery_comes_in_chunks(self):
        leader = Leader(1, 1.0)
        part = leader.replica.state.shards[0]
        part.records = [bytes([n]) * 400_000 for n in range(7)]
        part.next = 8
        log, sizes = recover(leader, 0, 1)
        self.assertThat(log.records, Equals(part.records))
        self.assertThat((log.next, log.durable, log.ready), Equals((8, 7, True)))
        self.assertThat(max(sizes) <= CHUNK_BYTES, Equals(True))
        self.assertThat(sum(sizes) < 2_801_000, Equals(True), "each byte once")
