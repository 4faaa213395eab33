"""Memory that operators' large configurations take at one node, while it waits for their answers
and while it sends one to several readers."""

import gc
import json
import random
import socket
import threading
import time
import tracemalloc

from adapter.dialect import DIALECT
from process_harness import lone_counter
from pulleyhitch import json_text
from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.gateway import OperatorGateway
from simulation import platform_made as made
from simulation.fleet import free_ports
from testtools import TestCase
from testtools.matchers import Equals, LessThan, StartsWith
from transport import failures
from transport.effects import Reply

WAIT_S = 30.0
POLL_S = 0.002
OPERATORS = 8
ROUTES = 4_000
PART_BYTES = 1 << 16


class OperatorMemory(TestCase):
    """An operators' gateway whose core answers when the test says so."""

    def setUp(self):
        super().setUp()
        (port,) = free_ports(1)
        self.address = ("127.0.0.1", port)
        process = lone_counter(self, self.handle, DIALECT, doors={"operators": f"127.0.0.1:{port}"})
        process.start()
        self.gateway = gateway = OperatorGateway(process)
        thread = threading.Thread(target=gateway.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(gateway.stop)
        self.tokens, self.document, self.bodies = [], None, []
        rng = random.Random(1)
        whole = made.configuration(rng, 1)
        services = [whole["services"][1]["name"]]
        whole["routes"] = [made.route(rng, f"r-{n}", services, "safe") for n in range(ROUTES)]
        self.whole, self.data = whole, json.dumps(whole).encode()

    def handle(self, event):
        """The core: changes wait for their answers, reads get the document."""
        verb = getattr(event, "verb", "")
        if verb == "written":
            self.tokens.append(event.token)
            self.bodies.append(event.body)
        if verb == "zone":
            return [Reply(event.token, CommandResult(200, {}))]
        if verb == "abandoned":
            return [Reply(event.token, failures.MajorityLost(1000))]
        if verb == "read":
            return [Reply(event.token, CommandResult(200, {"document": self.document}))]
        return []

    def connect(self, data):
        sock = socket.create_connection(self.address, WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def trace(self):
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        return tracemalloc.get_traced_memory()[0]

    # FAULT: each change was held decoded, at over four times its size, while it waited.
    def test_changes_that_wait_are_held_encoded(self):
        head = b"PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n"
        before = self.trace()
        for _ in range(OPERATORS):
            self.connect(head % len(self.data)).sendall(self.data)
        end_s = time.monotonic() + WAIT_S
        while len(self.tokens) < OPERATORS:
            self.assertTrue(time.monotonic() < end_s, "timed out")
            time.sleep(POLL_S)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
        self.assertThat(held / len(self.data) / OPERATORS, LessThan(3.0))
        sent = json.loads(json_text.encode(self.bodies[0]))
        self.assertThat(sent["written"], Equals(self.whole))

    # FAULT: each reader had copies of its own of a configuration that all of them read.
    def test_readers_of_one_configuration_share_its_text(self):
        parts = {"routes": {r["name"]: r for r in self.whole["routes"]}, "services": {}}
        self.document = {"edition": 1, "parts": parts, "rest": {}}
        before = self.trace()
        readers = [
            self.connect(b"GET /config HTTP/1.1\r\nHost: h\r\n\r\n") for _ in range(OPERATORS)
        ]
        # All responses are on their way now: nobody has read more than the first bytes of one.
        firsts = [sock.recv(PART_BYTES) for sock in readers]
        peak = tracemalloc.get_traced_memory()[1] - before
        print(
            "PEAK",
            peak / len(self.data),
            (tracemalloc.get_traced_memory()[0] - before) / len(self.data),
        )
        self.assertThat([first[:12] for first in firsts], Equals([b"HTTP/1.1 200"] * OPERATORS))
        self.assertThat(firsts[0], StartsWith(b"HTTP/1.1 200"))
        self.assertThat(peak / len(self.data), LessThan(4.0))

    # EVAC: an evacuation must not wait until large configurations have been decoded.
    def test_an_evacuation_does_not_wait_for_conversions(self):
        with self.gateway._converting:
            sock = self.connect(b"POST /evacuate/z HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertThat(sock.recv(PART_BYTES), StartsWith(b"HTTP/1.1 200"))
