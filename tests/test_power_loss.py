"""Losses of power after a kill, elections between logs that differ, and replaced members.

The first two guard against faults that simulated days of the platform found: entries that were
read after a kill but lost with the power, and a newer log that couldn't win an election
because its term was older."""

import dataclasses
import os
import random
import tempfile
from pathlib import Path

from replication import disk as disks
from replication import election
from replication import group as groups
from simulation import deployments
from simulation.sim import disk as sim_disks
from simulation.sim import run
from simulation.sim import world as worlds
from testtools import TestCase
from testtools.matchers import Equals
from transport.effects import Send, Write
from transport.messages import Entry, Member, VoteReply, VoteRequest

TIMES = groups.GroupSettings(election_ms=480.0, heartbeat_ms=120.0, ping_ms=240.0, revoke_ms=3000.0)


def entries(first, last):
    return tuple(Entry(i, 1, b"e%d" % i) for i in range(first, last + 1))


class PowerLoss(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.synced = {}
        for name in ("fsync", "fdatasync"):
            self.patch(os, name, self._synced(getattr(os, name)))

    def _synced(self, real):
        def sync(handle):
            real(handle)
            self.synced[os.fstat(handle).st_ino] = os.fstat(handle).st_size

        return sync

    def segments(self):
        return sorted(self.folder.glob("log.*"))

    def lose_power(self):
        """Truncate each segment to what its last sync covered."""
        for path in self.segments():
            os.truncate(path, self.synced.get(path.stat().st_ino, 0))

    def open(self):
        found = disks.Disk(self.folder, 1 << 20)
        self.addCleanup(found._lock.close)
        return found

    def close(self, disk):
        disk._lock.close()

    def test_entries_read_after_a_kill_survive_a_loss_of_power(self):
        first = self.open()
        first.write(Write(entries(1, 3)))
        handle, at, data = first.reserve(Write(entries(4, 5)))
        os.pwrite(handle, data, at)
        self.close(first)
        second = self.open()
        self.assertThat([e.index for e in second.loaded.entries], Equals([1, 2, 3, 4, 5]))
        second.write(Write(entries(6, 7)))
        self.close(second)
        self.lose_power()
        third = self.open()
        self.assertThat([e.index for e in third.loaded.entries], Equals(list(range(1, 8))))

    def test_a_hole_between_segments_discards_unacknowledged_entries(self):
        disk = self.open()
        disk.write(Write(entries(1, 2), known=2))
        disk._segment_bytes = 0
        lost = disk.reserve(Write(entries(3, 3), known=2))
        kept = disk.reserve(Write(entries(4, 4), known=2))
        disk.write_reserved(kept)
        self.assertThat(lost[0] == kept[0], Equals(False))
        self.close(disk)
        self.lose_power()
        self.assertThat([e.index for e in self.open().loaded.entries], Equals([1, 2]))

    def test_a_hole_between_segments_in_acknowledged_entries_is_not_trusted(self):
        disk = self.open()
        disk.write(Write(entries(1, 2), known=2))
        disk._segment_bytes = 0
        disk.write(Write(entries(3, 3), known=2))
        disk.write(Write(entries(4, 4), known=3))
        self.close(disk)
        os.truncate(self.segments()[1], 0)
        self.assertRaises(disks.DiskError, self.open)


def depot(name, last, term):
    found = groups.Replica(name, name, name, TIMES, random.Random(ord(name[0])))
    found.group, found.term = "g", term
    found.founders = tuple(Member(n, n, n) for n in "abc")
    found.log = list(entries(1, last))
    found.synced = last
    return found


class Elections(TestCase):
    def deliver(self, nodes, now_ms, effects, sender):
        queue = [(sender, e) for e in effects]
        while queue:
            origin, effect = queue.pop(0)
            if not isinstance(effect, Send) or effect.to not in nodes:
                continue
            node, message = nodes[effect.to], effect.message
            if isinstance(message, VoteRequest):
                found = election.on_vote_request(node, now_ms, origin, message)
            elif isinstance(message, VoteReply):
                found = election.on_vote_reply(node, now_ms, message)
            else:
                found = []
            queue += [(effect.to, e) for e in found]

    def test_the_newer_log_wins_although_its_term_is_older(self):
        for ahead in range(1, 6):
            nodes = {"a": depot("a", 10, 2 + ahead), "b": depot("b", 12, 2)}
            now_ms = 0.0
            while now_ms < 20 * TIMES.election_ms and "leader" not in [
                n.role for n in nodes.values()
            ]:
                for name, node in nodes.items():
                    self.deliver(nodes, now_ms, election.tick(node, now_ms), name)
                now_ms += 20
            self.assertThat(nodes["b"].role, Equals("leader"), f"{ahead} terms ahead")


class Replacing(TestCase):
    def test_a_new_depot_of_another_name_replaces_the_silent_member(self):
        for seed in range(3):
            made = run._build(seed, deployments.SMALL, True)
            worlds.spin(made.world, 8000)
            lead = made.leader()
            lost = made.world.hosts[next(n for n in ("d0", "d1", "d2") if n != lead)]
            identity = lost.node.depot.group.identity
            worlds.kill(made.world, lost)
            made.world.by_address.pop(lost.config.address)
            config = dataclasses.replace(
                lost.config, name="d9", address="10.9.9.9:1", listen="10.9.9.9:1", founds=False
            )
            fresh = worlds.Host("d9", config, sim_disks.SimDisk())
            made.world.hosts["d9"] = fresh
            worlds.boot(made.world, fresh)
            worlds.spin(made.world, made.world.now_ms + 4000)
            members = groups.members(made.world.hosts[made.leader()].node.depot.group)
            self.assertThat(len(members), Equals(3), f"seed {seed}")
            self.assertNotIn(identity, members)
            self.assertIn(fresh.node.depot.group.identity, members)
