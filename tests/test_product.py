"""Config, flags, exit codes and hostile HTTP requests: typed failures, and no effect."""

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

VALID = {
    "name": "c0",
    "role": "counter",
    "zone": "x",
    "address": "127.0.0.1:7400",
    "http": "127.0.0.1:7500",
    "seeds": ["127.0.0.1:7400"],
}


def run(*arguments, **options):
    """Run the program: (exit code, its JSON output on stdout or stderr)."""
    done = subprocess.run(
        [sys.executable, "-m", "pulleyhitch", *arguments],
        timeout=60,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
        **options,
    )
    text = done.stdout.strip() or done.stderr.strip()
    try:
        return done.returncode, json.loads(text.splitlines()[-1] if "}\n{" in text else text)
    except ValueError:
        return done.returncode, text


class ConfigChecks(TestCase):
    def test_each_invalid_field_is_named(self):
        self.assertIsInstance(config.check(VALID), config.Config)
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
            found = config.check({**VALID, key: value})
            self.assertIsInstance(found, failures.ConfigWrong, key)
            self.assertThat(found.field.split(".")[0], Equals(key))
        found = config.check({**VALID, "role": "depot"})
        self.assertThat(found.field, Equals("folder"))
        found = config.check({**VALID, "bounds": {"layoutMs": 1}})
        self.assertThat(found.field, Equals("bounds.layoutMs"))

    def test_examples_are_valid(self):
        for path in Path(__file__).parent.parent.glob("examples/*.toml"):
            self.assertIsInstance(config.read(path, {}), config.Config, path.name)

    def test_timeouts_follow_the_bounds(self):
        half = config.check({**VALID, "bounds": {"serviceBackMs": 6000}})
        self.assertThat(
            config.times(half).election_ms * 2,
            Equals(config.times(config.check(VALID)).election_ms),
        )


class RequestIds(TestCase):
    def test_the_same_id_of_two_callers_makes_two_tasks(self):
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
        code, result = run("depot", *flags, "--address", "nowhere")
        self.assertThat((code, result["field"]), Equals((2, "address")))
        code, result = run("counter", "--config", folder + "/none.toml")
        self.assertThat((code, result["failure"]), Equals((2, "config-wrong")))
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = "127.0.0.1:%d" % taken.getsockname()[1]
            code, result = run("depot", *flags, "--address", address, "--folder", folder + "/d")
            self.assertThat((code, result["failure"]), Equals((3, "address-taken")))
        (Path(folder) / "file").write_text("")
        code, result = run("depot", *flags, "--address", address, "--folder", folder + "/file/x")
        self.assertThat((code, result["failure"]), Equals((3, "folder-unwritable")))
        code, result = run("zones", "--node", address)
        self.assertThat((code, result["failure"]), Equals((5, "unreachable")))
        code, result = run("layout", folder + "/none.json", "-p", "small")
        self.assertThat((code, result["field"]), Equals((2, "file")))
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
        credentials = ["-p", "small", *token]
        code, result = run("layout", section, "-p", "other", *token, *self.at("c0"))
        self.assertThat((code, result["failure"]), Equals((1, "wrong-partner")))
        code, result = run("layout", section, "-p", "small", *self.at("c0"))
        self.assertThat((code, result["failure"]), Equals((1, "wrong-partner")))
        code, result = run(
            "layout", section, *credentials, "--wait", "--change", "one", *self.at("d2")
        )
        self.assertThat((code, result["stamp"], result["followed"]["notYet"]), Equals((0, 1, [])))
        code, result = run("layout", section, *credentials, "--change", "one", *self.at("c1"))
        self.assertThat((code, result), Equals((0, {"stamp": 1, "again": True})))
        patch = self.file("patch.json", {"routes": {"new": {"service": "guidance"}}})
        code, result = run(
            "layout", patch, *credentials, "--partial", "--expect", "7", *self.at("c2")
        )
        self.assertThat((code, result["failure"], result["current"]), Equals((1, "stamp-stale", 1)))
        code, result = run(
            "layout", patch, *credentials, "--partial", "--expect", "1", *self.at("c2")
        )
        self.assertThat((code, result["stamp"]), Equals((0, 2)))
        code, result = run("evacuate", "south", *credentials, *self.at("d0"))
        self.assertThat((code, result["stamp"]), Equals((0, 3)))
        code, result = run("zones", *self.at("c0"))
        self.assertThat(result["evacuated"], Equals({"south": 3}))
        code, result = run("compare", self.fleet.http["c0"], self.fleet.http["d1"])
        self.assertThat(code, Equals(0))
        self.assertIn("stamp", result["same"])
        code, result = run("layout", "-p", "small", *self.at("d1"))
        self.assertIn("new", result["partners"]["small"]["section"]["routes"])
        self.check_authorization(token)
        self.check_hostile_http()

    def check_authorization(self, token):
        """Only the platform may change the engine list, and it may change nothing else."""
        engines = self.file(
            "engines.json",
            deployments.engine_list(deployments.SMALL, lambda n: "http://127.0.0.1:1"),
        )
        platform_credentials = [
            "-p",
            "platform",
            "--token-file",
            self.file("ptoken", "platform-token"),
        ]
        code, result = run("engines", engines, "-p", "small", *token, *self.at("c0"))
        self.assertThat((code, result["failure"]), Equals((1, "wrong-partner")))
        code, result = run("evacuate", "south", *platform_credentials, *self.at("c0"))
        self.assertThat((code, result["failure"]), Equals((1, "wrong-partner")))
        code, result = run("engines", engines, *platform_credentials, *self.at("c1"))
        self.assertThat((code, result.get("stamp")), Equals((0, 4)), str(result))

    def check_hostile_http(self):
        """Oversized, truncated, not JSON, unknown paths and methods."""
        host, port = self.fleet.http["c0"].split(":")

        def send(data):
            with socket.create_connection((host, int(port)), timeout=40) as sock:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                response = b""
                while chunk := sock.recv(65536):
                    response += chunk
            return int(response.split(b" ", 2)[1]) if response else 0

        post = b"POST /v1/task HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        self.assertThat(send(post % (2 << 20, b"{")), Equals(413))
        self.assertThat(send(post % (50, b"{}")), Equals(400))
        self.assertThat(send(post % (3, b"nul")), Equals(400))
        self.assertThat(send(post % (9000, b"[" * 9000)), Equals(400))
        self.assertThat(send(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"), Equals(404))
        self.assertThat(send(b"DELETE /v1/task HTTP/1.1\r\nHost: x\r\n\r\n"), Equals(405))
        code, result = run("zones", *self.at("c0"))
        self.assertThat((code, result["stamp"]), Equals((0, 4)))
