"""The system as the platform runs it: real processes, each on an address of its own
with ports alike, told where they are by a settings file with made-up names."""

import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

from routing import engine_calls
from routing.engine_api import EngineRequest, read_json

from simulation import platform_engine as core
from simulation.platform_made import word
from simulation.platform_serving import now_ms
from simulation.platform_settings import Place, settings_document
from simulation.platform_standin import Platform
from simulation.polling import poll_until
from simulation.process_status import handles_signal

__all__ = ["PlatformFleet"]

_POLL_PAUSE_S = 0.05
# How many addresses of a loopback net are used, and how many nets a fleet may begin in.
_NET_SIZE = 250
_NETS = 240

# As the deploy file starts a role's program.
_INTERPRETER_OPTIONS = ("-S",)

_ROOT = Path(__file__).resolve().parents[4]


class PlatformFleet:
    """`start`, `kill`, `call` and `until` are what tests use, beside `platform`.
    `observe` is told of what engines run; `program` is what a node's process is; `limits`, by
    number of a resource (setrlimit(2)), are set on the nodes that are started from then on."""

    def __init__(self, folder, seed, observe=None, program=("platform/start.py",), counters=3):
        self._program = tuple(program)
        self.folder, self.rng = Path(folder).resolve(), random.Random(seed)
        self.zones = [word(self.rng, 2) for _ in range(3)]
        self.depots = [f"{word(self.rng, 2)}-d{n}" for n in range(3)]
        self.counters = [f"{word(self.rng, 2)}-c{n}" for n in range(counters)]
        nodes = self.depots + self.counters
        self._net = (64 + os.getpid() % 128, os.getpid() // 128 % _NETS + 1)
        self.ip = {name: self._address(n + 1) for n, name in enumerate(nodes)}
        self._last = len(nodes) + 1
        self.ports = self._free_ports(5)
        platform = f"{self._address(self._last)}:{self.ports[4]}"
        self.platform = Platform(platform, 600, 30.0, observe)
        self.running, self.started_ms, self._first = {}, {}, True
        self.limits = {}

    def _address(self, number):
        """The loopback address of this number, over several nets if there are many."""
        first, second = self._net
        return f"127.{first}.{second + number // _NET_SIZE}.{number % _NET_SIZE + 1}"

    def _free_ports(self, count):
        """Ports that are free on all addresses, in no order."""
        found = []
        while len(found) < count:
            port = self.rng.randrange(15000, 31000)
            if (
                port not in found
                and port + 1 not in found
                and all(
                    _is_free(self._address(n), p)
                    for n in range(1, len(self.ip) + 24)
                    for p in (port, port + 1)
                )
            ):
                found.append(port)
        return found

    def zone(self, name):
        return self.zones[int(name[-1]) % 3]

    def address(self, name, what):
        """Of `counter`, `readiness`, `control`, or of our own interface."""
        number = ["counter", "readiness", "control", "http"].index(what)
        return f"{self.ip[name]}:{self.ports[number] + (what == 'http')}"

    def peer_addresses(self):
        """(host, port) at which each node accepts connections of other nodes."""
        return frozenset((ip, self.ports[3]) for ip in self.ip.values())

    def engine(self, service, sizes, store, plain, zone, disk=(), warmMs=0.0, address=None):
        """An engine on a fresh address, or on one that is free again; it holds what is on
        its disk."""
        if address is None:
            self._last += 1
            address = f"{self._address(self._last)}:{self.ports[3]}"
        made = core.Engine(
            f"i-{word(self.rng, 2)}",
            service,
            zone,
            address,
            sizes,
            store,
            now_ms(),
            plain,
            cold_ms=now_ms() + warmMs,
            disk=set(disk),
            items={m: set() for m in disk},
        )
        self.platform.add(made)
        return made

    def _settings(self, name):
        """The path of a node's settings file, written anew."""
        depot = name in self.depots
        served = ("control",) if depot else ("counter", "readiness")
        place = Place(
            name,
            "depot" if depot else "counter",
            self.ip[name],
            self.zone(name),
            {binding: self.address(name, binding) for binding in served},
            str(self.folder / name) if depot else None,
        )
        document = settings_document(
            place,
            zones=self.zones,
            internal_port=self.ports[3],
            seeds=[self.address(depot, "control") for depot in self.depots],
            first_start=self._first,
            provider=self.ip_of_platform(),
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf8")
        return path

    @contextlib.contextmanager
    def half_of_settings(self, name):
        """Cuts a node's settings file in the middle, as if it were being written."""
        path = self._settings(name)
        whole = path.read_bytes()
        path.write_bytes(whole[: len(whole) // 2])
        try:
            yield
        finally:
            path.write_bytes(whole)

    def ip_of_platform(self):
        return f"{self._address(len(self.ip) + 1)}:{self.ports[4]}"

    def start(self, name):
        """As the platform does: at the root, with little more than the settings file."""
        if name in self.depots:
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        role = "depot" if name in self.depots else "counter"
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.started_ms[name] = now_ms()
        with open(self.folder / f"{name}.log", "ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, *_INTERPRETER_OPTIONS, *self._program, role],
                cwd=_ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                    "PYTHONUNBUFFERED": "1",
                    "PULLEYHITCH_BOOT": str(self._settings(name)),
                },
            )
        for number, limit in self.limits.items():
            resource.prlimit(self.running[name].pid, number, (limit, limit))

    def start_all(self):
        for name in self.depots + self.counters:
            self.start(name)
        self._first = False

    def kill(self, name, number=signal.SIGKILL):
        """Its exit code."""
        process = self.running.pop(name)
        process.send_signal(number)
        return process.wait(30)

    def empty(self, name):
        """Lose the disk of a depot that doesn't run."""
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def survives(self, name, number):
        """Whether the node's process has come so far that this signal doesn't end it."""
        return handles_signal(self.running[name].pid, number)

    def stop_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        self.running.clear()
        self.platform.close()

    def call(self, name, what, method, path, body=None, headers=()):
        """(status, JSON) from one of a node's addresses; 0 if there is no answer."""
        data = (
            body
            if isinstance(body, bytes)
            else b""
            if body is None
            else (json.dumps(body).encode())
        )
        ended = engine_calls.call(
            EngineRequest(method, f"http://{self.address(name, what)}{path}", data),
            8000,
            headers=list(headers),
        )
        return ended.code, read_json(ended.data) or {}

    def ready(self):
        """Addresses of the counters to which the platform sends callers."""
        return [
            self.address(n, "counter")
            for n in self.counters
            if n in self.running and self.call(n, "readiness", "GET", "/ready")[0] == 200
        ]

    def believes(self, name):
        return self.call(name, "http", "GET", "/operator/believes")[1]

    def leader(self):
        """The depot that holds the log, as those that run agree."""
        told = {self.believes(n).get("leader") for n in self.depots if n in self.running}
        by = {f"{self.ip[n]}:{self.ports[3]}": n for n in self.depots if n in self.running}
        return by.get(told.pop()) if len(told) == 1 else None

    def until(self, what, limit_s=60.0):
        """Ask again and again until `what()` is true; its value, or a failure."""
        return poll_until(what, limit_s, _POLL_PAUSE_S)


def _is_free(host, port):
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True
