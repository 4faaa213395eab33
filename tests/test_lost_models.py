"""An engine that no longer holds what the ledger says is found out soon after a report
lacks it: until then callers are sent to an engine that refuses them."""

from placement import ledger
from simulation.placing import TERMS
from test_platform_asked import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, LessThan

# While nothing is in doubt, reports are asked for once in so many report times.
_CALM_REPORTS = 5
# From a report that lacks an item to the second: it must be asked for after the first came.
_SECOND_REPORTS = 2
_TICK_MS = 40.0


class Lost(TestCase):
    def until_known_ms(self, phase):
        """How long the ledger is wrong if an engine loses all, so many steps after a start."""
        floor = DemandScenario(1, engines=3)
        engine = floor.scene.engines["e0"]
        (model,) = engine.items
        for _ in range(100 + phase):
            floor.step()
        self.assertThat(ledger.is_loaded(floor.scene.p.ledger, "e0", model), Equals(True))
        engine.items, start_ms = set(), floor.scene.now_ms
        while ledger.is_loaded(floor.scene.p.ledger, "e0", model):
            floor.step()
        return floor.scene.now_ms - start_ms

    # The second report that has to lack an item came as late as one of an engine that is well.
    def test_the_second_report_follows_the_first(self):
        longest_ms = max(self.until_known_ms(phase) for phase in range(0, 60, 3))
        most_ms = (
            (_CALM_REPORTS + _SECOND_REPORTS) * TERMS.report_interval_ms
            + TERMS.lagMs
            + 2 * _TICK_MS
        )
        self.assertThat(longest_ms, LessThan(most_ms))

    def test_reports_are_seldom_again_afterwards(self):
        floor = DemandScenario(1, engines=3)
        floor.scene.engines["e0"].items = set()
        for _ in range(300):
            floor.step()
        floor.scene.calls.clear()
        for _ in range(300):
            floor.step()
        reports = [call for _, call in floor.scene.calls if call.engine == "e0"]
        calm = 300 * _TICK_MS / (_CALM_REPORTS * TERMS.report_interval_ms)
        self.assertThat(len(reports), LessThan(calm + 2))
