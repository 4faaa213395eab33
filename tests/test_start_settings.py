"""A process is started while its settings file is being written.

Guards against a start that ends with exit 2 since it read half of a file that was whole a moment
later.
"""

import json
import os
import tempfile
from pathlib import Path

from adapter import settings
from pulleyhitch import startup
from pulleyhitch.config import Config
from simulation.platform_fleet import PlatformFleet
from test_platform_settings import SETTINGS
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import failures

WHOLE = json.dumps(SETTINGS).encode()
LIMIT_S = 60.0


class Clock:
    """Time that passes in sleeps; `at_s` maps times to what happens then."""

    def __init__(self, happens=()):
        self.now_s, self._happens = 0.0, sorted(happens)

    def monotonic(self):
        return self.now_s

    def sleep(self, pause_s):
        self.now_s += pause_s
        while self._happens and self._happens[0][0] <= self.now_s:
            self._happens.pop(0)[1]()


class Reading(TestCase):
    def setUp(self):
        super().setUp()
        self.path = Path(tempfile.mkdtemp()) / "node.json"
        self.patch(os, "environ", {**os.environ, "PULLEYHITCH_BOOT": str(self.path)})

    def read(self, clock):
        return startup.read_when_whole(lambda: settings.read("counter"), clock)

    def test_a_file_that_becomes_whole(self):
        """Whatever part of it was written first, and also if it wasn't there."""
        for length in (0, 1, len(WHOLE) // 2, len(WHOLE) - 1):
            self.path.write_bytes(WHOLE[:length])
            clock = Clock([(0.5, lambda: self.path.write_bytes(WHOLE))])
            self.assertIsInstance(self.read(clock), Config, length)
        self.path.unlink()
        clock = Clock([(0.5, lambda: self.path.write_bytes(WHOLE))])
        self.assertIsInstance(self.read(clock), Config)

    def test_a_file_that_stays_half_is_refused_after_a_while(self):
        self.path.write_bytes(WHOLE[:100])
        clock = Clock()
        self.assertThat(self.read(clock).field, Equals(failures.WHOLE_FILE))
        self.assertThat(clock.now_s, LessThan(3.0))

    def test_a_wrong_field_is_refused_at_once(self):
        self.path.write_text(json.dumps({**SETTINGS, "ip": "nowhere"}), encoding="utf8")
        clock = Clock()
        self.assertIsInstance(self.read(clock), failures.ConfigWrong)
        self.assertThat(clock.now_s, Equals(0.0))


class RealProcess(TestCase):
    def test_it_serves_once_the_file_is_whole(self):
        fleet = PlatformFleet(tempfile.mkdtemp(), 17, counters=1)
        self.addCleanup(fleet.stop_all)
        name = fleet.counters[0]
        fleet.start(name)
        log = Path(fleet.folder) / f"{name}.log"
        process = fleet.running[name]
        with fleet.half_of_settings(name):
            fleet.until(lambda: "config-wrong" in log.read_text(encoding="utf8"), LIMIT_S)
        fleet.until(lambda: process.poll() is not None or '"up"' in log.read_text("utf8"), LIMIT_S)
        self.assertThat(process.poll(), Equals(None), log.read_text("utf8"))
