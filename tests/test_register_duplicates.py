"""The same order again: after other changes, checkpoints, new holders, restarts, lost disks;
by two operators, by two nodes; beside a rival that is decided first."""

import dataclasses
import json
import random

from adapter import configuration
from adapter.dialect import DIALECT
from configuration import registry as registries
from simulation import platform_made as made
from simulation.register.cluster import ZONES, Cluster
from simulation.register.operators import Operators
from testtools import TestCase
from testtools.matchers import Equals
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request


class _Clustered(TestCase):
    """On whole clusters of real cores."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(31)

    def begin(self, seed, counters=1):
        self.cluster = Cluster(seed, DIALECT, counters=counters)
        self.operators = Operators(self.cluster)
        self.cluster.spin(4000)
        self.whole = made.configuration(self.rng, 3, routes=2)
        self.assertThat(self.put(self.whole, 0), Equals(200))
        return self.cluster

    def put(self, told, expect, method="PUT", for_ms=3000):
        """The outcome of a call that is given some time."""
        call = self.operators.change(method, told, expect)
        self.cluster.spin(for_ms)
        return call.outcome

    def order(self, zone, evacuated):
        call = self.operators.zone(zone, evacuated)
        self.cluster.spin(1500)
        return call.outcome

    def evacuated(self):
        call = self.operators.read_zones()
        self.cluster.spin(1500)
        return call.outcome

    def lose_the_answer(self, told, expect, method="PUT"):
        """Sent once, with no answer; whether it was taken shows later."""
        self.operators.lose_answer(method, told, expect)
        self.cluster.spin(1500)

    def changes(self, count, edition):
        for number in range(count):
            change = {"edition": edition + 1 + number, "upsert": {}, "remove": {}}
            self.assertThat(self.put(change, edition + number, "PATCH", 400), Equals(200))
        return edition + count


class Sent(_Clustered):
    """Configurations, sent again."""

    def test_after_other_changes_and_a_checkpoint(self):
        """Many changes, so that checkpoints replace the records."""
        self.begin(1)
        for host in self.cluster.world.hosts.values():
            host.node.placement_settings = dataclasses.replace(
                host.node.placement_settings, checkpoint_records=20
            )
        self.lose_the_answer({"edition": 4, "upsert": {}, "remove": {}}, 3, "PATCH")
        edition = self.changes(150, 4)
        holder = self.cluster.world.hosts[self.cluster.holder()].node.ownership.owners[0]
        self.assertTrue(holder.held.checkpoint_at > 0)
        self.assertThat(
            self.put({"edition": 4, "upsert": {}, "remove": {}}, 3, "PATCH"), Equals(200)
        )
        self.assertThat(self.put(self.whole, 0), Equals(200))
        self.assertThat(self.put(made.configuration(self.rng, 4), 3), Equals(412), "a rival")
        self.assertThat(self.operators.newest(), Equals(edition))
        self.assertTrue(self.operators.judge().linearizable)

    def test_after_a_new_holder_and_leader(self):
        cluster = self.begin(2)
        taken = made.configuration(self.rng, 8, routes=2)
        self.lose_the_answer(taken, 3)
        for name in (cluster.holder(), cluster.leader()):
            cluster.kill(name)
            cluster.spin(6000)
            self.assertThat(self.put(taken, 3), Equals(200), name)
            self.assertThat(self.put(made.configuration(self.rng, 8), 3), Equals(412), name)
            cluster.boot(name)
            cluster.spin(4000)
        self.assertTrue(self.operators.judge().linearizable)

    def test_after_all_were_started_again(self):
        for power in (False, True):
            cluster = self.begin(3)
            taken = made.configuration(self.rng, 8, routes=2)
            self.lose_the_answer(taken, 3)
            self.assertThat(self.order("zone-a", True), Equals(200))
            for name in cluster.names:
                cluster.kill(name, power)
            cluster.spin(500)
            cluster.heal()
            cluster.spin(6000)
            self.assertThat(self.put(taken, 3), Equals(200))
            self.assertThat(self.put(made.configuration(self.rng, 9), 3), Equals(412))
            self.assertThat(self.evacuated(), Equals({"zone-a"}))
            self.assertTrue(self.operators.judge().linearizable)

    def test_after_a_replaced_disk(self):
        """Each depot in turn comes back with an empty disk, until none of the first is left."""
        cluster = self.begin(4)
        taken = made.configuration(self.rng, 8, routes=2)
        self.lose_the_answer(taken, 3)
        for name in cluster.depots:
            cluster.kill(name)
            cluster.wipe(name)
            cluster.boot(name)
            cluster.spin(12000)
        self.assertThat(self.put(taken, 3), Equals(200))
        self.assertThat(self.put(made.configuration(self.rng, 8), 3), Equals(412))
        self.assertTrue(self.operators.judge().linearizable)

    def test_the_same_bytes_from_two_operators(self):
        """At the same moment, over all nodes: both are told that it is in force."""
        self.begin(5)
        for edition in range(4, 10):
            told = made.configuration(self.rng, edition, routes=1)
            calls = [self.operators.change("PUT", told, edition - 1) for _ in range(4)]
            self.cluster.spin(2000)
            self.assertThat([call.outcome for call in calls], Equals([200] * 4))
        self.assertTrue(self.operators.judge().linearizable)

    def test_the_same_content_written_otherwise(self):
        """Keys in another order, other blanks: that very configuration has been taken."""
        self.begin(6)
        told = made.configuration(self.rng, 4)
        self.assertThat(self.put(told, 3), Equals(200))
        turned = {key: told[key] for key in reversed(list(told))}
        self.assertThat(self.put(turned, 3), Equals(200))
        differs = {**told, "limits": {**told["limits"], "idleLimitMs": 15000.0}}
        self.assertThat(self.put(differs, 3), Equals(412))

    def test_rivals_under_one_number(self):
        """Eight at once, each sent by each operator until its answer is clear: one is taken."""
        for seed in range(10, 16):
            cluster = self.begin(seed)
            self.operators.loss = 0.5
            calls = [
                self.operators.change("PUT", made.configuration(self.rng, 7, routes=1), 3)
                for _ in range(7)
            ]
            if seed % 2:
                cluster.spin(self.rng.random() * 20)
                cluster.kill(cluster.holder() if seed % 4 == 1 else cluster.leader())
            cluster.spin(25000)
            outcomes = sorted(call.outcome for call in calls)
            self.assertThat(outcomes, Equals([200] + [412] * 6), str(seed))
            self.assertTrue(self.operators.judge().linearizable, str(seed))

    def test_undecided_while_its_rival_is_decided(self):
        """On the desk of a holder that is cut off; another takes a rival; the cut ends."""
        for seed in range(20, 26):
            cluster = self.begin(seed)
            holder = cluster.holder()
            cluster.cut_off(holder)
            cluster.spin(self.rng.random() * 500)
            self.operators.reach = [holder]
            mine = self.operators.change("PUT", made.configuration(self.rng, 7, routes=1), 3)
            cluster.spin(50)
            self.operators.reach = [n for n in cluster.depots if n != holder]
            rival = self.operators.change("PUT", made.configuration(self.rng, 7, routes=1), 3)
            cluster.spin(self.rng.random() * 8000)
            cluster.heal()
            self.operators.reach = list(cluster.names)
            cluster.spin(8000)
            self.assertThat(sorted([mine.outcome, rival.outcome]), Equals([200, 412]), str(seed))
            self.assertTrue(self.operators.judge().linearizable, str(seed))

    def test_one_that_came_before_the_edition_it_builds_on(self):
        """Both are on their way at once, and the later one is first at the holder."""
        self.begin(7)
        first = made.configuration(self.rng, 5, routes=1)
        second = made.configuration(self.rng, 9, routes=1)
        later = self.operators.change("PUT", second, 5)
        self.cluster.spin(60)
        sooner = self.operators.change("PUT", first, 3)
        self.cluster.spin(2000)
        self.assertThat([sooner.outcome, later.outcome], Equals([200, 200]))
        never = self.operators.change("PUT", made.configuration(self.rng, 20), 12)
        self.cluster.spin(2000)
        self.assertThat(never.outcome, Equals(412))
        self.assertTrue(self.operators.judge().linearizable)


class Zones(_Clustered):
    """Evacuations have no number and no id: POST and DELETE are sent again as they were."""

    def test_sent_again_after_another_s_withdrawal(self):
        self.begin(8)
        self.cluster.http("d0", "POST", "/evacuate/zone-a", None, None, lambda *_: None)
        self.cluster.spin(1500)
        self.assertThat(self.evacuated(), Equals({"zone-a"}))
        self.assertThat(self.order("zone-a", False), Equals(200))
        self.assertThat(self.order("zone-a", True), Equals(200))
        self.assertThat(self.evacuated(), Equals({"zone-a"}))

    def test_a_node_that_is_behind_never_refuses(self):
        """It hears nothing of the feed but reaches the holder: it knows an older state."""
        cluster = self.begin(9)
        behind = "c0"
        self.assertThat(self.order("zone-a", True), Equals(200))
        leader = cluster.leader()
        self.assertTrue(leader != cluster.holder())
        cluster.world.cuts.add((leader, behind))
        self.operators.reach = [n for n in cluster.depots]
        self.assertThat(self.order("zone-a", False), Equals(200))
        self.operators.reach = [behind]
        self.assertThat(self.order("zone-a", True), Equals(200))
        self.operators.reach = [n for n in cluster.depots]
        self.assertThat(self.evacuated(), Equals({"zone-a"}))

    def late_copy(self):
        """An order of a node whose commands are held up; sent again elsewhere and answered;
        withdrawn by another operator; then the held-up command arrives."""
        cluster = self.begin(10)
        cluster.hold_up("c0", cluster.holder(), 6000.0)
        self.operators.reach = ["c0"]
        evacuated = self.operators.zone("zone-a", True)
        cluster.spin(500)
        self.operators.reach = list(cluster.depots)
        cluster.spin(2500)
        self.assertThat(evacuated.outcome, Equals(200))
        self.assertThat(self.order("zone-a", False), Equals(200))
        cluster.spin(5000)
        return self.evacuated()

    def test_a_copy_that_comes_late_changes_nothing(self):
        self.assertThat(self.late_copy(), Equals(frozenset()))
        self.assertTrue(self.operators.judge().linearizable)

    def test_a_late_copy_is_seen(self):
        """The same without what guards against it."""
        real = registries.decide

        def decide(registry, verb, body):
            return real(registry, verb, {k: v for k, v in body.items() if k != "since"})

        self.patch(registries, "decide", decide)
        self.assertThat(self.late_copy(), Equals({"zone-a"}))
        self.assertFalse(self.operators.judge().linearizable)


class Table(TestCase):
    """The answers that are kept, against a long day."""

    def setUp(self):
        super().setUp()
        self.registry = registries.Registry(reader=configuration.READER, zonesKnown=ZONES)

    def send(self, told, expect, method="PATCH", data=None):
        data = data or json.dumps(told).encode()
        built = EnvironBuilder(
            "/config", method=method, data=data, headers={"If-Match": str(expect)}
        )
        verb, body = configuration.read_operator(Request(built.get_environ()))
        record, _, failure = registries.decide(self.registry, verb, body)
        if record is not None:
            registries.apply(self.registry, record)
        return failure.tag if failure else 200

    def test_a_long_day(self):
        """2,000 changes, as many refusals: the first is still confirmed, also when loaded."""
        rng = random.Random(3)
        whole = made.configuration(rng, 1, routes=1)
        self.assertThat(self.send(whole, 0, "PUT"), Equals(200))
        for edition in range(1, 2000):
            told = {"edition": edition + 1, "upsert": {}, "remove": {}}
            self.assertThat(self.send(told, edition), Equals(200))
            self.assertThat(self.send({**told, "rival": 1}, edition), Equals("stamp-stale"))
        for _ in range(2):
            self.assertThat(self.send(whole, 0, "PUT"), Equals(200))
            second = {"edition": 2, "upsert": {}, "remove": {}}
            self.assertThat(self.send(second, 1), Equals(200))
            self.registry = registries.load(
                registries.dump(self.registry), ZONES, configuration.READER
            )

    def test_refusals_never_push_out_what_was_taken(self):
        rng = random.Random(3)
        whole = made.configuration(rng, 1, routes=1)
        self.assertThat(self.send(whole, 0, "PUT"), Equals(200))
        for number in range(5000):
            told = {"edition": 2, "number": number, "upsert": {}, "remove": {}}
            self.assertThat(self.send(told, 7), Equals("stamp-stale"))
        self.assertThat(self.send(whole, 0, "PUT"), Equals(200))
