"""A gateway on real sockets whose core sends every request to one engine."""

import gc
import socket
import threading
import time
import tracemalloc

from adapter.dialect import DIALECT
from process_harness import lone_counter
from pulleyhitch.gateway import Gateway
from routing.router import Attempt
from routing.tasks import Done
from simulation.fleet import free_ports
from simulation.platform_serving import Answering, reply
from testtools import TestCase
from transport.effects import Reply

WAIT_S = 20.0
POLL_S = 0.002
PART_BYTES = 1 << 16


def received(sock):
    """All bytes until the connection ends."""
    got = b""
    while part := sock.recv(PART_BYTES):
        got += part
    return got


class GatewayTestCase(TestCase):
    """A gateway whose core sends every request to one engine, which tells a body's length."""

    MEMORY_MB = 300

    def setUp(self):
        super().setUp()
        caller_port, engine_port = free_ports(2)
        self.address = ("127.0.0.1", caller_port)
        self.engine = f"127.0.0.1:{engine_port}"
        engine = Answering(self.engine, self.respond)
        self.addCleanup(engine.close)
        self.process = lone_counter(
            self,
            self.decide,
            DIALECT,
            doors={"callers": f"127.0.0.1:{caller_port}"},
            memoryMb=self.MEMORY_MB,
        )
        self.process.start()
        self.gateway = Gateway(self.process)
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
        return self.whole_exchange(number, body).partition(b"\r\n\r\n")[2]

    def whole_exchange(self, number, body):
        """All bytes of the response to a request."""
        head = (
            "POST /a HTTP/1.1\r\nHost: h\r\n"
            f"X-Try-Id: t{number}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(self.address, WAIT_S) as sock:
            sock.sendall(head.encode())
            sock.sendall(body)
            return received(sock)

    def until(self, condition):
        end_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "timed out")
            time.sleep(POLL_S)

    def trace(self):
        gc.collect()
        gc.disable()
        tracemalloc.start()
        self.addCleanup(gc.enable)
        self.addCleanup(tracemalloc.stop)
