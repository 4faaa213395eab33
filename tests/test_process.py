"""The owner's loop: ticks come however many events wait, and after a freeze
what came meanwhile is taken first."""

import queue
import threading

from process_harness import lone_counter
from pulleyhitch import process
from testtools import TestCase
from testtools.matchers import Equals
from transport import events


class _Endless(queue.SimpleQueue):
    """Always holds another event."""

    def get(self, block=True, timeout=None):
        return events.Received("127.0.0.1:1", None)

    def get_nowait(self):
        return self.get()

    def qsize(self):
        return 3


class Owner(TestCase):
    def process(self, seen):
        def handle(event):
            seen(event)
            return []

        return lone_counter(self, handle)

    def test_ticks_come_under_any_load(self):
        ticked, count = threading.Event(), []

        def seen(event):
            if isinstance(event, events.Tick):
                count.append(1)
                if len(count) == 5:
                    ticked.set()

        made = self.process(seen)
        made._queue = _Endless()
        made.start()
        self.assertTrue(ticked.wait(60))

    def test_what_came_during_a_freeze_goes_first(self):
        """The first event takes ten seconds of the clock; ten wait behind it."""
        order, done, clock = [], threading.Event(), [0.0]

        def seen(event):
            if isinstance(event, events.Closing):
                clock[0] += 10000.0
            order.append(type(event).__name__)
            if len(order) > 11:
                done.set()

        made = self.process(seen)
        self.patch(process, "_now", lambda: clock[0])
        made._queue.put(events.Closing())
        for _ in range(10):
            made._queue.put(events.Received("a", None))
        made.start()
        self.assertTrue(done.wait(60))
        first = order[order.index("Closing") + 1 :]
        self.assertThat(first[:11], Equals(["Received"] * 10 + ["Tick"]))
