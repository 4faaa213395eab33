"""Callers in line for a model that an engine is loading already, in router and placer."""

from placement import floor as floors
from placement import ledger
from routing import router, waiting_line
from test_platform_asked import Floor
from testtools import TestCase
from testtools.matchers import Equals

_LOAD_S = 2.8
# Later than callers wait for whom nothing has begun, and before the load is done.
_SHORT_OF_LOAD_S = 2.5
_DEADLINE_MS = 5000.0
_TICKS_PER_S = 25


class WaitWhileComing(TestCase):
    def setUp(self):
        super().setUp()
        self.placed = Floor(1, loadS=_LOAD_S)
        self.pass_time(2.0)
        self.model = next(i for i in self.placed.items if "/" not in i and not self.placed.up(i))

    def wait(self, told):
        """A task of the model, in line at the placer."""
        now_ms = self.placed.scene.now_ms
        task = router.Task(
            "t",
            "t",
            self.placed.name,
            self.model,
            "",
            "rank0",
            "",
            False,
            True,
            now_ms + _DEADLINE_MS,
            since_ms=now_ms,
            told=told,
        )
        hold = waiting_line.hold(floors.Floor(4), task, now_ms)
        self.placed.scene.command("hold", {**hold.body, "node": "c0", "life": "l"})
        return task

    def pass_time(self, seconds):
        for _ in range(int(seconds * _TICKS_PER_S)):
            self.placed.scene.step()

    def in_line(self, task):
        return task.id in self.placed.scene.p.ledger.holds

    # Guards against a caller refused in the middle of a load that would be done in time: the
    # placer took it out of line at the limit of callers for whom nothing has begun.
    def test_stays_in_line_until_a_load_under_way_is_done(self):
        task = self.wait(told=True)
        self.pass_time(_SHORT_OF_LOAD_S)
        self.assertTrue(ledger.coming(self.placed.scene.p.ledger, {self.model}))
        self.assertTrue(self.in_line(task))
        self.pass_time(1.0)
        self.assertTrue(self.placed.up(self.model))

    def test_leaves_the_line_before_its_deadline_all_the_same(self):
        for told in (True, False):
            task = self.wait(told)
            for engine in self.placed.scene.engines.values():
                engine.loadMs = 1e9
            self.pass_time(_DEADLINE_MS / 1000 + 0.1)
            self.assertFalse(self.in_line(task))

    def test_a_hold_of_an_earlier_version_leaves_at_its_only_limit(self):
        task = self.wait(told=True)
        hold = {k: v for k, v in self.placed.scene.p.ledger.holds[task.id].items()}
        del hold["comingMs"]
        self.placed.scene.p.ledger.holds[task.id] = hold
        self.pass_time(hold["waitMs"] / 1000 - 0.1)
        self.assertThat(self.in_line(task), Equals(True))
        self.pass_time(0.2)
        self.assertThat(self.in_line(task), Equals(False))
