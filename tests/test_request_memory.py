"""Memory that requests through the gateway take, and what is left of them.

Python's own allocations are traced, with the cyclic garbage collector off: it counts objects
and not bytes, so a few large bodies that only it can free stay for long.
"""

import gc
import socket
import threading
import tracemalloc

from adapter.dialect import DIALECT
from process_harness import lone_counter
from pulleyhitch.gateway import Gateway
from routing.router import Attempt
from routing.tasks import Done
from simulation.fleet import free_ports
from simulation.platform_serving import Answering, reply
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport.effects import Reply

BODY_BYTES = 1 << 20
REQUESTS = 12
WAIT_S = 20.0
PART_BYTES = 1 << 16


class GatewayTestCase(TestCase):
    """A gateway whose core sends every request to one engine, which echoes no body."""

    def setUp(self):
        super().setUp()
        caller_port, engine_port = free_ports(2)
        self.address = ("127.0.0.1", caller_port)
        self.engine = f"127.0.0.1:{engine_port}"
        engine = Answering(self.engine, self.respond)
        self.addCleanup(engine.close)
        process = lone_counter(
            self, self.decide, DIALECT, doors={"callers": f"127.0.0.1:{caller_port}"}
        )
        process.start()
        self.gateway = Gateway(process)
        thread = threading.Thread(target=self.gateway.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(self.gateway.stop)

    def respond(self, handler, body):
        id_ = handler.headers["X-Try-Id"]
        reply(handler, 200, (f"X-Try-Id: {id_}", f"X-Postmark: {id_}"), b"%d" % len(body))

    def decide(self, event):
        if getattr(event, "verb", "") == "passage":
            event.body.update(kind="safe", resumable=False, aimMs=9000.0, repeatable=True)
            return [Reply(event.token, Attempt("e", f"http://{self.engine}", 9000.0))]
        return [Reply(event.token, Done())] if getattr(event, "verb", "") == "ended" else []

    def exchange(self, number, body):
        """The body of the response to a request."""
        head = (
            "POST /a HTTP/1.1\r\nHost: h\r\n"
            f"X-Try-Id: t{number}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(self.address, WAIT_S) as sock:
            sock.sendall(head.encode())
            sock.sendall(body)
            got = b""
            while part := sock.recv(PART_BYTES):
                got += part
        return got.partition(b"\r\n\r\n")[2]

    def trace(self):
        gc.collect()
        gc.disable()
        tracemalloc.start()
        self.addCleanup(gc.enable)
        self.addCleanup(tracemalloc.stop)


class BodiesAreFreed(GatewayTestCase):
    # FAULT: a counter kept two copies of each body in reference cycles until a full run of the
    # garbage collector, and went over its memory limit after some tens of large requests.
    def test_finished_requests_leave_no_body_behind(self):
        body = bytes(BODY_BYTES)
        self.exchange(0, body)
        self.trace()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(REQUESTS):
            told = self.exchange(1 + number, body)
            self.assertThat(told, Equals(b"%d" % BODY_BYTES))
        kept = tracemalloc.get_traced_memory()[0] - before
        self.assertThat(kept, LessThan(BODY_BYTES))

    # FAULT: five copies of a body stood side by side while it was received and read.
    def test_a_request_takes_little_more_than_two_copies_of_its_body(self):
        body = bytes(BODY_BYTES)
        self.exchange(0, body)
        self.trace()
        before = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        self.exchange(1, body)
        # What is received, and the body taken out of it; later the body and the engine's copy.
        peak = tracemalloc.get_traced_memory()[1] - before
        self.assertThat(peak, LessThan(2.5 * BODY_BYTES))
