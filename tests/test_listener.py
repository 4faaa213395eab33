"""The listener on real sockets: only whole requests go on, each answer goes to its own
connection, and nothing is left behind, however threads take turns."""

import socket
import struct
import threading
import time

from pulleyhitch.listener import Door
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
    def door(self, begin, threads=16, arrive_s=WAIT_S):
        door = Door("127.0.0.1", 0, threads, begin, lambda data: "rank0", arrive_s)
        self.address = door._listener.getsockname()
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
            self.until(lambda: any(c.data for c in list(self.serving._open.values())))
            reset(sock)
            self.until(lambda: not self.serving._open)
        self.assertThat((self.begun, self.serving._bytes), Equals(([], 0)))
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
