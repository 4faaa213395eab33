"""A node that is cut off from the majority while operators reach it."""

from adapter.dialect import DIALECT
from pulleyhitch.command_forwarding import Answered
from simulation.register.cluster import Cluster
from testtools import TestCase
from testtools.matchers import Equals


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
            views = [o for o in found[1:] if isinstance(o, Answered) and o.status == 200]
            self.assertThat(views, Equals([]), f"{moment_ms}")
