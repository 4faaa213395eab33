"""One connection to a misbehaving engine: to which request a response belongs, whether it is
complete, what was sent, and how often."""

import socket
import struct
import threading

from adapter.dialect import DIALECT
from routing import connection_pool, engine_calls, proxying
from routing.connection_pool import ConnectionPool
from routing.engine_api import EngineRequest
from routing.response_head import ResponseHead
from testtools import TestCase
from testtools.matchers import Equals

WAIT_S = 30
RESET = struct.pack("ii", 1, 0)
KEPT = "Keep-Alive: timeout=60"


def answer(body, *headers, length=None):
    announced = len(body) if length is None else length
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {announced}", KEPT, *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Engine:
    """An engine with a script for each connection: a list of `read` (a head), `reset`, `close`,
    events to wait for, functions to call, and bytes to send."""

    def __init__(self, *scripts):
        self.requests, self.connections, self._scripts = [], 0, list(scripts)
        self.ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        for script in self._scripts:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock, script), daemon=True).start()

    def _serve(self, sock, script):
        with sock:
            self._play(sock, script)
        self.ended.set()

    def _play(self, sock, script):
        for step in script:
            if step == "read":
                self._read(sock)
            elif step == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return
            elif step == "drain":
                # A socket closed with unread bytes sends a reset, which may overtake the response.
                while sock.recv(65536):
                    pass
            elif step == "close":
                return
            elif isinstance(step, threading.Event):
                step.wait(WAIT_S)
            elif callable(step):
                step()
            else:
                sock.sendall(step)
        sock.recv(1)

    def _read(self, sock):
        got = b""
        while b"\r\n\r\n" not in got:
            part = sock.recv(65536)
            if not part:
                return
            got += part
        self.requests.append(got)


class Exchanges(TestCase):
    def engine(self, *scripts):
        engine = Engine(*scripts)
        self.addCleanup(engine.close)
        return engine

    def ask(self, engine, pool=None, method="GET", body=b"", headers=(), fresh=False, target="/x"):
        """(head, data, AttemptEnd) of one request."""
        events = list(
            proxying.stream(
                pool or ConnectionPool(),
                engine.url,
                EngineRequest(method, engine.url + target, body, headers),
                WAIT_S * 1000,
                5000,
                fresh,
            )
        )
        heads = [value for kind, value in events if kind == "head"]
        data = b"".join(value for kind, value in events if kind == "data")
        return (heads[0] if heads else None), data, events[-1][1]


class SentOnce(Exchanges):
    def test_no_automatic_retry_on_a_pooled_connection_that_broke(self):
        """The engine has read the request on a pooled connection and breaks it off: the request
        may have run, and only the router decides on a retry."""
        for end in ("close", "reset"):
            for method, body in (("GET", b""), ("POST", b""), ("POST", b"q"), ("HEAD", b"")):
                engine = self.engine(["read", answer(b""), "read", end], ["read", answer(b"again")])
                pool = ConnectionPool()
                self.assertThat(self.ask(engine, pool, method, body)[2].code, Equals(200))
                head, data, ended = self.ask(engine, pool, method, body)
                self.assertThat((head, data), Equals((None, b"")))
                self.assertThat((ended.code, ended.request_sent), Equals((0, True)))
                self.assertThat((engine.connections, len(engine.requests)), Equals((1, 2)))

    def test_no_automatic_retry_on_a_new_connection(self):
        for end in ("close", "reset"):
            for body in (b"", b"q"):
                engine = self.engine(["read", end], ["read", answer(b"again")])
                _, _, ended = self.ask(engine, method="POST", body=body, fresh=True)
                self.assertThat((ended.code, ended.request_sent), Equals((0, True)))
                self.assertThat((engine.connections, len(engine.requests)), Equals((1, 1)))

    def test_no_automatic_retry_of_product_calls(self):
        for end in ("close", "reset"):
            engine = self.engine(["read", end], ["read", answer(b"again")])
            ended = engine_calls.call(
                EngineRequest("POST", engine.url + "/task", b"q"), WAIT_S * 1000
            )
            self.assertThat((ended.code, ended.request_sent), Equals((0, True)))
            self.assertThat((engine.connections, len(engine.requests)), Equals((1, 1)))

    def test_a_large_body_on_a_connection_that_breaks(self):
        engine = self.engine(["read", "reset"], ["read", answer(b"again")])
        _, _, ended = self.ask(engine, method="POST", body=b"x" * (4 << 20), fresh=True)
        self.assertThat((ended.code, ended.request_sent), Equals((0, True)))
        self.assertThat((engine.connections, len(engine.requests)), Equals((1, 1)))

    def test_a_pooled_connection_that_was_reset_is_replaced(self):
        """Nothing was sent on it, so the request is sent once on a new connection."""
        engine = self.engine(["read", answer(b"one"), "reset"], ["read", answer(b"two")])
        pool = ConnectionPool()
        self.ask(engine, pool)
        self.assertTrue(engine.ended.wait(WAIT_S))
        self.patch(connection_pool, "_has_nothing_to_read", lambda fd: True)
        self.assertThat(self.ask(engine, pool)[1], Equals(b"two"))
        self.assertThat((engine.connections, len(engine.requests)), Equals((2, 2)))

    def test_nothing_was_sent_without_a_listener(self):
        engine = self.engine()
        engine.close()
        self.assertThat(self.ask(engine, fresh=True)[2].request_sent, Equals(False))

    def test_redirects_are_passed_on(self):
        engine = self.engine(
            [
                "read",
                b"HTTP/1.1 307 Go\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n",
                "read",
                answer(b"no"),
            ]
        )
        self.assertThat(self.ask(engine)[0].code, Equals(307))
        self.assertThat(len(engine.requests), Equals(1))


