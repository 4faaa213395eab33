"""End-to-end test on real processes: bootstrap, configure, serve, lose nodes, restart."""

import json
import signal
import tempfile

from simulation import deployments
from simulation.calling import read_stream
from simulation.fleet import Fleet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

TASK = {"service": "guidance", "model": "m00", "prompt": "turn left at"}


class WholePath(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(deployments.SMALL, tempfile.mkdtemp())
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()
        self.fleet.until(lambda: self.fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        self.stamp = self.fleet.furnish("c1")
        self.fleet.until(lambda: self.answered("c0"))

    def answered(self, node, body=TASK):
        code, found = self.fleet.call(node, "POST", "/v1/task", body)
        return found if code == 200 else None

    def leader(self):
        def found():
            code, body = self.fleet.call("c0", "GET", "/operator/believes")
            by = {a: n for n, a in self.fleet.address.items()}
            return by.get(body.get("leader")) if code == 200 else None

        return self.fleet.until(found)

    def holder(self, shard):
        _, body = self.fleet.call("c0", "GET", "/operator/believes")
        return body["holders"][str(shard)]["holder"]

    def evacuate(self, node, zone, evacuated):
        code, body = self.fleet.call(
            node, "POST", "/operator/zone", {"zone": zone, "evacuated": evacuated}
        )
        return body if code == 200 else None

    def test_path(self):
        self.serves_everything()
        self.refuses_bad_input()
        self.survives_kills()
        self.survives_all_restarting()

    def serves_everything(self):
        for node in ("c0", "c1", "c2"):
            found = self.fleet.until(lambda n=node: self.answered(n))
            self.assertThat(found["text"], Equals("m00: turn left at"))
        whole, found = read_stream(self.fleet.http["c0"], {**TASK, "stream": True})
        self.assertTrue(whole)
        self.assertThat([p["n"] for p in found], Equals(list(range(12))))
        code, body = self.fleet.call("c2", "GET", "/v1/lookup/tiles/3/4/5")
        self.assertThat((code, body["key"]), Equals((200, "3/4/5")))
        rare = {**TASK, "model": "m05", "deadlineMs": 20000}
        self.assertThat(self.answered("c1", rare)["text"], Equals("m05: turn left at"))
        for node in self.fleet.depots + self.fleet.counters:
            code, body = self.fleet.call(node, "GET", "/operator/read/layout")
            self.assertThat((code, body["stamp"]), Equals((200, self.stamp)))

    def refuses_bad_input(self):
        fleet = self.fleet
        for path, body, headers, want in (
            ("/v1/task", {**TASK, "modle": 1}, (), (422, "field-wrong")),
            ("/v1/task", {**TASK, "model": "none"}, (), (404, "unknown-model")),
            ("/v1/task", {**TASK, "service": "none"}, (), (404, "unknown-service")),
            ("/v1/task", [1], (), (400, "body-malformed")),
            (
                "/operator/layout",
                {"partner": "small", "section": {"x": 1}},
                ["X-Partner: small"],
                (422, "layout-wrong"),
            ),
            (
                "/operator/layout",
                {"partner": "small", "section": {}},
                ["X-Partner: other"],
                (403, "wrong-partner"),
            ),
            (
                "/operator/layout",
                {"partner": "small", "section": {}, "expect": 1},
                ["X-Partner: small"],
                (409, "stamp-stale"),
            ),
            ("/operator/zone", {"zone": "moon", "evacuated": True}, (), (422, "field-wrong")),
        ):
            code, found = fleet.call("c0", "POST", path, body, headers)
            self.assertThat((code, found.get("failure")), Equals(want), json.dumps(body))
        code, body = fleet.call("d1", "GET", "/operator/read/layout")
        self.assertThat(body["stamp"], Equals(self.stamp))

    def survives_kills(self):
        fleet, leader = self.fleet, self.leader()
        fleet.kill(leader)
        result = fleet.until(lambda: self.evacuate("c2", "north", True))
        self.assertThat(result["stamp"], GreaterThan(self.stamp))
        fleet.until(lambda: self.answered("c0"))
        fleet.start(leader)
        first = self.holder(0)
        fleet.kill(first)
        others = [n for n in fleet.counters if n != first]
        result = fleet.until(lambda: self.evacuate(others[0], "north", False))
        fleet.until(lambda: self.answered(others[1]))
        fleet.start(first)
        fleet.until(lambda: self.answered(first))
        leader = self.leader()
        self.assertThat(fleet.kill(leader, signal.SIGTERM), Equals(0))
        self.assertThat(fleet.kill(self.holder(0), signal.SIGTERM), Equals(0))
        for name in sorted(set(fleet.depots + fleet.counters) - set(fleet.running)):
            fleet.start(name)
        fleet.until(lambda: self.answered("c0"))
        self.stamp = result["stamp"]

    def survives_all_restarting(self):
        fleet = self.fleet
        for name in fleet.depots + fleet.counters:
            fleet.kill(name)
        for name in fleet.counters + fleet.depots:
            fleet.start(name)

        def same():
            code, body = fleet.call("c1", "GET", "/operator/read/layout")
            return code == 200 and body["stamp"]

        self.assertThat(fleet.until(same), Equals(self.stamp))
        fleet.until(lambda: self.answered("c2"))
