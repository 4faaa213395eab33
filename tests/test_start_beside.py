"""A process is started while the one before it still has its addresses or its data folder.

Guards against a start that fails at once, and again at each of the restarts that follow, since the
process before takes its whole grace period to stop.
"""

import errno
import json
import signal
import socket
import tempfile
from pathlib import Path

from pulleyhitch import config, startup
from pulleyhitch.signals import Request
from simulation.platform_fleet import PlatformFleet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport import failures

LIMIT_S = 60.0
GRACE_S = 8.0
TAKEN = startup.cannot_listen("127.0.0.1:1", OSError(errno.EADDRINUSE, "in use"))
FORBIDDEN = startup.cannot_listen("127.0.0.1:1", OSError(errno.EACCES, "forbidden"))
SETTINGS = {
    "name": "c0",
    "role": "counter",
    "zone": "x",
    "address": "127.0.0.1:1",
    "http": "127.0.0.1:2",
    "seeds": ["127.0.0.1:1"],
    "bounds": {"graceMs": int(1000 * GRACE_S)},
}


class Clock:
    """Time that passes while signals are awaited; a stop arrives at `stop_s`."""

    def __init__(self, stop_s=float("inf")):
        self.now_s, self.stop_s, self.stop_signal = 100.0, stop_s, ""

    def monotonic(self):
        return self.now_s

    def wait(self, timeout_s):
        self.now_s += timeout_s
        if self.now_s < self.stop_s:
            return None
        self.stop_signal = "SIGTERM"
        return Request.STOP


class Retried(TestCase):
    def retry(self, clock, opens):
        """What a resource gives that is opened as `opens()` tells at each try."""
        return startup.StartRetry(config.check(SETTINGS), clock, clock)(opens)

    def test_what_passes_is_awaited(self):
        clock = Clock()

        def opens():
            if clock.now_s < 100.0 + GRACE_S:
                raise TAKEN
            return "opened"

        self.assertThat(self.retry(clock, opens), Equals("opened"))

    def fails(self, clock, error):
        def opens():
            raise error

        return self.assertRaises(type(error), self.retry, clock, opens)

    def test_what_lasts_longer_than_the_grace_period_fails(self):
        clock = Clock()
        self.assertThat(self.fails(clock, TAKEN).failure, Equals(TAKEN.failure))
        self.assertThat(clock.now_s, GreaterThan(100.0 + GRACE_S))

    def test_what_does_not_pass_fails_at_once(self):
        clock = Clock()
        unwritable = startup.CannotStart(failures.FolderUnwritable("f", "c"))
        for error in (FORBIDDEN, unwritable):
            self.assertThat(self.fails(clock, error), Equals(error))
        self.assertThat(clock.now_s, Equals(100.0))

    def test_an_address_that_is_not_there_yet_passes(self):
        error = startup.cannot_listen("127.0.0.1:1", OSError(errno.EADDRNOTAVAIL, "none"))
        self.assertThat(error.passing, Equals(True))
        self.assertThat(error.failure.tag, Equals("address-unusable"))

    def test_a_stop_ends_the_wait(self):
        clock = Clock(stop_s=101.0)

        def opens():
            raise TAKEN

        self.assertRaises(startup.StopRequested, self.retry, clock, opens)
        self.assertThat(clock.stop_signal, Equals("SIGTERM"))


class RealProcesses(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = PlatformFleet(tempfile.mkdtemp(), 13, counters=1)
        self.addCleanup(self.fleet.stop_all)

    def lines(self, name, key):
        log = (Path(self.fleet.folder) / f"{name}.log").read_text(encoding="utf8")
        found = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
        return [line for line in found if key in line]

    def start(self, name):
        self.fleet.start(name)
        return self.fleet.running[name]

    def serving(self, name, times):
        self.fleet.until(lambda: len(self.lines(name, "up")) >= times, LIMIT_S)

    def test_the_next_process_serves_once_the_one_before_has_ended(self):
        for name in (self.fleet.counters[0], self.fleet.depots[0]):
            before = self.start(name)
            self.serving(name, 1)
            after = self.start(name)
            self.fleet.until(lambda: self.lines(name, "failure"), LIMIT_S)
            before.send_signal(signal.SIGTERM)
            self.assertThat(before.wait(LIMIT_S), Equals(0))
            self.serving(name, 2)
            self.assertThat(after.poll(), Equals(None))

    def test_a_stop_ends_a_process_that_waits_for_an_address(self):
        name = self.fleet.counters[0]
        host, port = self.fleet.address(name, "counter").split(":")
        with socket.create_server((host, int(port))):
            process = self.start(name)
            self.fleet.until(lambda: self.lines(name, "failure"), LIMIT_S)
            self.assertThat(self.fleet.kill(name, signal.SIGTERM), Equals(0))
        self.assertThat(process.poll(), Equals(0))
        self.assertThat(self.lines(name, "ends")[-1]["signal"], Equals("SIGTERM"))
