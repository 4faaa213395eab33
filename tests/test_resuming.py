"""Resuming a run: only the same run of the same incarnation."""

import dataclasses
import json
import tempfile
import threading
from collections import Counter

from routing import pieces
from simulation import deployments
from simulation.calling import read_stream
from simulation.fleet import Fleet, free_ports
from simulation.relay import Relay
from simulation.sim import faults, run
from testtools import TestCase
from testtools.matchers import Equals


class Pieces(TestCase):
    def test_a_resumed_stream_must_be_the_same_run(self):
        first = {
            "task": "t",
            "run": "r",
            "incarnation": "i",
            "resumes": True,
            "n": 0,
            "last": False,
        }
        for change, kind in (
            ({}, pieces.Forward),
            ({"run": "s"}, pieces.Cut),
            ({"incarnation": "j"}, pieces.Cut),
            ({"n": 2}, pieces.Cut),
            ({"n": 0}, pieces.Drop),
            ({"task": "u"}, pieces.Cut),
        ):
            stream = pieces.Run("t")
            self.assertIsInstance(pieces.check_piece(stream, first), pieces.Forward)
            self.assertTrue(stream.resumes)
            self.assertIsInstance(pieces.check_piece(stream, {**first, "n": 1, **change}), kind)
        bare = pieces.Run("t")
        pieces.check_piece(bare, {**first, "incarnation": ""})
        self.assertFalse(bare.resumes)


class Simulated(TestCase):
    def test_only_runs_that_can_be_resumed_are_resumed(self):
        """Engines that offer to resume and engines that don't break connections, with restarts
        meanwhile."""
        steps = [faults.Step(2000.0, "engine-snapping", f"e{i}", 9000.0) for i in range(3)]
        steps += [faults.Step(5000.0, "engine-restart", "e0", 200.0)]
        resumed = 0
        for seed in (4, 8):
            found = run.simulate(seed, deployments.SMALL, steps=steps, span_ms=15000.0)
            self.assertThat(found.violations, Equals({}))
            resumed += found.facts["resumed"]
        self.assertTrue(resumed > 20)


class OnProcesses(TestCase):
    def setUp(self):
        super().setUp()
        one = dataclasses.replace(deployments.SMALL, engines=2, models=8)
        self.fleet = fleet = Fleet(one, tempfile.mkdtemp())
        self.addCleanup(fleet.stop_all)
        self.relays = {}
        for name in ("e0", "e1"):
            (port,) = free_ports(1)
            self.relays[name] = Relay(f"127.0.0.1:{port}", f"127.0.0.1:{fleet.engine_port[name]}")
            self.addCleanup(self.relays[name].close)
        fleet.engine_words = ["--piece-ms", "100"]
        fleet.start_all()
        fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        fleet.furnish("c0", {n: r.address for n, r in self.relays.items()})

    def test_broken_connections(self):
        """The connection of a stream breaks: e0 offers to resume and e1 does not."""
        for name, goes_on in (("e0", True), ("e1", False)):
            model = self.fleet.until(lambda n=name: self.only_on(n))
            body = {
                "service": "guidance",
                "model": model,
                "class": "reroute",
                "prompt": "p",
                "stream": True,
                "deadlineMs": 30000,
            }
            self.fleet.until(
                lambda b=body: (
                    self.fleet.call("c0", "POST", "/v1/task", {**b, "stream": False})[0] == 200
                )
            )
            results, received = [], []
            client = threading.Thread(
                target=lambda b=body, t=results, h=received: t.append(
                    read_stream(self.fleet.http["c0"], b, heard=h.append)
                )
            )
            before = self.ran(name)
            client.start()
            self.fleet.until(lambda n=name: self.ran(n) > before)
            self.fleet.until(lambda h=received: b"".join(h).count(b"event: piece") > 1)
            self.relays[name].snap()
            client.join(60)
            ((ended, found),) = results
            self.assertThat(ended, Equals(goes_on), json.dumps(found))
            self.assertThat([p["n"] for p in found], Equals(list(range(len(found)))))
            self.assertThat(len({p["run"] for p in found}), Equals(1))
            self.assertThat(len(found) == 12, Equals(goes_on))
            self.assertThat(self.ran(name), Equals(before + 1))

    def ran(self, name):
        return sum(self.fleet.call(name, "GET", "/counts")[1]["ran"].values())

    def only_on(self, name):
        """A model that is loaded on this engine only, once every wished copy is loaded."""
        held = {
            e["name"]: {i for i, x in e["items"].items() if x["state"] == "loaded"}
            for e in self.fleet.call("c0", "GET", "/operator/read/engines")[1]["engines"]
        }
        copies = Counter(i for items in held.values() for i in items if "/" not in i)
        if copies != self.wished():
            return None
        return min(i for i in held[name] if copies[i] == 1)

    def wished(self):
        return Counter(
            {
                w["model"]: w["copies"]
                for _, section in deployments.sections(self.fleet.deployment)
                for w in section["wishes"].values()
                if "adapter" not in w
            }
        )
