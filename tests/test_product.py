"""Config, flags, exit codes and hostile HTTP: typed, and nothing changed."""

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from pulleyhitch import config
from routing import caller_api
from simulation import deployments
from simulation.fleet import Fleet
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

GOOD = {
    "name": "c0",
    "role": "counter",
    "zone": "x",
    "address": "127.0.0.1:7400",
    "http": "127.0.0.1:7500",
    "seeds": ["127.0.0.1:7400"],
}


def run(*words, **more):
    """A command of the real program: (exit code, its JSON on either stream)."""
    done = subprocess.run(
        [sys.executable, "-m", "pulleyhitch", *words],
        timeout=60,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
        **more,
    )
    text = done.stdout.strip() or done.stderr.strip()
    try:
        return done.returncode, json.loads(text.splitlines()[-1] if "}\n{" in text else text)
    except ValueError:
        return done.returncode, text


class ConfigChecks(TestCase):
    def test_each_wrong_field_is_named(self):
        self.assertIsInstance(config.check(GOOD), config.Config)
        for key, value in (
            ("role", "king"),
            ("name", "Not Good"),
            ("address", "host:1"),
            ("http", "127.0.0.1:99999"),
            ("seeds", []),
            ("seeds", ["x"]),
            ("shards", 1),
            ("shards", "8"),
            ("depots", 2),
            ("extra", 1),
            ("retryRatio", 7),
            ("tokens", {"p": "short"}),
        ):
            found = config.check({**GOOD, key: value})
            self.assertIsInstance(found, failures.ConfigWrong, key)
            self.assertThat(found.field.split(".")[0], Equals(key))
        found = config.check({**GOOD, "role": "depot"})
        self.assertThat(found.field, Equals("folder"))
        found = config.check({**GOOD, "bounds": {"layoutMs": 1}})
        self.assertThat(found.field, Equals("bounds.layoutMs"))

    def test_examples_are_good(self):
        for path in Path(__file__).parent.parent.glob("examples/*.toml"):
            self.assertIsInstance(config.read(path, {}), config.Config, path.name)

    def test_timeouts_follow_the_bounds(self):
        half = config.check({**GOOD, "bounds": {"serviceBackMs": 6000}})
        self.assertThat(
            config.times(half).election_ms * 2,
            Equals(config.times(config.check(GOOD)).election_ms),
        )


class CallersIds(TestCase):
    def test_two_callers_with_one_id_are_two_tasks(self):
        body = {"service": "s", "prompt": "p", "id": "mine"}
        first, second = (caller_api.read_task(dict(body), None, 1000)["id"] for _ in range(2))
        self.assertNotEqual(first, second)
        self.assertTrue(first.startswith("mine.") and second.startswith("mine."))


class Program(TestCase):
    def test_exit_codes(self):
        folder = tempfile.mkdtemp()
        flags = [
            "--name",
            "d0",
            "--zone",
            "x",
            "--seed",
            "127.0.0.1:7400",
            "--http",
            "127.0.0.1:7500",
        ]
        code, told = run("depot", *flags, "--address", "nowhere")
        self.assertThat((code, told["field"]), Equals((2, "address")))
        code, told = run("counter", "--config", folder + "/none.toml")
        self.assertThat((code, told["failure"]), Equals((2, "config-wrong")))
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = "127.0.0.1:%d" % taken.getsockname()[1]
            code, told = run("depot", *flags, "--address", address, "--folder", folder + "/d")
            self.assertThat((code, told["failure"]), Equals((3, "address-taken")))
        (Path(folder) / "file").write_text("")
        code, told = run("depot", *flags, "--address", address, "--folder", folder + "/file/x")
        self.assertThat((code, told["failure"]), Equals((3, "folder-unwritable")))
        code, told = run("zones", "--node", address)
        self.assertThat((code, told["failure"]), Equals((5, "unreachable")))
        code, told = run("layout", folder + "/none.json", "-p", "small")
        self.assertThat((code, told["field"]), Equals((2, "file")))
        self.assertThat(run("--version")[0], Equals(0))
        self.assertThat(run("depot", "--help")[0], Equals(0))


