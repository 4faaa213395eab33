"""The gateway for operators' requests: many wait at once, and requests of operators that have
disconnected are dropped."""

import json
import queue
import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace

from adapter.dialect import DIALECT
from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.gateway import OperatorGateway
from routing.byte_budget import ByteBudget
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

WAIT_S = 30.0
HTTP_THREADS = 32


class Process:
    """A stand-in for the process: it records requests; the test resolves their futures."""

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        self.config = SimpleNamespace(
            doors={"operators": self.address},
            httpThreads=HTTP_THREADS,
            bounds=SimpleNamespace(serviceBackMs=600000, acknowledgeMs=4000),
        )
        self.dialect = DIALECT
        self.budget = ByteBudget(64 << 20)
        self.ring = SimpleNamespace(note=lambda *what, **why: None)
        self.submitted, self.notified = queue.SimpleQueue(), queue.SimpleQueue()

    def submit(self, token, verb, body):
        future = Future()
        self.submitted.put((token, verb, body, future))
        return future

    def notify(self, token, verb, body):
        self.notified.put((token, verb))


class OperatorRequests(TestCase):
    def setUp(self):
        super().setUp()
        self.process = Process()
        self.gateway = OperatorGateway(self.process)

    def serve(self):
        """Run the gateway on a daemon thread, which ends with the test process."""
        threading.Thread(target=self.gateway.run, daemon=True).start()

    def connect(self, method="POST", path="/evacuate/zone-a"):
        host, _, port = self.process.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return sock

    def answer(self, sock):
        with sock:
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
        head, _, body = received.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    def test_eight_requests_wait_at_once(self):
        """More than the threads for operators; a later request is answered before them."""
        self.serve()
        waiting = [self.connect() for _ in range(8)]
        submitted = [self.process.submitted.get(timeout=WAIT_S) for _ in waiting]
        last = self.connect("DELETE")
        token, verb, body, future = self.process.submitted.get(timeout=WAIT_S)
        self.assertThat((verb, body["evacuated"]), Equals(("zone", False)))
        future.set_result(CommandResult(200, {"stamp": 2}))
        self.assertThat(self.answer(last), Equals((200, {"stamp": 2})))
        for *_, future in submitted:
            future.set_result(CommandResult(200, {"stamp": 1}))
        with ThreadPoolExecutor(len(waiting)) as pool:
            found = list(pool.map(self.answer, waiting))
        self.assertThat(found, Equals([(200, {"stamp": 1})] * 8))

    def test_status_of_failures(self):
        self.serve()
        for outcome, status in (
            (failures.NoHolder(1000, 0), 503),
            (failures.MajorityLost(1000), 503),
            (CommandResult(409, {"failure": "stamp-stale", "expected": 0, "current": 3}), 503),
            (CommandResult(200, {"stamp": 3}), 200),
        ):
            sock = self.connect()
            *_, future = self.process.submitted.get(timeout=WAIT_S)
            future.set_result(outcome)
            self.assertThat(self.answer(sock)[0], Equals(status))

    def test_an_evacuation_that_is_not_confirmed_in_time(self):
        """The client gets the failure; the response isn't dropped."""
        self.serve()
        for method in ("POST", "DELETE"):
            sock = self.connect(method)
            *_, future = self.process.submitted.get(timeout=WAIT_S)
            future.set_result(failures.MajorityLost(1000))
            status, body = self.answer(sock)
            self.assertThat((status, body["failure"]), Equals((503, "majority-lost")))

    def test_disconnected_before_the_request_was_read(self):
        """After a pause of the node, its operator has already gone to another node."""
        closed = self.connect()
        closed.close()
        self.serve()
        open_sock = self.connect("DELETE")
        token, verb, body, future = self.process.submitted.get(timeout=WAIT_S)
        self.assertThat(body["evacuated"], Equals(False))
        future.set_result(CommandResult(200, {"stamp": 1}))
        self.assertThat(self.answer(open_sock)[0], Equals(200))
        self.assertTrue(self.process.submitted.empty())

    def test_disconnected_while_the_request_waits(self):
        self.serve()
        sock = self.connect()
        token, *_ = self.process.submitted.get(timeout=WAIT_S)
        sock.close()
        self.assertThat(self.process.notified.get(timeout=WAIT_S), Equals((token, "abandoned")))

    def test_a_truncated_body(self):
        """Status 408, not a refusal: the same change may already have been accepted."""
        self.serve()
        host, _, port = self.process.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            head = "PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nContent-Length: 90\r\n\r\n"
            sock.sendall(head.encode() + b'{"edition": 4')
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
        self.assertThat(received.split()[1], Equals(b"408"))
        self.assertTrue(self.process.submitted.empty())
