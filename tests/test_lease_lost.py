"""A lease that its leader staged and never got into the log takes nothing from the holder.

The leader refuses the old holder's records from the moment it stages the next lease.  If it
loses its majority before that lease is durable, the next leader knows only the old one,
and its holder must serve on: nobody else will be given the shard while it is heard of."""

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
    """A run in which `broken` strikes once a leader has staged shard 0's next lease."""

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
        """Cut the holder off until the leader has staged a lease for another node, and
        in that moment the leader from the other depots, the holder being back."""
        world = self.run.world
        self.cut_holder()
        self.change_here(self.holder)
        depot = self.host(self.leader).node.depot
        epoch = depot.group.state.shards[0].epoch
        for _ in range(60_000):
            worlds.spin(world, world.now_ms + 0.1)
            if depot.writer.epochs.get(0) != epoch:
                break
        worlds.heal(world)
        harm.lone_leader(self.run, self.leader, 2500.0)

    def cut_holder(self):
        others = [name for name in self.run.world.hosts if name != self.holder]
        for other in others:
            worlds.cut(self.run.world, self.holder, other)
            worlds.cut(self.run.world, other, self.holder)

    def layout(self):
        """A change of the layout that no other is like."""
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
        """A change that reaches one node, whatever becomes of it."""
        body = {**self.layout(), "change": "asked-here"}
        worlds.post(self.run.world, self.host(name), e.LocalRequest("here", "layout", body))

    def change(self):
        """Ask for a change; returns a list that gets the time of its acknowledgement."""
        asked_ms, told = self.run.world.now_ms, []
        self.run.change(
            "layout",
            self.layout(),
            lambda answer: told.append(self.run.world.now_ms - asked_ms),
        )
        return told

    def lost(self):
        """Nodes that hold shard 0 by the log and take no command for it."""
        holder = self.run.holder(0)
        owner = self.host(holder).node.ownership.owners.get(0)
        return owner is None or owner.held.lost


class LeaseNeverCommitted(TestCase):
    def test_the_holder_serves_on(self):
        unserved, refused = [], 0
        for seed in SEEDS:
            scene = Scene(seed)
            scene.silence_holder()
            scene.spin(300.0)
            owner = scene.host(scene.holder).node.ownership.owners.get(0)
            refused += owner is not None and owner.held.lost
            scene.spin(SETTLED_MS)
            told = scene.change()
            scene.spin(ACKNOWLEDGE_MS)
            if not told or scene.lost():
                unserved.append(seed)
        self.assertThat(unserved, Equals([]))
        self.assertThat(refused > 0, Equals(True), "no run brought the refusal about")


class ReleaseNeverHeard(TestCase):
    def test_a_stopping_holder_is_followed_all_the_same(self):
        """A holder that stops takes no more commands; if its release is lost on the way,
        what it says of itself while it goes on stopping is enough."""
        late = []
        for seed in SEEDS:
            scene = Scene(seed)
            worlds.cut(scene.run.world, scene.holder, scene.leader)
            worlds.post(scene.run.world, scene.host(scene.holder), e.Shutdown())
            scene.spin(30.0)
            worlds.heal(scene.run.world)
            told = scene.change()
            scene.spin(ACKNOWLEDGE_MS)
            if not told:
                late.append(seed)
        self.assertThat(late, Equals([]))