class Operators(TestCase):
    """The command line against a real fleet of depots and counters."""

    def setUp(self):
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.fleet = Fleet(
            deployments.SMALL,
            self.folder,
            tokens={
                "small": "a-long-token",
                "other": "another-token",
                "platform": "platform-token",
            },
        )
        self.addCleanup(self.fleet.stop_all)
        for name in self.fleet.depots + self.fleet.counters:
            self.fleet.start(name)
        self.fleet.until(lambda: self.fleet.call("d1", "GET", "/operator/fleet")[0] == 200)
        self.fleet.listening()

    def file(self, name, body):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf8") as out:
            out.write(body if isinstance(body, str) else json.dumps(body))
        return path

    def at(self, node):
        return ["--node", self.fleet.http[node]]

    def test_operating(self):
        token = ["--token-file", self.file("token", "a-long-token\n")]
        body = deployments.sections(deployments.SMALL)[1][1]
        body["services"]["guidance"]["shares"] = {"small": 1.0}
        section = self.file("small.json", body)
        mine = ["-p", "small", *token]
        code, told = run("layout", section, "-p", "other", *token, *self.at("c0"))
        self.assertThat((code, told["failure"]), Equals((1, "wrong-partner")))
        code, told = run("layout", section, "-p", "small", *self.at("c0"))
        self.assertThat((code, told["failure"]), Equals((1, "wrong-partner")))
        code, told = run("layout", section, *mine, "--wait", "--change", "one", *self.at("d2"))
        self.assertThat((code, told["stamp"], told["followed"]["notYet"]), Equals((0, 1, [])))
        code, told = run("layout", section, *mine, "--change", "one", *self.at("c1"))
        self.assertThat((code, told), Equals((0, {"stamp": 1, "again": True})))
        patch = self.file("patch.json", {"routes": {"new": {"service": "guidance"}}})
        code, told = run("layout", patch, *mine, "--partial", "--expect", "7", *self.at("c2"))
        self.assertThat((code, told["failure"], told["current"]), Equals((1, "stamp-stale", 1)))
        code, told = run("layout", patch, *mine, "--partial", "--expect", "1", *self.at("c2"))
        self.assertThat((code, told["stamp"]), Equals((0, 2)))
        code, told = run("evacuate", "south", *mine, *self.at("d0"))
        self.assertThat((code, told["stamp"]), Equals((0, 3)))
        code, told = run("zones", *self.at("c0"))
        self.assertThat(told["evacuated"], Equals({"south": 3}))
        code, told = run("compare", self.fleet.http["c0"], self.fleet.http["d1"])
        self.assertThat(code, Equals(0))
        self.assertIn("stamp", told["same"])
        code, told = run("layout", "-p", "small", *self.at("d1"))
        self.assertIn("new", told["partners"]["small"]["section"]["routes"])
        self.told_apart(token)
        self.hostile_http()

    def told_apart(self, token):
        """Partners leave the engine list to the platform, and the platform theirs."""
        engines = self.file(
            "engines.json",
            deployments.engine_list(deployments.SMALL, lambda n: "http://127.0.0.1:1"),
        )
        theirs = ["-p", "platform", "--token-file", self.file("ptoken", "platform-token")]
        code, told = run("engines", engines, "-p", "small", *token, *self.at("c0"))
        self.assertThat((code, told["failure"]), Equals((1, "wrong-partner")))
        code, told = run("evacuate", "south", *theirs, *self.at("c0"))
        self.assertThat((code, told["failure"]), Equals((1, "wrong-partner")))
        code, told = run("engines", engines, *theirs, *self.at("c1"))
        self.assertThat((code, told.get("stamp")), Equals((0, 4)), str(told))

    def hostile_http(self):
        """Oversized, cut short, not JSON, unknown paths and methods."""
        host, port = self.fleet.http["c0"].split(":")

        def say(data):
            with socket.create_connection((host, int(port)), timeout=40) as sock:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                got = b""
                while chunk := sock.recv(65536):
                    got += chunk
            return int(got.split(b" ", 2)[1]) if got else 0

        post = b"POST /v1/task HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        self.assertThat(say(post % (2 << 20, b"{")), Equals(413))
        self.assertThat(say(post % (50, b"{}")), Equals(400))
        self.assertThat(say(post % (3, b"nul")), Equals(400))
        self.assertThat(say(post % (9000, b"[" * 9000)), Equals(400))
        self.assertThat(say(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"), Equals(404))
        self.assertThat(say(b"DELETE /v1/task HTTP/1.1\r\nHost: x\r\n\r\n"), Equals(405))
        code, told = run("zones", *self.at("c0"))
        self.assertThat((code, told["stamp"]), Equals((0, 4)))
