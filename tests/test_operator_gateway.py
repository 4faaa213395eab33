"""The door for operators' calls: many wait at once, and nothing is done for those who left."""

import json
import queue
import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace

from adapter.dialect import DIALECT
from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.gateway import OperatorGateway
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

WAIT_S = 30.0
HTTP_THREADS = 32


class Process:
    """What the gateway asks of a process: it notes what is posted, and answers when told."""

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        self.config = SimpleNamespace(
            doors={"operators": self.address},
            httpThreads=HTTP_THREADS,
            bounds=SimpleNamespace(serviceBackMs=600000, acknowledgeMs=4000),
        )
        self.dialect = DIALECT
        self.ring = SimpleNamespace(note=lambda *what, **why: None)
        self.posted, self.told = queue.SimpleQueue(), queue.SimpleQueue()

    def submit(self, token, verb, body):
        future = Future()
        self.posted.put((token, verb, body, future))
        return future

    def notify(self, token, verb, body):
        self.told.put((token, verb))


class Calls(TestCase):
    def setUp(self):
        super().setUp()
        self.process = Process()
        self.gateway = OperatorGateway(self.process)

    def serve(self):
        """The gateway's thread ends with the test's process, as it does with a node's."""
        threading.Thread(target=self.gateway.run, daemon=True).start()

    def connect(self, method="POST", path="/evacuate/zone-a"):
        host, _, port = self.process.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return sock

    def answer(self, sock):
        with sock:
            got = b""
            while chunk := sock.recv(65536):
                got += chunk
        head, _, body = got.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    def test_eight_orders_wait_at_once(self):
        """More than there are threads for operators; one that comes later is served first."""
        self.serve()
        waiting = [self.connect() for _ in range(8)]
        posted = [self.process.posted.get(timeout=WAIT_S) for _ in waiting]
        last = self.connect("DELETE")
        token, verb, body, future = self.process.posted.get(timeout=WAIT_S)
        self.assertThat((verb, body["evacuated"]), Equals(("zone", False)))
        future.set_result(CommandResult(200, {"stamp": 2}))
        self.assertThat(self.answer(last), Equals((200, {"stamp": 2})))
        for *_, future in posted:
            future.set_result(CommandResult(200, {"stamp": 1}))
        with ThreadPoolExecutor(len(waiting)) as pool:
            found = list(pool.map(self.answer, waiting))
        self.assertThat(found, Equals([(200, {"stamp": 1})] * 8))

    def test_a_failure_is_told_by_its_status(self):
        self.serve()
        for outcome, status in (
            (failures.NoHolder(1000, 0), 503),
            (failures.MajorityLost(1000), 503),
            (CommandResult(409, {"failure": "stamp-stale", "expected": 0, "current": 3}), 503),
            (CommandResult(200, {"stamp": 3}), 200),
        ):
            sock = self.connect()
            *_, future = self.process.posted.get(timeout=WAIT_S)
            future.set_result(outcome)
            self.assertThat(self.answer(sock)[0], Equals(status))

    def test_an_evacuation_that_nobody_confirms_in_time(self):
        """The owner's failure is told, not dropped, and with when to come back."""
        self.serve()
        for method in ("POST", "DELETE"):
            sock = self.connect(method)
            *_, future = self.process.posted.get(timeout=WAIT_S)
            future.set_result(failures.MajorityLost(1000))
            status, told = self.answer(sock)
            self.assertThat((status, told["failure"]), Equals((503, "majority-lost")))

    def test_who_left_before_the_call_was_read(self):
        """The node stood still; its operator has long asked another one."""
        gone = self.connect()
        gone.close()
        self.serve()
        here = self.connect("DELETE")
        token, verb, body, future = self.process.posted.get(timeout=WAIT_S)
        self.assertThat(body["evacuated"], Equals(False))
        future.set_result(CommandResult(200, {"stamp": 1}))
        self.assertThat(self.answer(here)[0], Equals(200))
        self.assertTrue(self.process.posted.empty())

    def test_who_leaves_while_the_call_waits(self):
        self.serve()
        sock = self.connect()
        token, *_ = self.process.posted.get(timeout=WAIT_S)
        sock.close()
        self.assertThat(self.process.told.get(timeout=WAIT_S), Equals((token, "abandoned")))

    def test_a_body_that_is_cut_short(self):
        """Not a refusal: the same order, whole, may have been taken already."""
        self.serve()
        host, _, port = self.process.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            head = "PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nContent-Length: 90\r\n\r\n"
            sock.sendall(head.encode() + b'{"edition": 4')
            sock.shutdown(socket.SHUT_WR)
            got = b""
            while chunk := sock.recv(65536):
                got += chunk
        self.assertThat(got.split()[1], Equals(b"408"))
        self.assertTrue(self.process.posted.empty())
