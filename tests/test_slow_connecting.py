"""A pause of this process while it connects doesn't make an engine look dead.

The engine's system accepts a connection at once; only this process polls late.  The pause says
nothing about the engine, so a connection that is established by then is used.
"""

import socket
import time

from routing import engine_calls, proxying
from routing.connection_pool import ConnectionPool
from routing.engine_api import EngineRequest
from testtools import TestCase
from testtools.matchers import Equals, LessThan

CONNECT_MS, TIMEOUT_MS = 20.0, 10_000.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def busy_wait():
    """Use up the connect timeout."""
    end_s = time.monotonic() + 2 * CONNECT_MS / 1000
    while time.monotonic() < end_s:
        pass


class SlowConnecting(TestCase):
    def setUp(self):
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"

    def answer(self):
        """Accept the connection, read the request on it, and answer."""
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        got = b""
        while b"\r\n\r\n" not in got:
            got += sock.recv(65536)
        sock.sendall(ANSWER)

    def fill_backlog(self):
        """Fill the listener's backlog, so that no other connection is accepted."""
        self.listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.addCleanup(sock.close)

    def sources(self):
        engine_request = EngineRequest("GET", self.url + "/a", b"")
        yield proxying.stream(
            ConnectionPool(), self.url, engine_request, TIMEOUT_MS, CONNECT_MS, True
        )
        yield engine_calls.stream(engine_request, TIMEOUT_MS, CONNECT_MS)

    def end(self, source):
        """The last event; the engine answers once the request has been sent."""
        for number, (kind, value) in enumerate(source):
            if kind == "end":
                return value
            if number == 1:
                self.answer()
        return None

    # A node on a busy machine took engines for dead that had accepted its connections, and
    # refused their callers with "all-busy".
    def test_a_connection_established_during_a_pause_is_used(self):
        for source in self.sources():
            self.assertThat(next(source)[0], Equals("idle"))
            busy_wait()
            ended = self.end(source)
            self.assertThat((ended.code, ended.request_sent, ended.cause), Equals((200, True, "")))

    def test_connecting_to_an_engine_that_does_not_accept_times_out(self):
        self.fill_backlog()
        for source in self.sources():
            begun_s = time.monotonic()
            *_, (kind, ended) = source
            self.assertThat((kind, ended.code, ended.request_sent), Equals(("end", 0, False)))
            self.assertThat(time.monotonic() - begun_s, LessThan(TIMEOUT_MS / 2000))

    def test_calls_time_out_as_well(self):
        self.fill_backlog()
        engine_request = EngineRequest("GET", self.url + "/a", b"")
        for ended in (
            engine_calls.call(engine_request, TIMEOUT_MS, CONNECT_MS),
            proxying.call(ConnectionPool(), engine_request, 4 * CONNECT_MS),
        ):
            self.assertThat((ended.code, ended.request_sent), Equals((0, False)))
