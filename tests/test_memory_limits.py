"""Real processes under the largest requests, responses and configurations that the platform allows:
each stays within its memory limit, and none ends.  `pulleyhitch-simulation memory` runs longer."""

import testtools
from simulation.memory.run import measure
from testtools.matchers import Equals

SEED = 3


class MemoryLimits(testtools.TestCase):
    def assert_within_limits(self, load, count):
        report = measure(load, SEED, count)
        self.assertThat(report.broken, Equals([]), str(report))
        return report

    # FAULT: counters ended (SIGKILL) under large responses; each was collected whole.
    def test_counters_under_large_responses(self):
        self.assert_within_limits("responses", 40)

    # FAULT: counters ended after some tens of large requests, one after the other.
    def test_counters_under_large_requests_one_by_one(self):
        report = self.assert_within_limits("one-by-one", 160)
        self.assertThat(report.statuses, Equals({200: 160}))

    # FAULT: depots held each change decoded several times; up to 317 MB in a longer run.
    def test_depots_under_large_configurations(self):
        self.assert_within_limits("configurations", 24)
