"""Cost of a depot's restart after hundreds of changes: bounded reading, records and disk."""

import random
import tempfile

from adapter import configuration
from configuration import documents
from replication import shard_log
from simulation import platform_made as made
from simulation.restart_cost import SingleDepot
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan
from transport import messages as m

READER = configuration.READER
ROUTES, CHANGES = 300, 500


class Restarting(TestCase):
    def setUp(self):
        super().setUp()
        self.read = 0

        def counting(reader_function):
            def read(item):
                self.read += 1
                return reader_function(item)

            return read

        reader = documents.Reader(
            READER.edition,
            READER.routes,
            READER.services,
            READER.tenants,
            READER.upsert,
            READER.remove,
            counting(READER.route),
            counting(READER.service),
            counting(READER.tenant),
        )
        self.depot = SingleDepot(tempfile.mkdtemp(), reader)
        self.depot.until(self.depot.serving)
        self.configuration_document = made.configuration(random.Random(1), 1, routes=ROUTES)
        self.send(0, self.configuration_document, False)

    def send(self, expect, document, partial=True):
        body = {"expect": expect, "written": document, "partial": partial}
        answer = self.depot.change({**body, "change": f"c{expect}"})
        self.assertThat(answer.status, Equals(200))

    def edit(self, edition, routes=1):
        numbers = random.Random(edition).sample(range(ROUTES), routes)
        edited = [
            {**self.configuration_document["routes"][n], "targetMs": edition} for n in numbers
        ]
        self.send(edition - 1, {"edition": edition, "upsert": {"routes": edited}})

    def test_hundreds_of_changes(self):
        for edition in range(2, CHANGES + 2):
            self.edit(edition)
        self.read = 0
        before = self.depot.node.cluster.registry
        restart = self.depot.restart()
        self.assertThat(self.depot.node.cluster.registry.sections, Equals(before.sections))
        self.assertThat(restart.records, LessThan(CHANGES + 3))
        self.assertThat(self.read, LessThan(4 * (ROUTES + 2 * CHANGES)))
        self.assertThat(restart.folder_bytes, LessThan(24 << 20))

    def test_large_changes_make_checkpoints(self):
        """Checkpoints are due by bytes too, long before there are thousands of records."""
        for edition in range(2, 60):
            self.edit(edition, routes=ROUTES)
        restart = self.depot.restart()
        self.assertThat(restart.checkpoint_bytes, GreaterThan(50_000))
        self.assertThat(restart.records, LessThan(20))

    def test_many_restarts_do_not_let_the_log_grow(self):
        """Records from before a restart count towards the next snapshot."""
        edition = 1
        for _ in range(12):
            for _ in range(8):
                edition += 1
                self.edit(edition, routes=ROUTES)
            restart = self.depot.restart()
        self.assertThat(self.depot.node.depot.group.snapshot_index, GreaterThan(0))
        self.assertThat(restart.folder_bytes, LessThan(24 << 20))


class HolderLog(TestCase):
    """The sections and checkpoints that a lease holder sends to the leader."""

    def setUp(self):
        super().setUp()
        self.card = m.NodeInfo("h", "depot", "z", "h", "h", "h.1")
        self.log = shard_log.ShardLog(1, 1, ready=True)

    def flush(self):
        effects = shard_log.flush(self.log, 0.0, self.card, "a")
        return [effect.message.section for effect in effects]

    def test_sections_and_bytes_in_flight_are_bounded(self):
        for _ in range(40):
            shard_log.append(self.log, bytes(400_000))
        sections = self.flush()
        sizes = [sum(len(r) for r in section.records) for section in sections]
        self.assertThat(max(sizes), LessThan((1 << 20) + 1))
        self.assertThat(sum(sizes), LessThan(6 << 20))
        while self.log.durable < 40:
            last = sections[-1].first + len(sections[-1].records) - 1
            shard_log.on_durable(self.log, m.ShardPosition(1, 1, last), 0.0)
            sections += self.flush()
        self.assertThat([s.first for s in sections][:3], Equals([1, 3, 5]))
        self.assertThat(sum(len(s.records) for s in sections), Equals(40))

    def test_a_checkpoint_is_made_while_records_are_always_in_flight(self):
        shard_log.append(self.log, b"0")
        for position in range(1, 51):
            shard_log.append(self.log, b"%d" % position)
            shard_log.on_durable(self.log, m.ShardPosition(1, 1, position), 0.0)
            if shard_log.checkpoint_due(self.log, 20):
                shard_log.prepare_checkpoint(self.log, b"state after %d" % (position + 1))
            sent = shard_log.send_checkpoint(self.log, 0.0, self.card, "a", 0, 3000.0)
            if sent:
                break
        section = sent[0].message.section
        self.assertThat((section.first, section.records), Equals((20, (b"state after 20",))))

    def test_a_checkpoint_is_sent_until_it_is_confirmed(self):
        for _ in range(20):
            shard_log.append(self.log, b"r")
        shard_log.on_durable(self.log, m.ShardPosition(1, 1, 20), 0.0)
        shard_log.prepare_checkpoint(self.log, b"state")

        def checkpoints_sent(now_ms, confirmed_at):
            return len(
                shard_log.send_checkpoint(self.log, now_ms, self.card, "a", confirmed_at, 3000.0)
            )

        counts = [
            checkpoints_sent(0.0, 0),
            checkpoints_sent(100.0, 0),
            checkpoints_sent(3000.0, 0),
            checkpoints_sent(3100.0, 20),
        ]
        self.assertThat(counts, Equals([1, 0, 1, 0]))
        self.assertThat((self.log.checkpoint_at, self.log.prepared), Equals((20, None)))
        self.assertThat(checkpoints_sent(9000.0, 20), Equals(0))
