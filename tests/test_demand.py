"""What callers ask for and are owed, and how long their requests are at engines."""

from adapter import engines
from placement import demand
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


class Owed(TestCase):
    def test_it_adds_up_fades_slowly_and_is_paid_at_once(self):
        d = demand.Demand()
        for n in range(5):
            demand.record_unserved(d, 4000.0 * n, "s", "m")
        self.assertThat(demand.unserved(d, 16000.0, "m"), GreaterThan(3.5))
        self.assertThat(demand.unserved(d, 16000.0, "m"), LessThan(5.0))
        self.assertThat(demand.unserved(d, 1e7, "m"), LessThan(0.001))
        demand.clear_unserved(d, "m")
        self.assertThat(demand.unserved(d, 16000.0, "m"), Equals(0.0))


class Run(TestCase):
    def learned(self, running, asked, seconds=60, start_s=0.6):
        d = demand.Demand(request_s=start_s)
        for n in range(seconds * 10):
            demand.learn_request_time(d, 100.0 * n, running, asked)
        return d.request_s

    def test_it_is_what_runs_by_what_is_asked(self):
        self.assertThat(abs(self.learned(30, 100.0) - 0.3), LessThan(0.01))
        self.assertThat(abs(self.learned(150, 100.0) - 1.5), LessThan(0.01))

    def test_few_askings_and_single_values_teach_little(self):
        self.assertThat(self.learned(50, 1.0), Equals(0.6))
        d = demand.Demand()
        demand.learn_request_time(d, 0.0, 20, 100.0)
        demand.learn_request_time(d, 10.0, 400, 100.0)
        self.assertThat(d.request_s, LessThan(0.65))

    def test_it_stays_within_bounds(self):
        self.assertThat(self.learned(0, 100.0), GreaterThan(0.09))
        self.assertThat(self.learned(10**6, 10.0), LessThan(4.01))


class Told(TestCase):
    def running(self, told):
        return engines.read_call("report", {"engine": "i"}, 200, told)["running"]

    def test_what_runs_and_waits_at_an_engine(self):
        self.assertThat(self.running(b'{"parcels": [], "inTransit": 7, "queued": 2}'), Equals(9))
        self.assertThat(self.running(b'{"parcels": [], "inTransit": 7}'), Equals(7))

    def test_an_engine_that_tells_nothing(self):
        for told in (b"{}", b'{"inTransit": "7"}', b'{"inTransit": true}', b'{"queued": 3}'):
            self.assertThat(self.running(told), Equals(None), str(told))
