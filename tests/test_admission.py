"""What the listener learns of a connection without reading from it."""

import socket
from concurrent.futures import ThreadPoolExecutor

from pulleyhitch import admission
from testtools import TestCase
from testtools.matchers import Equals

LIMIT_S = 60.0


class Peek(TestCase):
    def setUp(self):
        super().setUp()
        self.ours, self.theirs = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.ours.settimeout(LIMIT_S)

    def test_it_never_waits(self):
        """Also on a socket that has a time limit, as those of callers being served have."""
        with ThreadPoolExecutor(1) as pool:
            looking = pool.submit(admission.peek, self.ours)
            try:
                self.assertThat(looking.result(timeout=LIMIT_S / 4), Equals(None))
            finally:
                self.theirs.sendall(b"x")

    def test_what_is_there_stays_there(self):
        self.theirs.sendall(b"x")
        self.assertThat(admission.peek(self.ours), Equals(b"x"))
        self.assertThat(self.ours.recv(10), Equals(b"x"))

    def test_the_other_end_has_closed(self):
        self.theirs.close()
        self.assertThat(admission.peek(self.ours), Equals(b""))
