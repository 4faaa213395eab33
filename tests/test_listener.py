"""The listener on real sockets: only whole requests go on, each answer goes to its own
connection, and nothing is left behind, however threads take turns."""

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
    return bytes(caller.data).partition(b"X-Id: ")[2].partition(b"\r\n")[0]


def answer(sock, id_):
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(id_), id_))


class Listening(TestCase):
    def door(self, begin, threads=16, policy=admission.PRODUCT_POLICY):
        door = Listener("127.0.0.1", 0, threads, begin, lambda data: "rank0", WAIT_S, policy=policy)
        self.address = door._server_socket.getsockname()
        thread = threading.Thread(target=door.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(door.stop)
        return door

    def connect(self):
        sock = socket.create_connection(self.address, timeout=WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def until(self, true):
        end_s = time.monotonic() + WAIT_S
        while not true():
            self.assertTrue(time.monotonic() < end_s, "it never came about")
            time.sleep(0.002)


def received(sock):
    """All that comes until the connection ends."""
    got = b""
    try:
        while part := sock.recv(65536):
            got += part
    except ConnectionError:
        pass
    return got


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


class Begun(Listening):
    def setUp(self):
        super().setUp()
        self.begun = []
        self.serving = self.door(self.begin)

    def begin(self, caller):
        self.begun.append(id_of(caller))
        answer(caller.sock, id_of(caller))

    def asked_and_answered(self):
        """A proper request is still served; all before it has been judged."""
        sock = self.connect()
        sock.sendall(HEAD % b"proper" + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(received(sock).endswith(b"proper"))

    def test_a_request_that_ends_early_is_refused(self):
        whole = HEAD % b"early" + b"Content-Length: 5\r\n\r\nhello"
        for at in range(1, len(whole)):
            sock = self.connect()
            sock.sendall(whole[:at])
            sock.shutdown(socket.SHUT_WR)
            self.assertThat(received(sock)[:12], Equals(b"HTTP/1.1 400"))
        self.assertThat(self.begun, Equals([]))
        self.asked_and_answered()

    def test_a_request_that_is_reset_is_nobodys(self):
        whole = HEAD % b"reset" + b"Content-Length: 5\r\n\r\nhello"
        for at in range(1, len(whole), 7):
            sock = self.connect()
            sock.sendall(whole[:at])
            self.until(lambda: any(c.data for c in list(self.serving._connections.values())))
            reset(sock)
            self.until(lambda: not self.serving._connections)
        self.assertThat((self.begun, self.serving._buffered_bytes), Equals(([], 0)))
        self.asked_and_answered()

    def test_what_cannot_be_read_in_one_way_is_refused(self):
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
        self.assertThat(self.begun, Equals([]))
        self.asked_and_answered()

    def test_the_limit_that_was_passed_is_told(self):
        """The one of this request, not the largest of all."""
        door = self.door(self.begin)
        sock = self.connect()
        sock.sendall(b"POST /v1/task HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n{")
        self.assertThat(
            json.loads(received(sock).split(b"\r\n")[-1])["limitBytes"], Equals(1 << 20)
        )
        self.until(lambda: not door._connections)

    def test_bytes_after_a_request_are_not_run(self):
        """Neither pipelined requests nor one inside a body."""
        inner = HEAD % b"inner" + b"Content-Length: 0\r\n\r\n"
        for sent in (
            HEAD % b"outer" + b"Content-Length: 0\r\n\r\n" + inner,
            HEAD % b"outer" + b"Content-Length: %d\r\n\r\n" % len(inner) + inner,
            HEAD % b"outer" + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
        ):
            sock = self.connect()
            sock.sendall(sent)
            self.assertThat(received(sock).count(b"HTTP/1.1 200"), Equals(1))
        self.assertThat(self.begun, Equals([b"outer"] * 3))


class Leaving(Listening):
    def test_a_caller_that_leaves_as_its_task_goes_on(self):
        """Found gone at the very moment at which another thread takes its task over."""
        future, finished, left, peek = Future(), threading.Event(), [], admission.peek

        def begin(caller):
            if id_of(caller) == b"waits":
                return future, lambda step: finished.set(), lambda: left.append(1)
            answer(caller.sock, id_of(caller))
            return None

        def peek_slowly(sock):
            seen = peek(sock)
            if seen == b"" and not future.done():
                future.set_result(None)
                finished.wait(WAIT_S)
            return seen

        self.patch(admission, "peek", peek_slowly)
        door = self.door(begin)
        sock = self.connect()
        sock.sendall(HEAD % b"waits" + b"Content-Length: 0\r\n\r\n")
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(finished.wait(WAIT_S))
        other = self.connect()
        other.sendall(HEAD % b"other" + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(received(other).endswith(b"other"))
        self.until(lambda: not door._connections)
        self.assertThat(left, Equals([]))


class Stress(Listening):
    """Callers that wait, leave, reset and cut off, while threads switch as often as
    they can."""

    CALLERS, EACH = 12, 40

    def setUp(self):
        super().setUp()
        before = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, before)
        sys.setswitchinterval(1e-6)
        self.lock = threading.Lock()
        self.waiting, self.finished, self.begun, self.left = [], [], [], []
        self.stop = threading.Event()
        self.serving = self.door(self.begin, threads=32)
        resolver = threading.Thread(target=self.resolve, daemon=True)
        resolver.start()
        self.addCleanup(resolver.join, WAIT_S)
        self.addCleanup(self.stop.set)

    def begin(self, caller):
        id_ = id_of(caller)
        with self.lock:
            self.begun.append(id_)
        if random.Random(id_).random() < 0.4:
            answer(caller.sock, id_)
            return None
        future = Future()

        def finish(step):
            with self.lock:
                self.finished.append(id_)
            if step == "leg":
                answer(caller.sock, id_)

        def left():
            with self.lock:
                self.left.append(id_)
            self.settle(future, "gone")

        with self.lock:
            self.waiting.append(future)
        return future, finish, left

    def settle(self, future, step):
        """The owner's word: the first one counts."""
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
                self.settle(future, "leg")
            time.sleep(0)

    def calls(self, number):
        """One caller's requests: (how many were answered, what was wrong)."""
        rng, answered, wrong = random.Random(number), 0, []
        for turn in range(self.EACH):
            id_ = b"%d.%d" % (number, turn)
            whole = HEAD % id_ + b"Content-Length: 3\r\n\r\nabc"
            fate = rng.choice(("stay", "stay", "stay", "leave", "reset", "cut"))
            with socket.create_connection(self.address, timeout=WAIT_S) as sock:
                if fate == "cut":
                    sock.sendall(whole[: rng.randrange(len(whole))])
                    reset(sock)
                    continue
                sock.sendall(whole)
                if fate == "reset":
                    reset(sock)
                elif fate == "stay":
                    got = received(sock)
                    answered += 1
                    if got.partition(b"\r\n\r\n")[2] != id_:
                        wrong.append((id_, got))
        return answered, wrong

    def test_each_answer_is_its_callers_own(self):
        with ThreadPoolExecutor(self.CALLERS) as pool:
            found = list(pool.map(self.calls, range(self.CALLERS)))
        self.assertThat([wrong for _, wrong in found], Equals([[]] * self.CALLERS))
        self.until(lambda: not self.serving._connections)
        door = self.serving
        self.until(lambda: door._free_threads == door._thread_shares)
        self.assertThat((door._buffered_bytes, door._thread_queue), Equals((0, [])))
        with self.lock:
            self.assertThat(self.waiting, Equals([]))
            self.assertThat(len(set(self.finished)), Equals(len(self.finished)))
            self.assertThat(len(set(self.begun)), Equals(len(self.begun)))
            self.assertThat(len(set(self.left)), Equals(len(self.left)))
            self.assertTrue(set(self.finished) <= set(self.begun))
