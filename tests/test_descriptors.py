"""A process without descriptors left: requests are refused with the promise that they haven't run,
and idle connections to engines make room."""

import pycurl
from gateway_harness import GatewayTestCase
from routing import connection_pool
from routing.connection_pool import Connection, ConnectionPool, OutOfDescriptors
from testtools import TestCase
from testtools.matchers import Contains, Equals, StartsWith

ADDRESSES, CONNECTIONS = 40, 12
LIMIT = 256
KEEP_S = 60.0


class Multis:
    """Stands for pycurl.CurlMulti: `left` of them can be made."""

    def __init__(self, test, left):
        self.left, self._make = left, pycurl.CurlMulti
        test.patch(connection_pool.pycurl, "CurlMulti", self.make)

    def make(self):
        if self.left <= 0:
            raise pycurl.error("initializing curl-multi failed")
        self.left -= 1
        return self._make()


class Requests(GatewayTestCase):
    # FAULT: a request that found no descriptor got 500, though another node could have served it.
    def test_a_request_without_a_descriptor_is_refused_as_not_run(self):
        multis = Multis(self, 0)
        data = self.whole_exchange(1, b"body")
        self.assertThat(data, StartsWith(b"HTTP/1.1 503"))
        self.assertThat(data, Contains(b"Retry-After: 1.000"))
        multis.left = 1
        self.assertThat(self.exchange(2, b"body"), Equals(b"4"))


class Pool(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = ConnectionPool()
        self.addCleanup(self.pool._close_idle)

    def fill(self):
        for address in range(ADDRESSES):
            for _ in range(CONNECTIONS):
                self.pool.release(f"http://{address}", Connection(), 0, KEEP_S)

    def test_idle_connections_to_all_engines_together_are_bounded(self):
        self.fill()
        idle = [len(connections) for connections in self.pool._idle.values()]
        self.assertThat(sum(idle), Equals(LIMIT))

    def test_idle_connections_make_room_for_a_new_one(self):
        self.fill()
        multis = Multis(self, 0)
        self.assertRaises(OutOfDescriptors, self.pool.acquire, "http://other", False)
        self.assertThat(self.pool._idle, Equals({}))
        multis.left = 1
        connection, kept = self.pool.acquire("http://other", False)
        self.addCleanup(connection.close)
        self.assertThat(kept, Equals(False))
