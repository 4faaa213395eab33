"""The replication group by itself: founding, replacing, terms, grants."""

from replication import election, state_machine
from replication import group as groups
from simulation import deployments
from simulation.sim import disk as disks
from simulation.sim import run
from simulation.sim import world as worlds
from testtools import TestCase
from testtools.matchers import Equals


def build(seed):
    return run._build(seed, deployments.SMALL, True)


class Bootstrap(TestCase):
    def test_founds_whatever_is_lost_at_first(self):
        """Half of all messages lost while the depots come up, at any order."""
        for seed in range(12):
            made = build(seed)
            made.world.network.loss = 0.5
            worlds.spin(made.world, 4000)
            made.world.network.loss = 0.0
            worlds.spin(made.world, 12000)
            self.assertIsNot(None, made.leader(), f"seed {seed}")
            members = {h.node.depot.group.group for n, h in made.world.hosts.items() if n[0] == "d"}
            self.assertThat(len(members), Equals(1), f"seed {seed}")

    def test_two_empty_depots_found_nothing(self):
        made = build(1)
        worlds.spin(made.world, 1)
        made.world.heap.clear()
        for name in ("d0", "d1", "c0", "c1"):
            worlds.boot(made.world, made.world.hosts[name])
        worlds.spin(made.world, 20000)
        self.assertThat(made.leader(), Equals(None))
        self.assertThat(
            [made.world.hosts[n].node.depot.group.group for n in ("d0", "d1")], Equals(["", ""])
        )

    def test_all_disks_lost_is_refused_while_anyone_remembers(self):
        made = build(2)
        worlds.spin(made.world, 8000)
        for name in ("d0", "d1", "d2"):
            host = made.world.hosts[name]
            worlds.kill(made.world, host)
            host.disk = disks.SimDisk()
            worlds.boot(made.world, host)
        worlds.spin(made.world, 30000)
        self.assertThat(made.leader(), Equals(None))


class Replacing(TestCase):
    def test_a_lost_depot_is_replaced_without_an_operator(self):
        for seed in range(4):
            made = build(seed)
            worlds.spin(made.world, 8000)
            lost = made.world.hosts[made.leader()]
            old = lost.node.depot.group.identity
            worlds.kill(made.world, lost)
            lost.disk = disks.SimDisk()
            made.move(lost)
            worlds.boot(made.world, lost)
            worlds.spin(made.world, 24000)
            members = groups.members(made.world.hosts[made.leader()].node.depot.group)
            self.assertThat(len(members), Equals(3), f"seed {seed}")
            self.assertNotIn(old, members)
            self.assertIn(lost.node.depot.group.identity, members)
            self.assertThat(
                {m.address for m in members.values()} >= {lost.config.address}, Equals(True)
            )

    def test_a_new_identity_never_votes(self):
        made = build(3)
        worlds.spin(made.world, 8000)
        lead = made.leader()
        lost, other = [n for n in ("d0", "d1", "d2") if n != lead]
        host = made.world.hosts[lost]
        worlds.kill(made.world, host)
        worlds.kill(made.world, made.world.hosts[lead])
        host.disk = disks.SimDisk()
        worlds.boot(made.world, host)
        worlds.spin(made.world, 30000)
        self.assertThat(made.leader(), Equals(None), "one old and one new are no majority")
        worlds.boot(made.world, made.world.hosts[lead])
        worlds.spin(made.world, 50000)
        self.assertIsNot(None, made.leader())


class Terms(TestCase):
    def test_a_named_successor_never_shows_the_old_leader(self):
        made = build(4)
        worlds.spin(made.world, 8000)
        lead = made.leader()
        follower = next(h for n, h in made.world.hosts.items() if n[0] == "d" and n != lead)
        group = follower.node.depot.group
        election.on_transfer_leadership(
            group, worlds.local(made.world, follower), election.TransferLeadership(group.term)
        )
        card = groups.group_card(group)
        self.assertThat((card.term, card.leader), Equals((2, "")))

    def test_epochs_never_go_back(self):
        made = state_machine.StateMachine()
        for epoch, wanted in ((1, 1), (1, 1), (3, 1), (2, 2), (1, 2)):
            state_machine.apply(made, state_machine.lease_section(5, epoch, f"c{epoch}", "i"), 1)
            self.assertThat(made.shards[5].epoch, Equals(wanted))
        stale = state_machine.BatchSection(5, 1, state_machine.RECORDS, 1, (b"{}",))
        self.assertFalse(state_machine.apply(made, stale, 2))
        gap = state_machine.BatchSection(5, 2, state_machine.RECORDS, 2, (b"{}",))
        self.assertFalse(state_machine.apply(made, gap, 2))
        self.assertTrue(
            state_machine.apply(
                made, state_machine.BatchSection(5, 2, state_machine.RECORDS, 1, (b"{}",)), 2
            )
        )
        self.assertThat(state_machine.restore(state_machine.snapshot(made)), Equals(made))
