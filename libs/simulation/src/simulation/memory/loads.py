"""The largest requests and configurations that the platform allows, sent side by side."""

import dataclasses
import json
import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from simulation import platform_callers as callers
from simulation import platform_made as made

__all__ = ["LARGEST_BODY_BYTES", "Configurations", "Responses", "StalledBodies", "WholeBodies"]

# The largest body that `bodyMaxBytes` lets pass; of an odd length, so that it isn't sent in chunks.
LARGEST_BODY_BYTES = (4 << 20) - 1
_EVENTS = 4
_ANSWER_TIMEOUT_S = 20.0
_PART_BYTES = 65_536
_SLOW_READ_S = 0.01
_STALL_S = 8.0
_OPERATOR_TIMEOUT_S = 10.0


class WholeBodies:
    """Requests with a large body, `at_once` side by side, each for one of a Trial's items.

    `only_held`: for models that an engine holds from the start."""

    def __init__(self, trial, seed, at_once, body_bytes=LARGEST_BODY_BYTES, only_held=False):
        self._trial, self._seed, self._at_once = trial, seed, at_once
        self._body = random.Random(seed).randbytes(body_bytes)
        items = trial.traffic.items
        held = {next(iter(e.items)) for e in trial.fleet.platform.engines() if e.items}
        self._items = [i for i in items if i in held] if only_held else items
        self.statuses = []

    def run(self, count):
        """Send `count` requests; their statuses are added to `statuses`."""
        with ThreadPoolExecutor(self._at_once) as pool:
            self.statuses += pool.map(self._send, range(count))

    def _request(self, rng):
        """A request on a route of models, which every engine of a model can answer."""
        route = rng.choice(self._trial.whole["routes"][:2])
        return callers.made(rng, route, rng.choice(self._items), _EVENTS)

    def _send(self, number):
        rng = random.Random(f"{self._seed} {number}")
        request = dataclasses.replace(self._request(rng), body=self._body)
        address = rng.choice(self._trial.fleet.counters)
        return self._exchange(self._trial.fleet.address(address, "counter"), request)

    def _exchange(self, address, request):
        return callers.send(address, request, _ANSWER_TIMEOUT_S).status


class Responses(WholeBodies):
    """Requests whose responses are twice as long as their large bodies, read slowly."""

    def _request(self, rng):
        return callers.made(rng, rng.choice(self._trial.whole["routes"][2:4]))

    def _exchange(self, address, request):
        host, _, port = address.rpartition(":")
        answer, got = callers.Answer(f"{random.getrandbits(64):016x}"), bytearray()
        try:
            with socket.create_connection((host, int(port)), _ANSWER_TIMEOUT_S) as sock:
                sock.sendall(callers.sent(answer.id, request))
                while part := sock.recv(_PART_BYTES):
                    got += part
                    time.sleep(_SLOW_READ_S)
        except OSError:
            pass
        return callers.read(answer, bytes(got)).status


class StalledBodies(WholeBodies):
    """Requests whose bodies stop just before their end, and stay so for a while."""

    def _exchange(self, address, request):
        host, _, port = address.rpartition(":")
        answer, data = callers.Answer(f"{random.getrandbits(64):016x}"), bytearray()
        try:
            with socket.create_connection((host, int(port)), _ANSWER_TIMEOUT_S) as sock:
                data += callers.sent(answer.id, request)
                sock.sendall(memoryview(data)[:-1])
                sock.settimeout(_STALL_S)
                while part := sock.recv(_PART_BYTES):
                    answer.body += part
        except OSError:
            pass
        return callers.read(answer, answer.body).status


class Configurations:
    """Operators that send configurations with so many routes more, about 230 bytes each, side by
    side, and read back what is in force."""

    def __init__(self, trial, seed, at_once, routes):
        self._trial, self._seed, self._at_once = trial, seed, at_once
        self._routes = routes
        self._lock, self._edition = threading.Lock(), trial.whole["edition"]
        self.statuses = []

    def run(self, count):
        """Send `count` changes; their statuses and those of reads are added to `statuses`."""
        with ThreadPoolExecutor(self._at_once) as pool:
            for found in pool.map(self._change, range(count)):
                self.statuses += found

    def _change(self, number):
        """Replace the whole configuration on top of the newest that has been acknowledged."""
        rng = random.Random(f"{self._seed} {number}")
        with self._lock:
            expected = self._edition
        whole = {**self._trial.whole, "edition": expected + 1 + number}
        plain = [whole["services"][1]["name"]]
        routes = [made.route(rng, f"r-{n}", plain, "safe") for n in range(self._routes)]
        whole["routes"] = [*whole["routes"], *routes]
        status = self._call(rng, "PUT", json.dumps(whole).encode(), expected)
        if status == 200:
            with self._lock:
                self._edition = max(self._edition, whole["edition"])
        return [status, self._call(rng, "GET", b"", None)]

    def _call(self, rng, method, data, expected):
        fleet = self._trial.fleet
        name = rng.choice([name for name in fleet.depots if name in fleet.running])
        host, _, port = fleet.address(name, "control").rpartition(":")
        head = [f"{method} /config HTTP/1.1", f"Host: {host}", "Connection: close"]
        head += [f"If-Match: {expected}"] if expected is not None else []
        head += [f"Content-Length: {len(data)}", "", ""]
        got = bytearray()
        try:
            with socket.create_connection((host, int(port)), _OPERATOR_TIMEOUT_S) as sock:
                sock.sendall("\r\n".join(head).encode() + data)
                while part := sock.recv(_PART_BYTES):
                    got += part
        except OSError:
            pass
        return int(got.split(b" ", 2)[1]) if got.startswith(b"HTTP/1.1 ") else 0
