"""A short trial on real processes: the brief's faults under traffic, judged by
the simulator's checkers.  Both deployments' sizes: `pulleyhitch-simulation trial`."""

import tempfile

from simulation import deployments, trials
from simulation.fleet import Fleet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan


class Short(TestCase):
    def test_trial(self):
        """Under wall clocks that jump by hours, which must not matter."""
        fleet = Fleet(deployments.SMALL, tempfile.mkdtemp())
        self.addCleanup(fleet.stop_all)
        fleet.jumping = True
        fleet.start_all()
        fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        fleet.furnish()
        said = []
        self.assertThat(trials.run(fleet, list(trials.STEPS), said.append), Equals({}))
        self.assertThat(len(said), Equals(len(trials.STEPS) + 1))

    def test_its_records_can_go_red(self):
        """An engine's record of a task that ran twice is seen."""
        fleet = Fleet(deployments.SMALL, tempfile.mkdtemp())
        for name in fleet.engines:
            line = '{"k": "born", "atMs": 1.0, "incarnation": "i"}\n' + 2 * (
                '{"k": "begun", "atMs": 2.0, "task": "t1.x", "running": 1}\n'
            )
            (fleet.folder / f"{name}.history").write_text(line)
        trial = trials.Trial(fleet, lambda _: None)
        trial._last = ("zone", {}, "")
        found = trial._judge()
        self.assertThat(len(found["stream-runs-once"]), Equals(1))
        self.assertThat(len(trial.history.begun), GreaterThan(2))
