"""Log lines for a reader that doesn't read.

Guards against a process that doesn't start, or stands still, since the pipe that takes its log is
full: the thread that logged, in the end the one that decides, waited for the reader.
"""

import io
import os
import signal
import tempfile
import threading
from pathlib import Path

from simulation import platform_fleet
from simulation.platform_fleet import PlatformFleet
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan
from transport.log_ring import LogRing
from transport.log_stream import LogStream

LIMIT_S = 60.0
LINE = "x" * 200 + "\n"


def full_pipe(test):
    """(reading end, writing end) of a pipe that takes nothing more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while os.write(writer, b"." * 4096):
            pass
    except BlockingIOError:
        os.set_blocking(writer, True)
    test.addCleanup(os.close, reader)
    return reader, writer


class FullPipe(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, writer = full_pipe(self)
        self.file = os.fdopen(writer, "w")
        self.addCleanup(self.file.close)

    def in_time(self, call):
        """Call, and fail if that waits for the reader."""
        thread = threading.Thread(target=call, daemon=True)
        thread.start()
        thread.join(LIMIT_S)
        self.assertThat(thread.is_alive(), Equals(False))

    def read_all(self):
        os.set_blocking(self.reader, False)
        found = b""
        try:
            while chunk := os.read(self.reader, 1 << 16):
                found += chunk
        except BlockingIOError:
            pass
        return found

    def test_lines_are_dropped_until_there_is_room(self):
        stream = LogStream(self.file)
        self.in_time(lambda: [stream.write(LINE) for _ in range(2000)])
        self.assertThat(stream.dropped, Equals(2000))
        self.read_all()
        stream.write("here\n")
        self.assertThat(self.read_all(), Equals(b"here\n"))

    def test_a_line_longer_than_the_pipe_is_cut(self):
        stream = LogStream(self.file)
        self.read_all()
        self.in_time(lambda: stream.write("y" * (1 << 20)))
        self.assertThat(stream.dropped, Equals(1))
        self.assertThat(len(self.read_all()), GreaterThan(4096))

    def test_the_ring_goes_on(self):
        ring = LogRing("n", stream=self.file)

        def log():
            for number in range(50):
                ring.log("event", {"number": number}, urgent=True)
            ring.log("stops", {}, dump_reason="test")

        self.in_time(log)

    def test_a_process_serves_and_stops(self):
        real = platform_fleet.subprocess.Popen
        writer = self.file.fileno()

        def start(*arguments, **options):
            return real(*arguments, **{**options, "stdout": writer, "stderr": writer})

        fleet = PlatformFleet(tempfile.mkdtemp(), 19, counters=1)
        self.addCleanup(fleet.stop_all)
        self.patch(platform_fleet.subprocess, "Popen", start)
        name = fleet.counters[0]
        fleet.start(name)
        # Not ready without a configuration, but served.
        fleet.until(lambda: fleet.call(name, "readiness", "GET", "/ready")[0] == 503, LIMIT_S)
        self.assertThat(fleet.kill(name, signal.SIGTERM), Equals(0))


class OtherStreams(TestCase):
    def test_a_file_gets_every_line(self):
        path = Path(tempfile.mkdtemp()) / "log"
        with open(path, "w") as file:
            stream = LogStream(file)
            for number in range(3):
                stream.write(f"{number} ž\n")
        self.assertThat(path.read_text("utf8"), Equals("0 ž\n1 ž\n2 ž\n"))

    def test_a_stream_without_a_descriptor(self):
        text = io.StringIO()
        LogStream(text).write("line\n")
        self.assertThat(text.getvalue(), Equals("line\n"))

    def test_streams_that_take_nothing_raise_nothing(self):
        reader, writer = os.pipe()
        os.close(reader)
        with os.fdopen(writer, "w") as broken, open("/dev/full", "w") as full:
            closed = open(os.devnull, "w")
            closed.close()
            for file in (broken, full, closed, None):
                stream = LogStream(file)
                stream.write("line\n")
                self.assertThat([0, 1], Contains(stream.dropped))
