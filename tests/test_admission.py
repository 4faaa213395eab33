"""Detection of a closed connection without consuming its data."""

import socket
from concurrent.futures import ThreadPoolExecutor

from pulleyhitch import admission
from testtools import TestCase
from testtools.matchers import Equals

TIMEOUT_S = 60.0


class Peek(TestCase):
    def setUp(self):
        super().setUp()
        self.sock, self.peer = socket.socketpair()
        self.addCleanup(self.sock.close)
        self.addCleanup(self.peer.close)
        self.sock.settimeout(TIMEOUT_S)

    def test_peek_does_not_block(self):
        """Nor on a socket with a timeout, as connections have while they are served."""
        with ThreadPoolExecutor(1) as pool:
            peeked = pool.submit(admission.peek, self.sock)
            try:
                self.assertThat(peeked.result(timeout=TIMEOUT_S / 4), Equals(None))
            finally:
                self.peer.sendall(b"x")

    def test_peeked_data_stays_readable(self):
        self.peer.sendall(b"x")
        self.assertThat(admission.peek(self.sock), Equals(b"x"))
        self.assertThat(self.sock.recv(10), Equals(b"x"))

    def test_closed_by_peer(self):
        self.peer.close()
        self.assertThat(admission.peek(self.sock), Equals(b""))
