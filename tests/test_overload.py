"""The HTTP listener under load: on real processes, a flood of requests of one class does not
starve requests of a higher class."""

import dataclasses
import json
import socket
import tempfile

from pulleyhitch import admission
from pulleyhitch.request_framing import Complete, Incomplete, Malformed
from simulation import crowding, deployments
from simulation.fleet import Fleet
from testtools import TestCase
from testtools.matchers import Equals

TASK = {"service": "guidance", "model": "m00", "class": "reroute", "prompt": "p"}


class Overload(TestCase):
    """The weight store allows one load each ten seconds, so that requests for rare models
    wait; there are so few threads that these requests could occupy all of them."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(
            dataclasses.replace(deployments.SMALL, loads=(1, 6)), tempfile.mkdtemp(), httpThreads=32
        )
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()
        self.fleet.until(lambda: self.fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        self.fleet.furnish()
        self.fleet.until(lambda: self.fleet.call("c0", "POST", "/v1/task", TASK)[0] == 200)

    def test_a_flood_does_not_starve_higher_classes(self):
        crowd = crowding.Crowd(self.fleet, "c0")
        self.addCleanup(crowd.leave)
        crowd.press(200, 40, 0, 60)

        def waiting():
            return self.fleet.call("c0", "GET", "/operator/believes")[1]["router"]["waiting"]

        self.fleet.until(lambda: waiting() > 20)
        for number in range(30):
            code, _ = self.fleet.call("c0", "GET", f"/v1/lookup/tiles/{number}")
            self.assertThat(code, Equals(200))
            code, body = self.fleet.call("c0", "POST", "/v1/task", TASK)
            self.assertThat((code, body.get("cause")), Equals((200, None)))
        crowd.leave()
        self.fleet.until(lambda: waiting() == 0)

    def test_an_incomplete_request_times_out(self):
        host, _, port = self.fleet.http["c1"].rpartition(":")
        with socket.create_connection((host, int(port)), timeout=60) as sock:
            sock.sendall(b"POST /v1/task HTTP/1.1\r\nContent-Length: 90\r\n\r\n{")
            received = b""
            while chunk := sock.recv(4096):
                received += chunk
        self.assertTrue(received.startswith(b"HTTP/1.1 408"), received)
        self.assertThat(
            json.loads(received.partition(b"\r\n\r\n")[2])["failure"], Equals("body-malformed")
        )


class Classification(TestCase):
    def test_framing_and_class(self):
        post = b"POST /v1/task HTTP/1.1\r\nContent-Length: 20\r\n\r\n"
        for data, expected in (
            (post[:-2], Incomplete()),
            (post + b"x" * 19, Incomplete()),
            (post + b"x" * 20, Complete(post, b"x" * 20)),
            (post.replace(b"20", b"99999999"), Malformed(413, "body", 8 << 20)),
            (b"x" * 40000, Malformed(431, "head")),
        ):
            self.assertThat(admission.parse_first_request(data), Equals(expected))
        ranks = {"night": 2}
        for data, request_class in (
            (b"GET /operator/fleet HTTP/1.1", "operator"),
            (b"GET /v1/lookup/tiles/1 HTTP/1.1", "lookup"),
            (b"POST /v1/route/night HTTP/1.1", "rank2"),
            (post + b'{"class": "reroute"}', "rank0"),
            (post + b'{"class":"review"}', "rank2"),
            (post + b"{}", "rank1"),
            (b"\xff\x00", "rank1"),
        ):
            self.assertThat(
                admission.classify(data, lambda r: ranks.get(r, 1)), Equals(request_class)
            )

    def test_a_lower_class_never_uses_the_threads_of_a_higher_one(self):
        order = ("rank2", "rank1", "rank0")
        for index, request_class in enumerate(order):
            self.assertTrue(set(admission.USABLE_SHARES[request_class]) <= set(order[: index + 1]))
