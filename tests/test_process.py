"""The owner's loop: ticks come however long the queue is, and after a pause of the process the
events that arrived meanwhile are handled before the tick."""

import queue
import threading

from process_harness import lone_counter
from pulleyhitch import process
from testtools import TestCase
from testtools.matchers import Equals
from transport import events


class _Endless(queue.SimpleQueue):
    """A queue that never gets empty."""

    def get(self, block=True, timeout=None):
        return events.Received("127.0.0.1:1", None)

    def get_nowait(self):
        return self.get()

    def qsize(self):
        return 3


class Owner(TestCase):
    def process(self, on_event):
        def handle(event):
            on_event(event)
            return []

        return lone_counter(self, handle)

    def test_ticks_come_under_any_load(self):
        ticked, count = threading.Event(), []

        def on_event(event):
            if isinstance(event, events.Tick):
                count.append(1)
                if len(count) == 5:
                    ticked.set()

        process_under_test = self.process(on_event)
        process_under_test._queue = _Endless()
        process_under_test.start()
        self.assertTrue(ticked.wait(60))

    def test_events_of_a_pause_go_before_the_tick(self):
        """Handling the first event takes ten seconds; ten more are queued behind it."""
        order, done, clock = [], threading.Event(), [0.0]

        def on_event(event):
            if isinstance(event, events.Shutdown):
                clock[0] += 10000.0
            order.append(type(event).__name__)
            if isinstance(event, events.Tick) and "Shutdown" in order:
                done.set()

        process_under_test = self.process(on_event)
        self.patch(process, "_now", lambda: clock[0])
        process_under_test._queue.put(events.Shutdown())
        for _ in range(10):
            process_under_test._queue.put(events.Received("a", None))
        process_under_test.start()
        self.assertTrue(done.wait(60))
        first = order[order.index("Shutdown") + 1 :]
        self.assertThat(first[:11], Equals(["Received"] * 10 + ["Tick"]))
