"""The main faults on real processes: freezes, an empty machine, cut pipes."""

import signal
import tempfile

from simulation import deployments
from simulation.fleet import Fleet
from testtools import TestCase
from testtools.matchers import Equals

TASK = {"service": "guidance", "model": "m00", "prompt": "turn left at"}


class Faults(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet = Fleet(deployments.SMALL, tempfile.mkdtemp())
        self.addCleanup(fleet.stop_all)
        self.relay = fleet.relay("c2")
        fleet.start_all()
        fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        fleet.furnish("c1")
        for node in fleet.counters:
            fleet.until(lambda n=node: self.served(n))

    def served(self, node):
        return self.fleet.call(node, "POST", "/v1/task", TASK)[0] == 200

    def believes(self, node):
        return self.fleet.call(node, "GET", "/operator/believes")[1]

    def evacuate(self, node, evacuated):
        code, body = self.fleet.call(
            node, "POST", "/operator/zone", {"zone": "north", "evacuated": evacuated}
        )
        return body.get("stamp") if code == 200 else None

    def leader(self, ask="c0", but=None):
        def found():
            at = {a: n for n, a in self.fleet.address.items()}
            name = at.get(self.believes(ask).get("leader"))
            return name if name != but else None

        return self.fleet.until(found)

    def test_faults(self):
        self.frozen_leader()
        self.frozen_holder()
        self.empty_machine()
        self.planned_replacement()
        self.cut_counter()
        for name in self.fleet.engines:
            counts = self.fleet.call(name, "GET", "/counts")[1]
            self.assertThat(counts["overRoom"], Equals(0))
            self.assertTrue(all(n == 1 for n in counts["ran"].values()), name)

    def frozen_leader(self):
        """Another leads meanwhile; thawed, the old one follows and confirms nothing."""
        fleet, lead = self.fleet, self.leader()
        fleet.freeze(lead)
        new = self.leader("c0", but=lead)
        stamp = fleet.until(lambda: self.evacuate("c0", True))
        fleet.thaw(lead)
        fleet.until(lambda: self.believes(lead).get("stamp", 0) >= stamp)
        self.assertThat(self.believes(lead)["depot"]["role"], Equals("follower"))
        self.assertThat(self.leader(new), Equals(new))

    def frozen_holder(self):
        """Its shard goes to another; thawed, it holds nothing and orders nothing."""
        fleet = self.fleet
        shard = str(
            next(
                e["shard"]
                for e in fleet.call("c0", "GET", "/operator/read/engines")[1]["engines"]
                if e["name"] == "e0"
            )
        )
        old = self.believes("d0")["holders"][shard]
        others = [n for n in fleet.counters if n != old["holder"]]
        fleet.freeze(old["holder"])
        fleet.until(lambda: self.believes(others[0])["holders"][shard]["epoch"] > old["epoch"])
        fleet.until(lambda: self.served(others[1]))
        fleet.thaw(old["holder"])
        fleet.until(lambda: shard not in self.believes(old["holder"])["holds"])
        fleet.until(lambda: self.served(old["holder"]))

    def empty_machine(self):
        """A depot back empty at a new address is taken in; then another may go."""
        fleet = self.fleet
        lost = self.leader()
        stamp = fleet.until(lambda: self.evacuate("c1", False))
        old = self.believes(lost)["depot"]["identity"]
        fleet.kill(lost)
        fleet.wipe(lost)
        fleet.start(lost)

        def taken_in():
            members = {m["name"]: m for m in self.believes("c0")["members"]}
            return (
                members.get(lost, {}).get("address") == fleet.address[lost]
                and members[lost]["identity"] != old
                and len(members) == 3
            )

        fleet.until(taken_in)
        fleet.kill(next(n for n in fleet.depots if n != lost))
        self.assertTrue(fleet.until(lambda: self.evacuate("c0", False)) >= stamp)
        for name in fleet.depots:
            if name not in fleet.running:
                fleet.start(name)

    def planned_replacement(self):
        """The new machine first, then SIGTERM to the leader: it ends once the new one
        is a member in its place, and the group bears the loss of another at once."""
        fleet, lead = self.fleet, self.leader()
        identity = self.believes(lead)["depot"]["identity"]
        fleet.add_depot("d3")
        fleet.until(lambda: self.believes("d3").get("depot", {}).get("commit", 0) > 0)
        self.assertThat(fleet.kill(lead, signal.SIGTERM), Equals(0))

        def replaced():
            members = {m["name"]: m["identity"] for m in self.believes("d3")["depot"]["members"]}
            return len(members) == 3 and "d3" in members and identity not in members.values()

        fleet.until(replaced)
        second = next(n for n in fleet.depots if n in fleet.running and n != "d3")
        fleet.kill(second)
        fleet.until(lambda: self.evacuate("c0", False))
        fleet.start(second)

    def cut_counter(self):
        """A counter that hears nothing stops giving out work, and says when to
        come back; mended, it serves again."""
        fleet = self.fleet
        self.relay.set_open(False)

        def refuses():
            code, body = fleet.call("c2", "POST", "/v1/task", TASK)
            return (code, body.get("failure"), "retryMs" in body) == (503, "stale", True)

        fleet.until(refuses)
        self.assertTrue(self.served("c0"))
        self.relay.set_open(True)
        fleet.until(lambda: self.served("c2"))
