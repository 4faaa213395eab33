"""The shared batch in virtual time: grouping, epochs, cumulative positions."""

import heapq
import random

from logbook import book, copying, desk, grants
from logbook import group as groups
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from waybill.effects import Send, Write
from waybill.messages import Durable, Member, Refused, Section

TIMES = dict(electMs=720.0, heartbeatMs=180.0, pingMs=360.0, revokeMs=3000.0)


class Table:
    """One log node with a disk of a given speed, and holders that answer each
    DURABLE with their next section after their turnaround."""

    def __init__(self, shards, flushMs, groupWait=True):
        self.g = groups.Group(
            "d0",
            "id0",
            "a",
            groups.Times(**TIMES, groupWait=groupWait, depots=1),
            random.Random(1),
            group="g",
            term=1,
            role="leader",
            founders=(Member("d0", "id0", "a"),),
        )
        self.g.book.shards = {s: book.ShardBook(epoch=1, holder="c") for s in range(shards)}
        self.d = desk.open_desk(self.g, desk.Desk())
        self.flushMs, self.heap, self.now, self.count = flushMs, [], 0.0, 0
        self.durable, self.rng = {}, random.Random(2)

    def at(self, waitMs, *what):
        self.count += 1
        heapq.heappush(self.heap, (self.now + waitMs, self.count, what))

    def do(self, effects):
        for effect in effects:
            if isinstance(effect, Write):
                tookMs = self.flushMs * (0.9 + 0.2 * self.rng.random())
                self.at(tookMs, "written", effect.entries[-1], tookMs)
            elif isinstance(effect, Send) and isinstance(effect.message, Durable):
                for place in effect.message.places:
                    assert place.position > self.durable.get(place.shard, 0)
                    self.durable[place.shard] = place.position
                    self.at(
                        0.2 + 0.2 * self.rng.random(), "section", place.shard, place.position + 1
                    )

    def run(self, untilMs):
        while self.heap and self.heap[0][0] <= untilMs:
            self.now, _, (kind, *facts) = heapq.heappop(self.heap)
            if kind == "written":
                self.d.lastWriteMs = facts[1]
                self.do(copying.on_written(self.g, self.now, facts[0].index, facts[0].term))
            elif kind == "section":
                shard, first = facts
                self.do(
                    desk.stage(
                        self.g,
                        self.d,
                        self.now,
                        f"pipe{shard}",
                        Section(shard, 1, book.RECORDS, first, (b"{}",)),
                    )
                )
            self.do(desk.settle(self.g, self.d, self.now))
            self.do(desk.write_due(self.g, self.d, self.now))
            wakeMs = desk.wake_at(self.g, self.d, self.now)
            if wakeMs is not None:
                self.at(max(0.001, wakeMs - self.now), "wake")

    def start(self, shards):
        for shard in range(shards):
            self.at(5.0 * shard, "section", shard, 1)


def steady(shards, flushMs, groupWait):
    table = Table(shards, flushMs, groupWait)
    table.start(shards)
    table.run(3000)
    return table


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
            section = Section(1, epoch, book.RECORDS, first, (b"{}",))
            told = desk.stage(table.g, table.d, 0.0, "p", section)[0].message
            self.assertIsInstance(told, Refused)
            self.assertThat(told.cause, Equals(cause))
        self.assertThat(table.d.staged, Equals([]))

    def test_a_grant_drops_staged_sections_but_not_those_in_flight(self):
        table = Table(2, 10.0)
        flying = Section(1, 1, book.RECORDS, 1, (b'{"k":"a"}',))
        table.do(desk.stage(table.g, table.d, 0.0, "old", flying))
        table.do(desk.write_due(table.g, table.d, 0.0))
        staged = Section(1, 1, book.RECORDS, 2, (b'{"k":"b"}',))
        table.do(desk.stage(table.g, table.d, 0.0, "old", staged))
        nodes = grants.Nodes(seen={"new": grants.Seen("n", "n.1", "counter", 0.0)})
        grants._grant(table.g, table.d, nodes, 1, "new")
        self.assertThat([s.kind for s in table.d.staged], Equals([book.GRANT]))
        late = desk.stage(table.g, table.d, 0.0, "old", staged)[0].message
        self.assertThat(late.cause, Equals("epoch"))
        ask = grants.RecoverPage(1, 2, 0, b"", 1, (), True)
        self.assertThat(
            grants.on_recover(table.g, table.d, "new", ask),
            Equals([]),
            "recovery waits for what the old holder has in flight",
        )
        table.run(100)
        page = grants.on_recover(table.g, table.d, "new", ask)[0].message
        self.assertThat((page.records, page.last), Equals(((b'{"k":"a"}',), True)))
        self.assertThat(table.d.next[1], Equals(2))

    def test_recovery_comes_in_pages(self):
        table = Table(1, 1.0)
        part = table.g.book.shards[0]
        part.records = [bytes(400_000)] * 7
        part.next = 8
        pages = [
            e.message
            for e in grants.on_recover(
                table.g, table.d, "c", grants.RecoverPage(0, 1, 0, b"", 0, (), True)
            )
        ]
        self.assertThat([len(p.records) for p in pages], Equals([2, 2, 2, 1]))
        self.assertThat([p.first for p in pages], Equals([1, 3, 5, 7]))
        self.assertThat([p.last for p in pages], Equals([False, False, False, True]))
