"""Memory that requests through the gateway take, and what is left of them.

Python's own allocations are traced, with the cyclic garbage collector off: it counts objects
and not bytes, so a few large bodies that only it can free stay for long.
"""

import socket
import tracemalloc

from gateway_harness import PART_BYTES, WAIT_S, GatewayTestCase, received
from simulation.platform_serving import reply
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, StartsWith

BODY_BYTES = 1 << 20
REQUESTS = 12
SMALL_BYTES = 1000
STALLED = 8


class BodiesAreFreed(GatewayTestCase):
    # FAULT: a counter kept two copies of each body in reference cycles until a full run of the
    # garbage collector, and went over its memory limit after some tens of large requests.
    def test_finished_requests_leave_no_body_behind(self):
        body = bytes(BODY_BYTES)
        self.exchange(0, body)
        self.trace()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(REQUESTS):
            told = self.exchange(1 + number, body)
            self.assertThat(told, Equals(b"%d" % BODY_BYTES))
        self.until(lambda: tracemalloc.get_traced_memory()[0] - before < BODY_BYTES)

    # FAULT: five copies of a body stood side by side while it was received and read.
    def test_a_request_takes_little_more_than_two_copies_of_its_body(self):
        body = bytes(BODY_BYTES)
        self.exchange(0, body)
        self.trace()
        before = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        self.exchange(1, body)
        # What is received, and the body taken out of it; later the body and the engine's copy.
        peak = tracemalloc.get_traced_memory()[1] - before
        self.assertThat(peak, LessThan(2.5 * BODY_BYTES))


class BytesAreBounded(GatewayTestCase):
    """The bytes that the gateway holds for requests and responses stay within its budget."""

    MEMORY_MB = 10

    def setUp(self):
        self.response_bytes = 0
        super().setUp()

    def respond(self, handler, body):
        id_ = handler.headers["X-Try-Id"]
        data = bytes(self.response_bytes) or b"%d" % len(body)
        reply(handler, 200, (f"X-Try-Id: {id_}", f"X-Postmark: {id_}"), data)

    def connect(self, length):
        """A connection on which the head of a request with a body of this length was sent."""
        sock = socket.create_connection(self.address, WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(
            b"POST /a HTTP/1.1\r\nHost: h\r\nX-Try-Id: t\r\nContent-Length: %d\r\n\r\n" % length
        )
        return sock

    def fill_large_part(self):
        """Stall so many bodies that no other large one has room; returns the budget's limit."""
        limit_bytes = self.process.config.budget_bytes
        self.connected(STALLED, limit_bytes // STALLED)
        self.until(lambda: self.process.budget.used_bytes > 0.6 * limit_bytes)
        return limit_bytes

    def connected(self, count, length):
        """So many such connections, and the first bytes of a body on each."""
        found = [self.connect(length) for _ in range(count)]
        for sock in found:
            sock.sendall(bytes(SMALL_BYTES))
        return found

    # FAULT: nothing bounded the sum of the bodies that a counter received and held.
    def test_a_large_request_without_room_is_refused_before_its_body_is_read(self):
        limit_bytes = self.fill_large_part()
        sock = self.connect(BODY_BYTES)
        answer = sock.recv(PART_BYTES)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
        self.assertThat(answer, Contains(b"Retry-After: 1"))
        self.assertThat(self.process.budget.used_bytes, LessThan(limit_bytes))

    # LOST: a connection closed with unread bytes is reset, and its caller saw no response.
    def test_a_refused_caller_that_goes_on_sending_gets_the_response(self):
        self.fill_large_part()
        sock = self.connect(BODY_BYTES)
        sock.sendall(bytes(BODY_BYTES))
        self.assertThat(received(sock), StartsWith(b"HTTP/1.1 503"))

    # FAULT: a few large requests must not keep all others out while they arrive slowly.
    def test_small_requests_find_room_beside_large_ones_that_stall(self):
        self.fill_large_part()
        told = self.exchange(1, bytes(SMALL_BYTES))
        self.assertThat(told, Equals(b"%d" % SMALL_BYTES))

    # FAULT: responses were collected whole, however long they were and however many at once.
    def test_long_responses_pass_through_within_the_budget(self):
        self.response_bytes = 3 * self.process.config.budget_bytes
        body = bytes(SMALL_BYTES)
        self.exchange(0, body)
        self.trace()
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
        sock = self.connect(SMALL_BYTES)
        sock.sendall(body)
        size = 0
        while part := sock.recv(PART_BYTES):
            size += len(part)
        self.assertThat(size, GreaterThan(self.response_bytes))
        # The engine's response and the copy that it sends are this process's as well.
        own_bytes = tracemalloc.get_traced_memory()[1] - before - 2 * self.response_bytes
        self.assertThat(own_bytes, LessThan(2 * self.process.config.budget_bytes))

    def test_everything_is_given_back(self):
        for number in range(REQUESTS):
            self.exchange(number, bytes(BODY_BYTES))
        for sock in self.connected(3, BODY_BYTES):
            sock.close()
        self.until(lambda: self.process.budget.used_bytes == 0)
