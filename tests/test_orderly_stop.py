"""The end of a process on real sockets: every request that it has read gets a complete answer.

Guards against LOST: requests that waited for the core, for an engine or for their reader when the
process ended were cut without an answer.
"""

import socket
import threading
import time

from adapter.dialect import DIALECT
from process_harness import lone_counter
from pulleyhitch import orderly_stop
from pulleyhitch.gateway import Gateway, OperatorGateway
from pulleyhitch.server import Server
from pulleyhitch.stop_schedule import StopSchedule, schedule_of
from routing.tasks import Attempt
from simulation.fleet import free_ports
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan, StartsWith
from transport import events
from transport.effects import Finished, Reply

WAIT_S = 30.0
GRACE_MS = 700
BODY_BYTES = 6 << 20
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Try-Id: t1\r\nX-Deadline-Ms: 20000\r\n"
REQUEST += b"Content-Length: 2\r\n\r\nhi"
TASK = b"POST /v1/task HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
TASK_BODY = b'{"service": "s", "model": "m", "prompt": "p"}'
RESPONSE = b"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Postmark: p\r\nContent-Length: %d\r\n\r\n"


def received(sock):
    """All bytes until the connection ends."""
    data = b""
    try:
        while chunk := sock.recv(1 << 20):
            data += chunk
    except ConnectionError:
        pass
    return data


def is_whole(data):
    """Whether these bytes are a complete response with a length."""
    head, found, body = data.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return bool(found) and len(body) == int(length)


class Engine:
    """An engine that takes connections.  `reached` is set once a request has begun to arrive;
    `answer` sends bytes on the last connection."""

    def __init__(self, test):
        self._listening = socket.create_server(("127.0.0.1", 0))
        test.addCleanup(self._listening.close)
        self.url = "http://127.0.0.1:%d" % self._listening.getsockname()[1]
        self.reached, self._sock = threading.Event(), None
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        self._sock, _ = self._listening.accept()
        self._sock.recv(1 << 16)
        self.reached.set()

    def answer(self, data):
        self._sock.sendall(data)


class StopScene(TestCase):
    """A process with a core of the test's own, and its servers."""

    def setUp(self):
        super().setUp()
        self.submitted, self.outcome, self.fails_on = threading.Event(), None, None
        ports = free_ports(2)
        self.process = lone_counter(
            self,
            self.handle,
            DIALECT,
            doors={
                "callers": f"127.0.0.1:{ports[0]}",
                "operators": f"127.0.0.1:{ports[1]}",
            },
            bounds={"graceMs": GRACE_MS},
        )
        self.servers = {
            "callers": Gateway(self.process),
            "operators": OperatorGateway(self.process),
            "http": Server(self.process),
        }
        for server in self.servers.values():
            threading.Thread(target=server.run, daemon=True).start()
            self.addCleanup(server.stop)
        self.process.start()

    def handle(self, event):
        """The core: it stops when told to, and gives requests this test's outcome, if any."""
        if isinstance(event, events.Shutdown):
            return [Finished()]
        if not isinstance(event, events.LocalRequest) or event.verb == "leave":
            return []
        if event.verb == self.fails_on:
            raise ValueError("a fault in the core")
        if event.verb in ("passage", "task"):
            event.body.update(
                kind="safe", repeatable=False, resumable=False, rank=0, aimMs=5000.0, tenant=None
            )
        self.submitted.set()
        return [Reply(event.token, self.outcome)] if self.outcome is not None else []

    def send(self, name, data):
        host, _, port = self.process.config.doors.get(name, self.process.config.http).rpartition(
            ":"
        )
        sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def stop(self):
        """Stop the process beside the test; joins it at the test's end."""
        thread = threading.Thread(target=orderly_stop.stop, args=(self.process, self.servers))
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        return thread

    def attempt(self, engine):
        return Attempt("e0", engine.url, 20_000.0, end_ms=time.monotonic() * 1000 + 20_000.0)


