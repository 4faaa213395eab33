"""A node that is cut off from the majority while operators reach it: from the cut on no old
read, no refusal and no yes, but a word that it can't tell, before operators tire of waiting."""

import json
import random

from adapter.dialect import DIALECT
from pulleyhitch.command_forwarding import CommandResult
from simulation import platform_made as made
from simulation.register.cluster import Cluster
from simulation.register.model import State, canonical
from simulation.register.operators import Operators
from testtools import TestCase
from testtools.matchers import Equals, LessThan

PATIENCE_MS = 1000.0
ROLES = ("leader", "holder", "follower", "counter")
# Just after the cut; the lease running; the lease over; known to be cut off; long after.
MOMENTS_MS = (0.0, 20.0, 400.0, 1200.0, 1700.0, 3000.0, 19000.0)


class CutOff(TestCase):
    def setUp(self):
        super().setUp()
        self.answers = []

    def cluster(self, seed):
        cluster = Cluster(seed, DIALECT)
        cluster.spin(4000)
        self.rng = random.Random(seed)
        self.whole = made.configuration(self.rng, 3)
        self.call(cluster, "d0", "PUT", "/config", self.whole, 0)
        cluster.spin(1500)
        self.assertThat(self.answers.pop()[1], Equals(200))
        return cluster

    def call(self, cluster, name, method, path, told=None, match=None):
        at_ms = cluster.now_ms
        data = json.dumps(told) if told is not None else None
        what = f"{method} {path} on {match}"

        def answered(status, body):
            self.answers.append((what, status, cluster.now_ms - at_ms))

        cluster.http(name, method, path, data, match, answered)

    def by_role(self, cluster, role):
        leader, holder = cluster.leader(), cluster.holder()
        other = next(name for name in cluster.depots if name not in (leader, holder))
        return {"leader": leader, "holder": holder, "follower": other, "counter": "c0"}[role]

    def all_calls(self, cluster, name):
        """Everything that an operator may send: new, taken already, stale, invalid."""
        self.call(cluster, name, "GET", "/config")
        self.call(cluster, name, "PATCH", "/config", made.patch(self.rng, self.whole, 8), 3)
        self.call(cluster, name, "PUT", "/config", made.configuration(self.rng, 8), 3)
        self.call(cluster, name, "PUT", "/config", made.configuration(self.rng, 8), 2)
        self.call(cluster, name, "PUT", "/config", made.configuration(self.rng, 2), 3)
        self.call(cluster, name, "PUT", "/config", self.whole, 0)
        self.call(cluster, name, "POST", "/evacuate/zone-a")
        self.call(cluster, name, "DELETE", "/evacuate/zone-b")
        return 8

    def test_every_call_at_every_moment(self):
        for role in ROLES:
            for moment_ms in MOMENTS_MS:
                cluster = self.cluster(11)
                name = self.by_role(cluster, role)
                cluster.cut_off(name)
                cluster.spin(moment_ms)
                sent = self.all_calls(cluster, name)
                cluster.spin(PATIENCE_MS)
                found, self.answers = self.answers, []
                where = f"{role} {moment_ms}: {found}"
                self.assertThat(len(found), Equals(sent), where)
                self.assertThat({status for _, status, _ in found}, Equals({503}), where)
                self.assertThat(max(ms for _, _, ms in found), LessThan(PATIENCE_MS), where)

    def test_where_it_is_known_the_answer_comes_soon(self):
        for role in ROLES:
            cluster = self.cluster(12)
            name = self.by_role(cluster, role)
            cluster.cut_off(name)
            cluster.spin(2000)
            self.all_calls(cluster, name)
            cluster.spin(PATIENCE_MS)
            found, self.answers = self.answers, []
            self.assertThat(max(ms for _, _, ms in found), LessThan(300.0), f"{role} {found}")

    def test_others_have_gone_on_meanwhile(self):
        """The cut-off one, asked again and again, never tells what was before; after the
        cut it tells what is."""
        for role in ROLES:
            cluster = self.cluster(13)
            name = self.by_role(cluster, role)
            others = [other for other in cluster.depots if other != name]
            operators = Operators(cluster)
            cluster.cut_off(name)
            operators.reach = others
            later = made.configuration(self.rng, 9)
            taken = operators.change("PUT", later, 3)
            evacuated = operators.zone("zone-a", True)
            cluster.spin(6000)
            self.assertThat([taken.outcome, evacuated.outcome], Equals([200, 200]), role)
            operators.reach = [name]
            read = operators.read()
            again = operators.change("PUT", later, 3)
            rival = operators.change("PUT", made.configuration(self.rng, 9), 3)
            restored = operators.zone("zone-a", False)
            cluster.spin(12000)
            calls = [read, again, rival, restored]
            self.assertThat([call.outcome for call in calls], Equals([None] * 4), role)
            self.assertThat({s for call in calls for s in call.statuses}, Equals({503}), role)
            cluster.heal()
            cluster.spin(4000)
            self.assertThat(read.outcome[0], Equals(9), role)
            self.assertThat([c.outcome for c in calls[1:]], Equals([200, 412, 200]), role)

    def test_a_holder_whose_thread_stood_still(self):
        """Frozen with an order on its desk while another became holder and took a rival."""
        for frozen_ms in (300.0, 1000.0, 2500.0, 6000.0):
            cluster = self.cluster(14)
            name = cluster.holder()
            operators = Operators(cluster)
            operators.reach = [name]
            cluster.freeze(name)
            mine = operators.change("PUT", made.configuration(self.rng, 9), 3)
            cluster.spin(10)
            operators.reach = [other for other in cluster.depots if other != name]
            rival = operators.change("PUT", made.configuration(self.rng, 9), 3)
            cluster.spin(frozen_ms)
            cluster.thaw(name)
            cluster.spin(8000)
            operators.reach = [name]
            read = operators.read()
            cluster.spin(3000)
            self.assertThat(sorted([mine.outcome, rival.outcome]), Equals([200, 412]))
            self.assertThat(read.outcome[0], Equals(9))
            before = State(3, canonical(self.whole))
            self.assertTrue(operators.judge(before).linearizable, f"{frozen_ms}")

    def test_the_product_s_own_interface(self):
        """Its reads and orders, and the log node's view of everyone, wait for a majority too."""
        for role in ROLES:
            cluster = self.cluster(15)
            name = self.by_role(cluster, role)
            cluster.cut_off(name)
            asked = [
                ("read", {"what": "layout"}),
                ("read", {"what": "zones"}),
                ("zone", {"zone": "zone-a", "evacuated": True}),
                ("zone", {"zone": "zone-a", "evacuated": False, "expect": 0}),
                ("layout", {"partner": "p", "actor": "p", "section": {}}),
                ("layout", {"partner": "p", "actor": "q", "section": {}}),
                ("engines", {"engines": []}),
                ("fleet", {}),
            ]
            found = []
            for verb, body in asked:
                cluster.ask(name, verb, body, found.append)
            cluster.spin(PATIENCE_MS)
            self.assertThat(len(found), Equals(len(asked)), f"{role} {found}")
            self.assertThat({outcome.status for outcome in found}, Equals({503}), f"{role} {found}")


class Fleet(TestCase):
    def test_a_leader_that_was_cut_off_tells_no_old_view(self):
        """From the cut on, also before it has noticed."""
        for moment_ms in (0.0, 20.0, 400.0):
            cluster = Cluster(15, DIALECT)
            cluster.spin(4000)
            found, leader = [], cluster.leader()
            cluster.ask(leader, "fleet", {}, found.append)
            cluster.spin(1000)
            self.assertThat([outcome.status for outcome in found], Equals([200]))
            cluster.cut_off(leader)
            cluster.spin(moment_ms)
            cluster.ask(leader, "fleet", {}, found.append)
            cluster.spin(1000)
            views = [o for o in found[1:] if isinstance(o, CommandResult) and o.status == 200]
            self.assertThat(views, Equals([]), f"{moment_ms}")
