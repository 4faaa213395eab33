"""The readiness probe on real sockets.

Guards against a node that looked unready for good because one prober had connected and then been
cut off: a connection without a request held the endpoint.
"""

import socket
import threading
from concurrent.futures import Future
from types import SimpleNamespace

from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.status_endpoint import StatusEndpoint
from routing.byte_budget import ByteBudget
from testtools import TestCase
from testtools.matchers import Equals, StartsWith
from transport import failures

WAIT_S = 30.0


class Process:
    """A process whose core gives `outcome` to each request, or none while that is None."""

    def __init__(self, outcome):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.budget = ByteBudget(64 << 20)
        self.config = SimpleNamespace(doors={"status": "%s:%d" % self.address})
        self.outcome = outcome

    def submit(self, token, verb, body):
        future = Future()
        if self.outcome is not None:
            future.set_result(self.outcome)
        return future


class Readiness(TestCase):
    def serve(self, outcome):
        self.process = Process(outcome)
        endpoint = StatusEndpoint(self.process)
        thread = threading.Thread(target=endpoint.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(endpoint.stop)

    def connect(self):
        sock = socket.create_connection(self.process.address, timeout=WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def probe(self):
        sock = self.connect()
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        return b"".join(iter(lambda: sock.recv(65536), b""))

    def test_the_node_is_ready_or_not(self):
        for outcome, status in (
            (CommandResult(200, {}), b"HTTP/1.1 200"),
            (CommandResult(503, {}), b"HTTP/1.1 503"),
            (failures.Overloaded(200, "closing"), b"HTTP/1.1 503"),
        ):
            self.serve(outcome)
            self.assertThat(self.probe(), StartsWith(status))

    def test_connections_without_a_request_hold_up_nobody(self):
        self.serve(CommandResult(200, {}))
        silent = [self.connect() for _ in range(20)]
        silent[0].sendall(b"GET /re")
        for _ in range(20):
            self.assertThat(self.probe(), StartsWith(b"HTTP/1.1 200"))

    def test_probes_without_an_outcome_hold_up_nobody(self):
        """The core decides nothing for a while."""
        self.serve(None)
        waiting = [self.connect() for _ in range(20)]
        for sock in waiting:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        self.process.outcome = CommandResult(200, {})
        self.assertThat(self.probe()[:12], Equals(b"HTTP/1.1 200"))