class AnswersAtAStop:
    """Every request gets a complete answer, however the process ends."""

    def test_a_caller_that_waits_for_a_decision_is_refused(self):
        sock = self.send("callers", REQUEST)
        self.assertTrue(self.submitted.wait(WAIT_S))
        self.stop()
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 503"))
        self.assertThat(data, Contains(b"Retry-After: 0.200"))
        self.assertTrue(is_whole(data))

    def test_a_caller_whose_engine_is_silent_is_told_that_it_may_have_run(self):
        engine = Engine(self)
        self.outcome = self.attempt(engine)
        sock = self.send("callers", REQUEST)
        self.assertTrue(engine.reached.wait(WAIT_S))
        self.stop()
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 502"))
        self.assertTrue(is_whole(data))

    def take_time(self):
        """Have the last steps of the stop last as long as there is anything to answer."""
        schedule = StopSchedule(0.0, 0.05, 0.1, WAIT_S, 2 * WAIT_S)
        self.patch(orderly_stop, "schedule_of", lambda *how: schedule)
        self.patch(orderly_stop, "_FAILED_ATTEMPTS_S", WAIT_S)
        self.patch(orderly_stop, "_FAILED_EXIT_S", 2 * WAIT_S)

    def test_a_response_that_comes_late_in_the_stop_is_passed_on(self):
        self.take_time()
        engine = Engine(self)
        self.outcome = self.attempt(engine)
        sock = self.send("callers", REQUEST)
        self.assertTrue(engine.reached.wait(WAIT_S))
        self.stop()
        self.assertTrue(self.process._stopped.wait(WAIT_S), "the core has decided its last")
        engine.answer(RESPONSE % 2 + b"ok")
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 200"))
        self.assertTrue(is_whole(data))

    def test_a_slow_reader_gets_the_whole_response(self):
        self.take_time()
        engine = Engine(self)
        self.outcome = self.attempt(engine)
        sock = self.send("callers", REQUEST)
        self.assertTrue(engine.reached.wait(WAIT_S))
        engine.answer(RESPONSE % BODY_BYTES + b"x" * BODY_BYTES)
        self.stop()
        self.assertTrue(self.process._stopped.wait(WAIT_S))
        self.assertTrue(is_whole(received(sock)))

    def test_a_task_at_the_products_own_interface_is_refused(self):
        sock = self.send("http", TASK % (len(TASK_BODY), TASK_BODY))
        self.assertTrue(self.submitted.wait(WAIT_S))
        self.stop()
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 503"))
        self.assertTrue(is_whole(data))

    def test_a_task_whose_engine_is_silent_is_told_that_it_may_have_run(self):
        engine = Engine(self)
        self.outcome = self.attempt(engine)
        sock = self.send("http", TASK % (len(TASK_BODY), TASK_BODY))
        self.assertTrue(engine.reached.wait(WAIT_S))
        self.stop()
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 502"))
        self.assertTrue(is_whole(data))

    def test_operators_that_wait_are_told_to_ask_again(self):
        reading = self.send("operators", b"GET /config HTTP/1.1\r\nHost: h\r\n\r\n")
        changing = self.send("operators", b"POST /evacuate/zone-a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(self.submitted.wait(WAIT_S))
        self.stop()
        for sock in (reading, changing):
            data = received(sock)
            self.assertThat(data, StartsWith(b"HTTP/1.1 503"))
            self.assertTrue(is_whole(data))

    def test_a_request_on_a_connection_from_before_is_refused_until_the_end(self):
        sock = self.send("callers", REQUEST[:20])
        self.stop().join(WAIT_S)
        sock.sendall(REQUEST[20:])
        data = received(sock)
        self.assertThat(data, StartsWith(b"HTTP/1.1 503"))
        self.assertTrue(is_whole(data))


class OrderlyStop(AnswersAtAStop, StopScene):
    def test_the_stop_keeps_to_the_grace_period(self):
        """Also with a silent engine and a caller that doesn't read."""
        engine = Engine(self)
        self.outcome = self.attempt(engine)
        self.send("callers", REQUEST)
        self.assertTrue(engine.reached.wait(WAIT_S))
        engine.answer(RESPONSE % (4 * BODY_BYTES) + b"x" * BODY_BYTES)
        start_s = time.monotonic()
        self.stop().join(WAIT_S)
        self.assertThat(time.monotonic() - start_s, LessThan(1.5 * GRACE_MS / 1000))

    def test_a_stop_without_requests_ends_once_callers_have_noticed(self):
        start_s = time.monotonic()
        self.stop().join(WAIT_S)
        self.assertThat(time.monotonic() - start_s, LessThan(schedule_of(GRACE_MS, True).drain_s))


class FailedCore(AnswersAtAStop, StopScene):
    """A core that has failed decides nothing more: requests don't wait for it.

    Guards against requests that a process accepted for seconds after its core had broken, and
    never answered."""

    def fail(self):
        self.fails_on = "zone"
        self.send("operators", b"POST /evacuate/zone-a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(self.process._stopped.wait(WAIT_S))

    def stop(self):
        self.fail()
        thread = threading.Thread(
            target=orderly_stop.stop_failed, args=(self.process, self.servers)
        )
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        return thread

    def test_it_ends_at_once_without_requests(self):
        start_s = time.monotonic()
        self.stop().join(WAIT_S)
        self.assertThat(time.monotonic() - start_s, LessThan(0.9))


class Schedule(TestCase):
    def test_steps_follow_each_other_within_the_grace_period(self):
        for grace_ms in (0, 500, 8000):
            for announced in (False, True):
                schedule = schedule_of(grace_ms, announced)
                steps = list(vars(schedule).values())
                self.assertThat(steps, Equals(sorted(steps)))
                self.assertThat(schedule.exit_s, LessThan((grace_ms or 5000) / 1000))
