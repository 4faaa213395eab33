"""Signals that come in quick succession to a process that serves.

Guards against a process that a series of SIGHUPs ended: its handler was interrupted by the next
signal, and so on until the stack was used up, or until it waited for a lock that it held itself.
"""

import os
import queue
import signal
import tempfile
import threading
import time
from pathlib import Path

from pulleyhitch.signals import Request, Signals
from simulation.platform_fleet import PlatformFleet
from testtools import TestCase
from testtools.matchers import Equals, LessThan, Not

LIMIT_S = 60.0
SERIES = 20_000
# Requests taken while the signals are sent.
TAKEN_BESIDE = 2
# A signal that was sent arrives within this time.
QUIET_S = 0.2
# Signals sent without a pause, so that the process gets to run beside them.
SENT_AT_ONCE = 50


class Handed(TestCase):
    def setUp(self):
        super().setUp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals = Signals().install()

    def test_each_signal_is_a_request(self):
        for number, request in (
            (signal.SIGHUP, Request.RELOAD),
            (signal.SIGUSR1, Request.DUMP_LOG),
            (signal.SIGTERM, Request.STOP),
        ):
            os.kill(os.getpid(), number)
            self.assertThat(self.signals.wait(LIMIT_S), Equals(request))
        self.assertThat(self.signals.stop_signal, Equals("SIGTERM"))
        self.assertThat(self.signals.wait(0), Equals(None))

    def test_signals_that_interrupt_the_handler_and_the_wait(self):
        """Another thread sends without a pause while this one takes them, and none is lost after
        that."""
        sender = SignalSender()
        sender.start()
        while not sender.has_sent_series.is_set():
            sender.taken += self.signals.wait(QUIET_S) is Request.RELOAD
        while self.signals.wait(QUIET_S) is not None:
            pass
        sender.may_send_last.set()
        sender.join()
        self.assertThat(self.signals.wait(LIMIT_S), Equals(Request.RELOAD))
        self.assertThat(self.signals.wait(QUIET_S), Equals(None))
        self.assertThat(sender.taken, Not(LessThan(TAKEN_BESIDE)))


class SignalSender(threading.Thread):
    """Sends at least SERIES signals to this process without a pause, and goes on until
    TAKEN_BESIDE requests were taken meanwhile, so that the taking runs beside the sending however
    busy the machine is; then one more signal, once it may."""

    def __init__(self):
        super().__init__(daemon=True)
        self.taken = 0
        self.has_sent_series, self.may_send_last = threading.Event(), threading.Event()

    def run(self):
        process_id, sent, end_s = os.getpid(), 0, time.monotonic() + LIMIT_S
        while sent < SERIES or (self.taken < TAKEN_BESIDE and time.monotonic() < end_s):
            os.kill(process_id, signal.SIGHUP)
            sent += 1
        self.has_sent_series.set()
        self.may_send_last.wait(LIMIT_S)
        os.kill(process_id, signal.SIGHUP)


class RealProcess(TestCase):
    def test_it_still_serves_and_stops_in_order(self):
        fleet = PlatformFleet(tempfile.mkdtemp(), 11, counters=1)
        self.addCleanup(fleet.stop_all)
        name = fleet.counters[0]
        fleet.start(name)
        log = Path(fleet.folder) / f"{name}.log"
        fleet.until(lambda: '"up"' in log.read_text(encoding="utf8"), LIMIT_S)
        process, pause = fleet.running[name], queue.SimpleQueue()
        for sent in range(SERIES):
            process.send_signal(signal.SIGHUP)
            if sent % SENT_AT_ONCE == 0:
                self.assertRaises(queue.Empty, pause.get, timeout=0.0005)
        start_s = time.monotonic()
        self.assertThat(fleet.kill(name, signal.SIGTERM), Equals(0), log.read_text("utf8")[-2000:])
        self.assertThat(time.monotonic() - start_s, LessThan(8.0))