class SentUnchanged(Exchanges):
    def test_targets(self):
        for target in ("/a#b", "/a/../b?c=/%2e", "/a//b", "/\xe9?\xff", "/@h:1/x", "/[0-9]{a,b}"):
            engine = self.engine(["read", answer(b"")])
            self.ask(engine, target=target)
            line = engine.requests[0].split(b"\r\n")[0]
            self.assertThat(line, Equals(b"GET %s HTTP/1.1" % target.encode("latin1")))

    def test_headers(self):
        engine = self.engine(["read", answer(b"")])
        self.ask(engine, method="POST", body=b"q", headers=("A: \xe9", "B;", "Host: h"))
        lines = engine.requests[0].split(b"\r\n")
        for line in (b"A: \xe9", b"B:", b"Host: h"):
            self.assertTrue(line in lines, lines)
        for name in (b"Expect", b"User-Agent", b"Accept", b"Accept-Encoding", b"Cookie"):
            self.assertFalse(any(line.startswith(name + b":") for line in lines), lines)


class Whole(Exchanges):
    def test_an_interim_response_before_half_a_head(self):
        """The final head counts once it is complete."""
        sent, rest, idle = threading.Event(), threading.Event(), 0
        engine = self.engine(
            [
                "read",
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n",
                sent.set,
                rest,
                b"B: 2\r\nContent-Length: 2\r\n\r\nok",
            ]
        )
        engine_request = EngineRequest("GET", engine.url + "/", b"")
        heads = []
        for kind, value in proxying.stream(
            ConnectionPool(), engine.url, engine_request, WAIT_S * 1000, 5000, False
        ):
            if kind == "head":
                heads.append(value.get("b"))
            idle += kind == "idle" and sent.is_set()
            if idle == 2:
                # The first part has been read by now.
                rest.set()
        self.assertThat(heads, Equals(["2"]))

    def test_only_a_delimited_response_can_be_complete(self):
        """A response that runs until the connection closes looks complete when it is cut."""
        for method, sent, whole in (
            ("GET", b"HTTP/1.1 200 OK\r\n\r\nhalf", False),
            ("GET", b"HTTP/1.0 200 OK\r\n\r\nhalf", False),
            ("GET", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False),
            ("GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", False),
            (
                "GET",
                b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf.",
                False,
            ),
            ("GET", b"HTTP/1.1 200 OK\r\nContent-Le", False),
            ("GET", b"nothing that is an answer\r\n\r\n", False),
            ("GET", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", True),
            ("GET", b"HTTP/1.1 204 OK\r\n\r\n", True),
            ("GET", b"HTTP/1.1 304 OK\r\n\r\n", True),
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", True),
            ("HEAD", b"HTTP/1.1 200 OK\r\n\r\n", True),
        ):
            engine = self.engine(["read", sent, "close"])
            _, _, ended = self.ask(engine, method=method)
            self.assertThat(ended.code > 0, Equals(whole), f"{method} {sent}")

    def test_a_response_before_the_request_was_sent_completely(self):
        sent = b"HTTP/1.1 503 No\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
        engine = self.engine(["read", sent, "drain"], ["read", answer(b"next")])
        pool = ConnectionPool()
        head, _, _ = self.ask(engine, pool, "POST", b"x" * (16 << 20))
        self.assertThat((head.code, head.get("x-not-run")), Equals((503, "full")))
        self.assertThat(self.ask(engine, pool)[1], Equals(b"next"))


class PooledConnections(Exchanges):
    def test_a_late_surplus_response_is_not_taken_for_ours(self):
        """It arrives after the connection was checked and before our response."""
        stray = answer(b"stray", "X-Try-Id: first", "X-Postmark: p")
        engine = self.engine(
            ["read", answer(b"one", "X-Try-Id: first", "X-Postmark: p"), "read", stray]
        )
        pool = ConnectionPool()
        self.ask(engine, pool)
        head, _, _ = self.ask(engine, pool)
        self.assertThat((head.kept, engine.connections), Equals((True, 1)))
        self.assertThat(DIALECT.classify_response({"id": "second"}, head), Equals("foreign"))

    def test_calls_share_no_connection_with_requests(self):
        """Responses to calls carry no id, so a surplus response would be taken for theirs."""
        engine = self.engine(
            ["read", answer(b"one"), "read", answer(b"stray")],
            ["read", answer(b"order")],
            ["read", answer(b"report")],
        )
        pool = ConnectionPool()
        self.ask(engine, pool)
        for method, body in (("POST", b"{}"), ("GET", b"")):
            ended = proxying.call(
                pool, EngineRequest(method, engine.url + "/o", body), WAIT_S * 1000
            )
            self.assertThat(ended.data, Equals(b"order" if body else b"report"))
        self.assertThat(engine.connections, Equals(3))

    def test_orders_to_one_engine_share_a_connection(self):
        engine = self.engine(["read", answer(b"one"), "read", answer(b"two")])
        pool, order = ConnectionPool(), EngineRequest("POST", engine.url + "/o", b"{}")
        found = [proxying.call(pool, order, WAIT_S * 1000).data for _ in range(2)]
        self.assertThat((found, engine.connections), Equals(([b"one", b"two"], 1)))

    def test_an_order_uses_no_connection_with_unread_bytes(self):
        """A surplus response that is there before the next order ends the connection."""
        engine = self.engine(["read", answer(b"one") + answer(b"stray")], ["read", answer(b"two")])
        pool, order = ConnectionPool(), EngineRequest("POST", engine.url + "/o", b"{}")
        found = [proxying.call(pool, order, WAIT_S * 1000).data for _ in range(2)]
        self.assertThat((found, engine.connections), Equals(([b"one", b"two"], 2)))

    def test_an_order_uses_no_connection_of_reports(self):
        engine = self.engine(
            ["read", answer(b"report"), "read", answer(b"stray")], ["read", answer(b"order")]
        )
        pool = ConnectionPool()
        proxying.call(pool, EngineRequest("GET", engine.url + "/r", b""), WAIT_S * 1000)
        ended = proxying.call(pool, EngineRequest("POST", engine.url + "/o", b"{}"), WAIT_S * 1000)
        self.assertThat((ended.data, engine.connections), Equals((b"order", 2)))

    def test_not_reused_after_connection_close(self):
        for header in ("Connection: close", "Connection: x, Close", "Connection: CLOSE"):
            engine = self.engine(["read", answer(b"one", header)], ["read", answer(b"two")])
            pool = ConnectionPool()
            self.assertThat(
                [self.ask(engine, pool)[1], self.ask(engine, pool)[1], engine.connections],
                Equals([b"one", b"two", 2]),
            )


class ClassifiedResponses(TestCase):
    """To which request a response belongs, judged by its head alone."""

    def classify(self, code, kept=False, **headers):
        named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        return DIALECT.classify_response({"id": "t1"}, ResponseHead(code, "", named, kept))

    def test_without_the_id_of_the_request(self):
        """On a connection that carried another request, such a response proves nothing."""
        self.assertThat(self.classify(200, X_Postmark="p"), Equals("foreign"))
        for kept, found in ((False, "not-run"), (True, "foreign")):
            self.assertThat(self.classify(421, kept), Equals(found))
            self.assertThat(self.classify(503, kept, X_Not_Run="full"), Equals(found))

    def test_with_an_id(self):
        for kept in (False, True):
            for id_, found in (("t1", "not-run"), ("t2", "foreign"), ("", "foreign")):
                self.assertThat(self.classify(421, kept, X_Try_Id=id_), Equals(found))
                self.assertThat(
                    self.classify(503, kept, X_Try_Id=id_, X_Not_Run="full"), Equals(found)
                )
            self.assertThat(self.classify(200, kept, X_Try_Id="t1", X_Postmark="p"), Equals("ours"))
            self.assertThat(self.classify(200, kept, X_Try_Id="t1"), Equals("foreign"))
            self.assertThat(self.classify(500, kept, X_Try_Id="t1"), Equals("ours"))
            for code in (408, 429, 503):
                self.assertThat(
                    self.classify(code, kept, X_Try_Id="t1", X_Postmark="p"), Equals("foreign")
                )
