"""What a process prints tells each start and each end apart by its cause.

Guards against ends that leave nothing to tell a signal, a setting, an address and a broken core
apart.
"""

import io
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

import test_start_beside
from pulleyhitch import config, lifecycle
from replication.disk import Disk
from simulation.platform_fleet import PlatformFleet
from testtools import TestCase
from testtools.matchers import Contains, ContainsDict, Equals, GreaterThan

LIMIT_S = 60.0


class Lines(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = PlatformFleet(tempfile.mkdtemp(), 7, counters=1)
        self.addCleanup(self.fleet.stop_all)
        self.counter, self.depot = self.fleet.counters[0], self.fleet.depots[0]

    def lines(self, name, key):
        """The lines of a process's log that have this key."""
        log = (Path(self.fleet.folder) / f"{name}.log").read_text(encoding="utf8")
        found = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
        return [line for line in found if key in line]

    def start(self, name):
        """Start a process and return the line that it prints when it serves."""
        before = len(self.lines(name, "up")) if name in self.fleet.started_ms else 0
        self.fleet.start(name)
        self.fleet.until(lambda: len(self.lines(name, "up")) > before, LIMIT_S)
        return self.lines(name, "up")[-1]

    def end(self, name, number):
        """The last line of a process that gets a signal."""
        self.fleet.kill(name, number)
        return self.lines(name, "ends")[-1]

    def test_a_start_names_interpreter_and_machine_and_how_long_it_took(self):
        line = self.start(self.counter)
        expected = {"machine": Equals(os.uname().machine), "startMs": GreaterThan(0)}
        self.assertThat(line, ContainsDict(expected))
        self.assertIn("python", line)

    def test_a_stop_names_its_signal(self):
        self.start(self.counter)
        line = self.end(self.counter, signal.SIGTERM)
        expected = {"ends": Equals(self.counter), "exit": Equals(0), "signal": Equals("SIGTERM")}
        self.assertThat(line, ContainsDict(expected))
        self.assertThat(line["upMs"], GreaterThan(0))

    def test_a_start_that_fails_names_its_failure(self):
        self.start(self.counter)
        self.fleet.kill(self.counter)
        settings = Path(self.fleet.folder) / f"{self.counter}.json"
        document = json.loads(settings.read_text(encoding="utf8"))
        document["ip"] = document["bindings"]["counter"] = "no address"
        self.patch(self.fleet, "_settings", lambda name: settings)
        settings.write_text(json.dumps(document), encoding="utf8")
        self.fleet.start(self.counter)
        self.assertThat(self.fleet.running[self.counter].wait(LIMIT_S), Equals(2))
        line = self.lines(self.counter, "ends")[-1]
        self.assertThat((line["exit"], line["failure"]), Equals((2, "config-wrong")))

    def test_a_depot_tells_how_its_last_run_ended(self):
        self.assertThat(self.start(self.depot)["previousEnd"], Equals(""))
        self.fleet.kill(self.depot, signal.SIGKILL)
        self.assertThat(self.start(self.depot)["previousEnd"], Equals("running"))
        self.end(self.depot, signal.SIGTERM)
        self.assertThat(self.start(self.depot)["previousEnd"], Equals("SIGTERM"))


class BrokenStart(TestCase):
    def test_a_start_that_breaks_names_the_error(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.patch(lifecycle, "Process", lambda *_: 1 / 0)
        printed = self.patch_stderr()
        node = config.check(test_start_beside.SETTINGS)
        self.assertThat(lifecycle.run(node), Equals(4))
        line = json.loads(printed.getvalue().splitlines()[-1])
        self.assertThat((line["failure"], line["exit"]), Equals(("core-broke", 4)))
        self.assertThat(line["error"], Contains("ZeroDivisionError"))

    def patch_stderr(self):
        printed = io.StringIO()
        self.patch(sys, "stderr", printed)
        return printed


class PreviousEnd(TestCase):
    def test_a_disk_that_takes_nothing_does_no_harm(self):
        folder = Path(tempfile.mkdtemp())
        disk = Disk(folder, 1 << 20)
        disk._lock._file.close()
        # Writing to a closed file raises ValueError, to a full disk OSError.
        disk._lock._file = open("/dev/full", "r+b", buffering=0)
        disk.record_end("SIGTERM")
        disk._lock._file.close()
