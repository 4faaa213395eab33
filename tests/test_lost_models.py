"""An engine that no longer holds a model of the ledger is detected soon after a report lacks it.
Until then, requests are sent to an engine that refuses them.
"""

from placement import ledger
from simulation.placing import TERMS
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Equals, LessThan

# Without uncertain states, a report is requested once in so many report intervals.
_CALM_REPORTS = 5
# From a report that lacks an item to the second, which must be requested after the first came.
_SECOND_REPORTS = 2
_TICK_MS = 40.0


class MissingModels(TestCase):
    def until_known_ms(self, phase):
        """How long the ledger is wrong if an engine loses all items `phase` steps after a start."""
        scenario = DemandScenario(1, engines=3)
        engine = scenario.scene.engines["e0"]
        (model,) = engine.items
        for _ in range(100 + phase):
            scenario.step()
        self.assertThat(ledger.is_loaded(scenario.scene.p.ledger, "e0", model), Equals(True))
        engine.items, start_ms = set(), scenario.scene.now_ms
        while ledger.is_loaded(scenario.scene.p.ledger, "e0", model):
            scenario.step()
        return scenario.scene.now_ms - start_ms

    # Guards against a second report at the long interval of an engine with no uncertain states.
    def test_the_second_report_follows_the_first(self):
        longest_ms = max(self.until_known_ms(phase) for phase in range(0, 60, 3))
        most_ms = (
            (_CALM_REPORTS + _SECOND_REPORTS) * TERMS.report_interval_ms
            + TERMS.lagMs
            + 2 * _TICK_MS
        )
        self.assertThat(longest_ms, LessThan(most_ms))

    def test_reports_become_infrequent_again(self):
        scenario = DemandScenario(1, engines=3)
        scenario.scene.engines["e0"].items = set()
        for _ in range(300):
            scenario.step()
        scenario.scene.calls.clear()
        for _ in range(300):
            scenario.step()
        reports = [call for _, call in scenario.scene.calls if call.engine == "e0"]
        calm = 300 * _TICK_MS / (_CALM_REPORTS * TERMS.report_interval_ms)
        self.assertThat(len(reports), LessThan(calm + 2))
