"""A node that stood still while it connected takes no engine for dead.

The engine's system takes a connection at once; only we look late.  How long we looked away
says nothing of the engine, so a connection that stands by then is used.
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


def stand_still():
    """Take up the time within which a connection has to stand."""
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
        """Take the connection and the request on it, and answer."""
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        got = b""
        while b"\r\n\r\n" not in got:
            got += sock.recv(65536)
        sock.sendall(ANSWER)

    def full(self):
        """Connections that fill the listener's line: another one is not taken."""
        self.listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.addCleanup(sock.close)

    def sources(self):
        ask = EngineRequest("GET", self.url + "/a", b"")
        yield proxying.stream(ConnectionPool(), self.url, ask, TIMEOUT_MS, CONNECT_MS, True)
        yield engine_calls.stream(ask, TIMEOUT_MS, CONNECT_MS)

    def end(self, source):
        """The last event; the answer is given once the request has been sent."""
        for number, (kind, value) in enumerate(source):
            if kind == "end":
                return value
            if number == 1:
                self.answer()
        return None

    # A counter on a full machine took engines for dead that had taken its connections, and
    # sent their callers away with "all-busy".
    def test_a_connection_that_stands_when_we_look_again_is_used(self):
        for source in self.sources():
            self.assertThat(next(source)[0], Equals("idle"))
            stand_still()
            ended = self.end(source)
            self.assertThat((ended.code, ended.request_sent, ended.cause), Equals((200, True, "")))

    def test_an_engine_that_takes_no_connection_is_left_in_time(self):
        self.full()
        for source in self.sources():
            begun_s = time.monotonic()
            *_, (kind, ended) = source
            self.assertThat((kind, ended.code, ended.request_sent), Equals(("end", 0, False)))
            self.assertThat(time.monotonic() - begun_s, LessThan(TIMEOUT_MS / 2000))

    def test_a_call_leaves_it_in_time_as_well(self):
        self.full()
        ask = EngineRequest("GET", self.url + "/a", b"")
        for ended in (
            engine_calls.call(ask, TIMEOUT_MS, CONNECT_MS),
            proxying.call(ConnectionPool(), ask, 4 * CONNECT_MS),
        ):
            self.assertThat((ended.code, ended.request_sent), Equals((0, False)))
