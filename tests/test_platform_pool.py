"""The pool of connections to engines: a connection is reused only if there is no doubt about it."""

import socket
import threading

from routing import connection_pool, proxying, response_framing
from routing.connection_pool import ConnectionPool
from routing.engine_api import EngineRequest
from routing.response_head import ResponseHead
from testtools import TestCase
from testtools.matchers import Equals


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


class Pooled(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.patch(connection_pool, "time", self.clock)
        self.pool = ConnectionPool()
        self.own_end, self.engine_end = socket.socketpair()
        for sock in (self.own_end, self.engine_end):
            self.addCleanup(sock.close)

    def release(self, keep_s, fd=None):
        connection, _ = self.pool.acquire("http://e", True)
        self.pool.release(
            "http://e", connection, self.own_end.fileno() if fd is None else fd, keep_s
        )
        return connection

    def acquire(self, base="http://e", fresh=False):
        connection, is_pooled = self.pool.acquire(base, fresh)
        self.addCleanup(connection.close)
        return connection if is_pooled else None

    def test_reused_once_for_the_same_address(self):
        connection = self.release(10)
        self.assertThat(self.acquire("http://f"), Equals(None))
        self.assertThat(self.acquire(), Equals(connection))
        self.assertThat(self.acquire(), Equals(None))

    def test_a_request_that_must_not_run_twice_gets_a_new_connection(self):
        connection = self.release(10)
        self.assertThat(self.acquire(fresh=True), Equals(None))
        self.assertThat(self.acquire(), Equals(connection))

    def test_not_with_bytes_to_read(self):
        self.release(10)
        self.engine_end.send(b"H")
        self.assertThat(self.acquire(), Equals(None))

    def test_not_after_the_other_end_closed(self):
        self.release(10)
        self.engine_end.close()
        self.assertThat(self.acquire(), Equals(None))

    def test_not_after_it_expired(self):
        for keep_s, elapsed_s, good in (
            (10, 5.0, True),
            (10, 9.0, False),
            (1, 0.5, True),
            (1, 0.9, False),
            (0, 0.0, False),
            (None, 0.3, True),
            (None, 1.0, False),
        ):
            self.release(keep_s)
            self.clock.now_s += elapsed_s
            self.assertThat(self.acquire() is not None, Equals(good), f"{keep_s} {elapsed_s}")

    def test_not_without_a_socket(self):
        self.release(10, fd=-1)
        self.assertThat(self.acquire(), Equals(None))

    def test_the_newest_is_used_and_the_rest_bounded(self):
        given = [self.release(10) for _ in range(50)]
        found = []
        while (connection := self.acquire()) is not None:
            found.append(connection)
        self.assertThat(found, Equals(given[-1:-33:-1]))

    def test_connections_to_removed_engines_are_closed(self):
        """Nobody acquires connections to their addresses any more, while others are still
        released."""
        closed = []
        self.patch(
            connection_pool.Connection, "close", lambda connection: closed.append(connection)
        )
        gone = self.release(1)
        self.clock.now_s += 6.0
        other, _ = self.pool.acquire("http://f", True)
        self.pool.release("http://f", other, self.own_end.fileno(), 10)
        self.assertThat((closed, list(self.pool._idle)), Equals(([gone], ["http://f"])))


class KeepAlive(TestCase):
    def test_announced_idle_timeout(self):
        for value, seconds in (
            ("timeout=5", 5),
            ("timeout=5, max=100", 5),
            ("max=9, Timeout=7", 7),
            ("", None),
            ("x", None),
            ("timeout=", None),
            ("timeout=-1", None),
            ("timeout=\xb2", None),
            ("timeout=" + "9" * 5000, 999999999),
        ):
            head = ResponseHead(200, "", (("Keep-Alive", value),) if value else ())
            self.assertThat(response_framing.keep_alive_s(head), Equals(seconds), value[:20])


class Engine:
    """Answers each request on a connection with the next of `answers`, and counts both."""

    def __init__(self, *answers):
        self._answers, self.connections, self.requests = list(answers), 0, []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        self._listener.close()

    def _run(self):
        while self._answers:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        got = b""
        with sock:
            while self._answers:
                while b"\r\n\r\n" not in got:
                    part = sock.recv(65536)
                    if not part:
                        return
                    got += part
                self.requests.append(got)
                got, answer = b"", self._answers.pop(0)
                sock.sendall(answer)


def answer(body, *headers, length=None):
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Length: {len(body) if length is None else length}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Reuse(TestCase):
    def get(self, engine, pool, fresh=False):
        source = proxying.stream(
            pool,
            engine.url,
            EngineRequest("GET", engine.url + "/a/../b?x", b""),
            10000,
            5000,
            fresh,
        )
        events = list(source)
        return b"".join(v for k, v in events if k == "data"), events[-1][1].code

    def connections(self, first, fresh=False):
        """How many connections two requests take if the first is answered with `first`."""
        engine, pool = Engine(first, answer(b"two"), answer(b"three")), ConnectionPool()
        self.addCleanup(engine.close)
        self.get(engine, pool)
        self.assertThat(self.get(engine, pool, fresh), Equals((b"two", 200)))
        return engine.connections

    def test_reused_after_a_complete_response(self):
        self.assertThat(self.connections(answer(b"one", "Keep-Alive: timeout=60")), Equals(1))

    def test_not_reused(self):
        for first in (
            answer(b"one", "Connection: close"),
            answer(b"one", "Keep-Alive: timeout=0"),
            answer(b"one", "Keep-Alive: timeout=60") + b"HTTP/1.1 200 OK\r\n",
            b"no answer at all\r\n\r\n",
        ):
            self.assertThat(self.connections(first), Equals(2), first)
        self.assertThat(self.connections(answer(b"one", "Keep-Alive: timeout=60"), True), Equals(2))

    def test_surplus_bytes_are_dropped_with_the_connection(self):
        engine = Engine(answer(b"one", "Keep-Alive: timeout=60") + answer(b"stray"), answer(b"two"))
        self.addCleanup(engine.close)
        pool = ConnectionPool()
        self.assertThat(
            [self.get(engine, pool)[0], self.get(engine, pool)[0]], Equals([b"one", b"two"])
        )

    def test_the_target_is_sent_unchanged(self):
        engine = Engine(answer(b"one"))
        self.addCleanup(engine.close)
        self.get(engine, ConnectionPool())
        self.assertThat(engine.requests[0].split(b"\r\n")[0], Equals(b"GET /a/../b?x HTTP/1.1"))
