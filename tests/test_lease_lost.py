"""A lease that was staged but never committed doesn't end the lease of the current holder.

A leader refuses the old holder's records as soon as it stages the next lease.  If it loses its
majority before that lease is durable, the next leader knows only the old lease.  Its holder
must go on serving, since no other node gets the shard while the holder is in contact."""

from pulleyhitch import config as configs
from simulation import deployments
from simulation.sim import harm, run
from simulation.sim import world as worlds
from testtools import TestCase
from testtools.matchers import Equals
from transport import events as e

SEEDS = range(10)
ACKNOWLEDGE_MS = configs.Bounds().acknowledgeMs
# By then a new leader serves and its holders have recovered their shards.
SETTLED_MS = 8000.0


class Scene:
    """A simulated cluster with a leader and a holder of shard 0."""

    def __init__(self, seed):
        self.run = run._build(seed, deployments.SMALL, True)
        self.run.furnish()
        worlds.spin(self.run.world, 12000)
        self.leader, self.holder = self.run.leader(), self.run.holder(0)

    def host(self, name):
        return self.run.world.hosts[name]

    def spin(self, for_ms):
        worlds.spin(self.run.world, self.run.world.now_ms + for_ms)

    def silence_holder(self):
        """Disconnect the holder until the leader has staged a lease for another node; then
        reconnect it, and disconnect the leader from the other depots."""
        world = self.run.world
        self.disconnect_holder()
        self.change_here(self.holder)
        depot = self.host(self.leader).node.depot
        epoch = depot.group.state.shards[0].epoch
        for _ in range(60_000):
            worlds.spin(world, world.now_ms + 0.1)
            if depot.writer.epochs.get(0) != epoch:
                break
        worlds.heal(world)
        harm.lone_leader(self.run, self.leader, 2500.0)

    def disconnect_holder(self):
        others = [name for name in self.run.world.hosts if name != self.holder]
        for other in others:
            worlds.cut(self.run.world, self.holder, other)
            worlds.cut(self.run.world, other, self.holder)

    def layout(self):
        """Return a unique change of the layout."""
        section = {
            "routes": {f"x{self.run.world.now_ms:.0f}": {"service": self.run.deployment.service}}
        }
        return {
            "partner": self.run.deployment.name,
            "partial": True,
            "actor": self.run.deployment.name,
            "section": section,
        }

    def change_here(self, name):
        """Send a change to one node, without waiting for its result."""
        body = {**self.layout(), "change": "asked-here"}
        worlds.post(self.run.world, self.host(name), e.LocalRequest("here", "layout", body))

    def change(self):
        """Request a change; returns a list that gets the time until its acknowledgement."""
        requested_ms, acknowledged_ms = self.run.world.now_ms, []
        self.run.change(
            "layout",
            self.layout(),
            lambda answer: acknowledged_ms.append(self.run.world.now_ms - requested_ms),
        )
        return acknowledged_ms

    def lost(self):
        """Return whether the holder of shard 0, by the log, accepts no commands for it."""
        holder = self.run.holder(0)
        owner = self.host(holder).node.ownership.owners.get(0)
        return owner is None or owner.held.lost


class LeaseNeverCommitted(TestCase):
    def test_the_holder_goes_on_serving(self):
        unserved, refused = [], 0
        for seed in SEEDS:
            scene = Scene(seed)
            scene.silence_holder()
            scene.spin(300.0)
            owner = scene.host(scene.holder).node.ownership.owners.get(0)
            refused += owner is not None and owner.held.lost
            scene.spin(SETTLED_MS)
            acknowledged_ms = scene.change()
            scene.spin(ACKNOWLEDGE_MS)
            if not acknowledged_ms or scene.lost():
                unserved.append(seed)
        self.assertThat(unserved, Equals([]))
        self.assertThat(refused > 0, Equals(True), "no run brought the refusal about")


class ReleaseNeverReceived(TestCase):
    def test_a_stopping_holder_is_replaced_all_the_same(self):
        """A holder that stops takes no more commands.  If its release message is lost, the
        role in its later messages is enough for the leader to replace it."""
        late = []
        for seed in SEEDS:
            scene = Scene(seed)
            worlds.cut(scene.run.world, scene.holder, scene.leader)
            worlds.post(scene.run.world, scene.host(scene.holder), e.Shutdown())
            scene.spin(30.0)
            worlds.heal(scene.run.world)
            acknowledged_ms = scene.change()
            scene.spin(ACKNOWLEDGE_MS)
            if not acknowledged_ms:
                late.append(seed)
        self.assertThat(late, Equals([]))
