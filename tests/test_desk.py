"""The shared batch in virtual time: grouping, epochs, cumulative positions."""

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

TIMES = dict(elect_ms=720.0, heartbeat_ms=180.0, ping_ms=360.0, revoke_ms=3000.0)


class Table:
    """One log node with a disk of a given speed, and holders that answer each
    DURABLE with their next section after their turnaround."""

    def __init__(self, shards, flush_ms, group_wait=True):
        self.g = groups.Replica(
            "d0",
            "id0",
            "a",
            groups.Times(**TIMES, group_wait=group_wait, depots=1),
            random.Random(1),
            group="g",
            term=1,
            role="leader",
            founders=(Member("d0", "id0", "a"),),
        )
        self.g.state.shards = {
            s: state_machine.ShardState(epoch=1, holder="c") for s in range(shards)
        }
        self.d = batch_writer.open_writer(self.g, batch_writer.BatchWriter())
        self.flush_ms, self.heap, self.now, self.count = flush_ms, [], 0.0, 0
        self.durable, self.rng = {}, random.Random(2)

    def at(self, wait_ms, *what):
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait_ms, self.count, what))

    def do(self, effects):
        for effect in effects:
            if isinstance(effect, Write):
                took_ms = self.flush_ms * (0.9 + 0.2 * self.rng.random())
                self.at(took_ms, "written", effect.entries[-1], took_ms)
            elif isinstance(effect, Send) and isinstance(effect.message, DurablePositions):
                for place in effect.message.places:
                    assert place.position > self.durable.get(place.shard, 0)
                    self.durable[place.shard] = place.position
                    self.at(
                        0.2 + 0.2 * self.rng.random(), "section", place.shard, place.position + 1
                    )

    def run(self, until_ms):
        while self.heap and self.heap[0][0] <= until_ms:
            self.now, _, (kind, *facts) = heapq.heappop(self.heap)
            if kind == "written":
                self.d.last_write_ms = facts[1]
                self.do(log_replication.on_written(self.g, self.now, facts[0].index, facts[0].term))
            elif kind == "section":
                shard, first = facts
                self.do(
                    batch_writer.stage(
                        self.g,
                        self.d,
                        self.now,
                        f"pipe{shard}",
                        BatchSection(shard, 1, state_machine.RECORDS, first, (b"{}",)),
                    )
                )
            self.do(batch_writer.settle(self.g, self.d, self.now))
            self.do(batch_writer.write_due(self.g, self.d, self.now))
            wake_ms = batch_writer.wake_at(self.g, self.d, self.now)
            if wake_ms is not None:
                self.at(max(0.001, wake_ms - self.now), "wake")

    def start(self, shards):
        for shard in range(shards):
            self.at(5.0 * shard, "section", shard, 1)


def steady(shards, flush_ms, group_wait):
    table = Table(shards, flush_ms, group_wait)
    table.start(shards)
    table.run(3000)
    return table


def recovered(table, shard, epoch):
    """A new holder's log after one ask, and the bytes in each message to it."""
    log, sizes = shard_log.ShardLog(shard, epoch), []
    queue = leases.on_recover(table.g, table.d, "new", RecoveryRequest(shard, epoch, "new", 0))
    while queue:
        message = queue.pop(0).message
        if isinstance(message, ShardChunkReply):
            queue += leases.on_chunk_reply(table.d, "new", message)
        else:
            sizes.append(len(message.chunk.body))
            queue += shard_log.on_chunk(log, 0.0, "log", message)[0]
    return log, sizes


class Batches(TestCase):
    def test_group_wait_keeps_shards_together(self):
        """On a slow disk eight shards share one write instead of taking turns."""
        one, on, off = (steady(1, 25.0, True), steady(8, 25.0, True), steady(8, 25.0, False))
        self.assertThat(on.d.records / on.d.batches, GreaterThan(5.0))
        self.assertThat(off.d.records / off.d.batches, LessThan(3.5))
        self.assertThat(on.d.records / off.d.records, GreaterThan(1.2))
        slower = one.d.records / (on.d.records / 8)
        self.assertThat(slower, LessThan(1.2))

    def test_lone_shard_never_waits(self):
        on, off = steady(1, 25.0, True), steady(1, 25.0, False)
        self.assertThat(on.d.records, Equals(off.d.records))

    def test_stale_epochs_and_gaps_are_refused(self):
        table = Table(2, 1.0)
        for epoch, first, cause in ((0, 1, "epoch"), (2, 1, "epoch"), (1, 2, "place")):
            section = BatchSection(1, epoch, state_machine.RECORDS, first, (b"{}",))
            told = batch_writer.stage(table.g, table.d, 0.0, "p", section)[0].message
            self.assertIsInstance(told, AppendRefused)
            self.assertThat(told.cause, Equals(cause))
        self.assertThat(table.d.staged, Equals([]))

    def test_a_grant_drops_staged_sections_but_not_those_in_flight(self):
        table = Table(2, 10.0)
        flying = BatchSection(1, 1, state_machine.RECORDS, 1, (b'{"k":"a"}',))
        table.do(batch_writer.stage(table.g, table.d, 0.0, "old", flying))
        table.do(batch_writer.write_due(table.g, table.d, 0.0))
        staged = BatchSection(1, 1, state_machine.RECORDS, 2, (b'{"k":"b"}',))
        table.do(batch_writer.stage(table.g, table.d, 0.0, "old", staged))
        nodes = leases.NodeTable(seen={"new": leases.Seen("n", "n.1", "counter", 0.0)})
        leases._lease(table.g, table.d, nodes, 1, "new")
        self.assertThat([s.kind for s in table.d.staged], Equals([state_machine.LEASE]))
        late = batch_writer.stage(table.g, table.d, 0.0, "old", staged)[0].message
        self.assertThat(late.cause, Equals("epoch"))
        ask = RecoveryRequest(1, 2, "new", 0)
        self.assertThat(
            leases.on_recover(table.g, table.d, "new", ask),
            Equals([]),
            "recovery waits for what the old holder has in flight",
        )
        table.run(100)
        log, _ = recovered(table, 1, 2)
        self.assertThat((log.records, log.ready), Equals(([b'{"k":"a"}'], True)))
        self.assertThat(table.d.next[1], Equals(2))

    def test_recovery_comes_in_chunks(self):
        table = Table(1, 1.0)
        part = table.g.state.shards[0]
        part.records = [bytes([n]) * 400_000 for n in range(7)]
        part.next = 8
        log, sizes = recovered(table, 0, 1)
        self.assertThat(log.records, Equals(part.records))
        self.assertThat((log.next, log.durable, log.ready), Equals((8, 7, True)))
        self.assertThat(max(sizes) <= CHUNK_BYTES, Equals(True))
        self.assertThat(sum(sizes) < 2_801_000, Equals(True), "each byte once")
