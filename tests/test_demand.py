"""Unserved demand decays and is cleared; the time of a request at its engine is learned."""

from adapter import engines
from placement import demand
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


class Unserved(TestCase):
    def test_it_adds_up_decays_slowly_and_is_cleared_at_once(self):
        demand_state = demand.Demand()
        for n in range(5):
            demand.record_unserved(demand_state, 4000.0 * n, "s", "m")
        self.assertThat(demand.unserved(demand_state, 16000.0, "m"), GreaterThan(3.5))
        self.assertThat(demand.unserved(demand_state, 16000.0, "m"), LessThan(5.0))
        self.assertThat(demand.unserved(demand_state, 1e7, "m"), LessThan(0.001))
        demand.clear_unserved(demand_state, "m")
        self.assertThat(demand.unserved(demand_state, 16000.0, "m"), Equals(0.0))


class RequestTime(TestCase):
    def learned(self, running, asked, seconds=60, start_s=0.6):
        demand_state = demand.Demand(request_s=start_s)
        for n in range(seconds * 10):
            demand.learn_request_time(demand_state, 100.0 * n, running, asked)
        return demand_state.request_s

    def test_it_is_the_ratio_of_running_requests_to_arrivals(self):
        self.assertThat(abs(self.learned(30, 100.0) - 0.3), LessThan(0.01))
        self.assertThat(abs(self.learned(150, 100.0) - 1.5), LessThan(0.01))

    def test_few_requests_and_single_samples_change_little(self):
        self.assertThat(self.learned(50, 1.0), Equals(0.6))
        demand_state = demand.Demand()
        demand.learn_request_time(demand_state, 0.0, 20, 100.0)
        demand.learn_request_time(demand_state, 10.0, 400, 100.0)
        self.assertThat(demand_state.request_s, LessThan(0.65))

    def test_it_stays_within_bounds(self):
        self.assertThat(self.learned(0, 100.0), GreaterThan(0.09))
        self.assertThat(self.learned(10**6, 10.0), LessThan(4.01))


class ReportedRunning(TestCase):
    def running(self, told):
        return engines.read_call("report", {"engine": "i"}, 200, told)["running"]

    def test_requests_running_and_queued_at_an_engine(self):
        self.assertThat(self.running(b'{"parcels": [], "inTransit": 7, "queued": 2}'), Equals(9))
        self.assertThat(self.running(b'{"parcels": [], "inTransit": 7}'), Equals(7))

    def test_an_engine_that_reports_no_numbers(self):
        for told in (b"{}", b'{"inTransit": "7"}', b'{"inTransit": true}', b'{"queued": 3}'):
            self.assertThat(self.running(told), Equals(None), str(told))
