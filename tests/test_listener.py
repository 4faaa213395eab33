"""The HTTP listener on real sockets: only complete requests are handled, each response goes to
its own connection, and no state is left behind, however threads are scheduled."""

import json
import random
import socket
import struct
import sys
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from pulleyhitch import admission
from pulleyhitch.listener import Listener
from testtools import TestCase
from testtools.matchers import Equals

WAIT_S = 30
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n"
RESET = struct.pack("ii", 1, 0)


def id_of(caller):
    return caller.request.head.partition(b"X-Id: ")[2].partition(b"\r\n")[0]


def answer(sock, id_):
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(id_), id_))


class ListenerTestCase(TestCase):
    def start_listener(self, begin, threads=16, policy=admission.PRODUCT_POLICY):
        listener = Listener(
            "127.0.0.1", 0, threads, begin, lambda data: "rank0", WAIT_S, policy=policy
        )
        self.address = listener._acceptor.listening.getsockname()
        thread = threading.Thread(target=listener.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(listener.stop)
        return listener

    def connect(self):
        sock = socket.create_connection(self.address, timeout=WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def until(self, condition):
        end_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "timed out")
            time.sleep(0.002)


def received(sock):
    """All bytes until the connection ends."""
    data = b""
    try:
        while chunk := sock.recv(65536):
            data += chunk
    except ConnectionError:
        pass
    return data


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


class Framing(ListenerTestCase):
    def setUp(self):
        super().setUp()
        self.handled = []
        self.listener = self.start_listener(self.begin)

    def begin(self, caller):
        self.handled.append(id_of(caller))
        answer(caller.sock, id_of(caller))

    def assert_still_serving(self):
        """A valid request is still served; by then all earlier ones have been handled."""
        sock = self.connect()
        sock.sendall(HEAD % b"proper" + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(received(sock).endswith(b"proper"))

    def test_a_truncated_request_is_refused(self):
        whole = HEAD % b"early" + b"Content-Length: 5\r\n\r\nhello"
        for length in range(1, len(whole)):
            sock = self.connect()
            sock.sendall(whole[:length])
            sock.shutdown(socket.SHUT_WR)
            self.assertThat(received(sock)[:12], Equals(b"HTTP/1.1 400"))
        self.assertThat(self.handled, Equals([]))
        self.assert_still_serving()

    def test_a_request_whose_connection_is_reset_is_dropped(self):
        whole = HEAD % b"reset" + b"Content-Length: 5\r\n\r\nhello"
        for length in range(1, len(whole), 7):
            sock = self.connect()
            sock.sendall(whole[:length])
            self.until(lambda: any(c.data for c in list(self.listener._connections.values())))
            reset(sock)
            self.until(lambda: not self.listener._connections)
        self.assertThat((self.handled, self.listener._budget.used_bytes), Equals(([], 0)))
        self.assert_still_serving()

    def test_ambiguous_requests_are_refused(self):
        for fields, status in (
            (b"Content-Length: 5\r\nContent-Length: 2\r\n\r\nhello", 400),
            (b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            (b"Transfer-Encoding: chunked\r\n\r\n-6\r\nabc\r\n0\r\n\r\n", 400),
            (b"A: x\rX-Id: other\r\n\r\n", 400),
            (b"A: " + b"x" * 40000, 431),
            (b"Content-Length: 99999999\r\n\r\n", 413),
        ):
            sock = self.connect()
            sock.sendall(HEAD % b"odd" + fields)
            self.assertThat(received(sock)[:12], Equals(b"HTTP/1.1 %d" % status))
        self.assertThat(self.handled, Equals([]))
        self.assert_still_serving()

    def test_the_exceeded_limit_is_reported(self):
        """The limit of this kind of request, not the largest of all."""
        listener = self.start_listener(self.begin)
        sock = self.connect()
        sock.sendall(b"POST /v1/task HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n{")
        self.assertThat(
            json.loads(received(sock).split(b"\r\n")[-1])["limitBytes"], Equals(1 << 20)
        )
        self.until(lambda: not listener._connections)

    def test_bytes_after_a_request_are_ignored(self):
        """Neither a pipelined request nor one inside a body is handled."""
        inner = HEAD % b"inner" + b"Content-Length: 0\r\n\r\n"
        for sent in (
            HEAD % b"outer" + b"Content-Length: 0\r\n\r\n" + inner,
            HEAD % b"outer" + b"Content-Length: %d\r\n\r\n" % len(inner) + inner,
            HEAD % b"outer" + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
        ):
            sock = self.connect()
            sock.sendall(sent)
            self.assertThat(received(sock).count(b"HTTP/1.1 200"), Equals(1))
        self.assertThat(self.handled, Equals([b"outer"] * 3))


class Disconnecting(ListenerTestCase):
    def test_a_disconnect_while_the_request_resumes(self):
        """The disconnect is detected just when another thread takes over the request."""
        future, finished, disconnected, peek = Future(), threading.Event(), [], admission.peek

        def begin(caller):
            if id_of(caller) == b"waits":
                return future, lambda step: finished.set(), lambda: disconnected.append(1)
            answer(caller.sock, id_of(caller))
            return None

        def peek_slowly(sock):
            seen = peek(sock)
            if seen == b"" and not future.done():
                future.set_result(None)
                finished.wait(WAIT_S)
            return seen

        self.patch(admission, "peek", peek_slowly)
        listener = self.start_listener(begin)
        sock = self.connect()
        sock.sendall(HEAD % b"waits" + b"Content-Length: 0\r\n\r\n")
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(finished.wait(WAIT_S))
        other = self.connect()
        other.sendall(HEAD % b"other" + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(received(other).endswith(b"other"))
        self.until(lambda: not listener._connections)
        self.assertThat(disconnected, Equals([]))


class Stress(ListenerTestCase):
    """Callers that wait, disconnect, reset and truncate, with the shortest thread switch
    interval."""

    CALLERS, EACH = 12, 40

    def setUp(self):
        super().setUp()
        before = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, before)
        sys.setswitchinterval(1e-6)
        self.lock = threading.Lock()
        self.waiting, self.finished, self.handled, self.disconnected = [], [], [], []
        self.stop = threading.Event()
        self.listener = self.start_listener(self.begin, threads=32)
        resolver = threading.Thread(target=self.resolve, daemon=True)
        resolver.start()
        self.addCleanup(resolver.join, WAIT_S)
        self.addCleanup(self.stop.set)

    def begin(self, caller):
        id_ = id_of(caller)
        with self.lock:
            self.handled.append(id_)
        if random.Random(id_).random() < 0.4:
            answer(caller.sock, id_)
            return None
        future = Future()

        def finish(step):
            with self.lock:
                self.finished.append(id_)
            if step == "resume":
                answer(caller.sock, id_)

        def disconnected():
            with self.lock:
                self.disconnected.append(id_)
            self.settle(future, "gone")

        with self.lock:
            self.waiting.append(future)
        return future, finish, disconnected

    def settle(self, future, step):
        """Resolve a request as the owner thread would; only the first outcome counts."""
        with self.lock:
            first = future in self.waiting
            if first:
                self.waiting.remove(future)
        if first:
            future.set_result(step)

    def resolve(self):
        rng = random.Random(5)
        while not self.stop.is_set():
            with self.lock:
                future = rng.choice(self.waiting) if self.waiting else None
            if future is not None:
                self.settle(future, "resume")
            time.sleep(0)

    def send_requests(self, number):
        """One caller's requests: (number of responses, wrong responses)."""
        rng, answered, wrong_responses = random.Random(number), 0, []
        for turn in range(self.EACH):
            id_ = b"%d.%d" % (number, turn)
            whole = HEAD % id_ + b"Content-Length: 3\r\n\r\nabc"
            behaviour = rng.choice(("stay", "stay", "stay", "leave", "reset", "cut"))
            with socket.create_connection(self.address, timeout=WAIT_S) as sock:
                if behaviour == "cut":
                    sock.sendall(whole[: rng.randrange(len(whole))])
                    reset(sock)
                    continue
                sock.sendall(whole)
                if behaviour == "reset":
                    reset(sock)
                elif behaviour == "stay":
                    data = received(sock)
                    answered += 1
                    if data.partition(b"\r\n\r\n")[2] != id_:
                        wrong_responses.append((id_, data))
        return answered, wrong_responses

    def test_each_caller_gets_its_own_response(self):
        with ThreadPoolExecutor(self.CALLERS) as pool:
            found = list(pool.map(self.send_requests, range(self.CALLERS)))
        self.assertThat(
            [wrong_responses for _, wrong_responses in found], Equals([[]] * self.CALLERS)
        )
        self.until(lambda: not self.listener._connections)
        listener = self.listener
        self.until(listener._threads.shares.all_free)
        self.assertThat((listener._budget.used_bytes, len(listener._threads.queue)), Equals((0, 0)))
        with self.lock:
            self.assertThat(self.waiting, Equals([]))
            self.assertThat(len(set(self.finished)), Equals(len(self.finished)))
            self.assertThat(len(set(self.handled)), Equals(len(self.handled)))
            self.assertThat(len(set(self.disconnected)), Equals(len(self.disconnected)))
            self.assertTrue(set(self.finished) <= set(self.handled))


class Stopping(ListenerTestCase):
    CALLERS = 150

    def test_connections_that_were_not_accepted_yet_are_served(self):
        """Guards against LOST: a stop closed the connections of a backlog longer than one turn."""
        listener = Listener(
            "127.0.0.1", 0, 2 * self.CALLERS, self.begin, lambda data: "rank0", WAIT_S
        )
        self.address = listener._acceptor.listening.getsockname()
        socks = [self.connect() for _ in range(self.CALLERS)]
        for sock in socks:
            sock.sendall(HEAD % b"early" + b"Content-Length: 0\r\n\r\n")
        listener.stop()
        thread = threading.Thread(target=listener.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        endings = [received(sock)[-5:] for sock in socks]
        self.assertThat(endings, Equals([b"early"] * self.CALLERS))

    def begin(self, caller):
        answer(caller.sock, id_of(caller))


class ThreadsOfABurst(ListenerTestCase):
    REQUESTS = 24

    # Idle threads that the two pools may keep.
    IDLE = 2 * 8

    def test_they_end_but_for_a_few(self):
        """Guards against LEAK: a node kept the threads of the largest burst of its life."""
        threads, futures = set(), []
        began = threading.Barrier(self.REQUESTS + 1)
        finished = threading.Barrier(self.REQUESTS)

        def begin(caller):
            threads.add(threading.current_thread())
            began.wait(WAIT_S)
            futures.append(Future())
            return futures[-1], lambda _: finish(caller), lambda: None

        def finish(caller):
            threads.add(threading.current_thread())
            finished.wait(WAIT_S)
            answer(caller.sock, b"late")

        self.start_listener(begin, threads=128)
        socks = [self.connect() for _ in range(self.REQUESTS)]
        for sock in socks:
            sock.sendall(HEAD % b"held" + b"Content-Length: 0\r\n\r\n")
        began.wait(WAIT_S)
        self.until(lambda: len(futures) == self.REQUESTS)
        for future in futures:
            future.set_result(None)
        for sock in socks:
            self.assertTrue(received(sock).endswith(b"late"))
        self.assertThat(len(threads), Equals(2 * self.REQUESTS))
        self.until(lambda: sum(thread.is_alive() for thread in threads) <= self.IDLE)
