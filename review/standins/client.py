"""Stand-in clients: each try has an id and a deadline, and further tries follow a promise only."""

import random
import socket
import threading
import time
from dataclasses import dataclass

from standins.http import ask

_PROMISES = (408, 421, 429, 503)


def generation(model, most=30):
    """The headers of a request for a generation."""
    parts = f"{random.getrandbits(32):x}:60,{random.getrandbits(40):x}:40"
    return [("X-Parcel", model), ("X-Tokens", f"100,{most}"), ("X-Prompt-Prefix", parts)]


def send(fleet, path, model, deadline_ms=5000, further=1, counter=None):
    """One request and its further tries; returns the last status."""
    status = 0
    end_s = time.monotonic() + deadline_ms / 1000
    for _ in range(1 + further):
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            break
        try_id = f"{random.getrandbits(64):016x}"
        name = counter or random.choice(fleet.counters)
        headers = [
            ("Host", "review.example"),
            ("X-Try-Id", try_id),
            ("X-Deadline-Ms", str(max(1, int(1000 * left_s)))),
            *generation(model),
        ]
        address = fleet.address(name, "counter")
        status, found, body = ask(address, "POST", path, b"prompt", headers, left_s)
        fleet.record(f"request {try_id} {model} at {name}: {status} {body[-60:]!r}")
        if status not in _PROMISES:
            break
        retry_s = float(found.get("Retry-After", 0.05))
        time.sleep(min(retry_s, max(0.0, (end_s - time.monotonic()) / 3)))
    return status


@dataclass
class Try:
    """One try: `whole`: the answer came complete; `lasted_s`: from its last byte to the end."""

    id: str
    model: str
    status: int
    whole: bool
    lasted_s: float
    got: bytes


def send_once(fleet, path, model, deadline_ms, counter):
    """One try on its own connection, read to its end; returns the Try."""
    try_id, data = f"{random.getrandbits(64):016x}", b"prompt"
    lines = [f"POST {path} HTTP/1.1", "Host: review.example", f"X-Try-Id: {try_id}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in generation(model)]
    host, _, port = fleet.address(counter, "counter").rpartition(":")
    got, sent_s = b"", time.monotonic()
    fleet.record(f"request {try_id} {model} at {counter}, deadline {deadline_ms} ms")
    try:
        with socket.create_connection((host, int(port)), timeout=1.0) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            sent_s = time.monotonic()
            connection.settimeout(deadline_ms / 1000)
            while part := connection.recv(65536):
                got += part
    except OSError as error:
        fleet.record(f"request {try_id}: {error!r}")
    status = int(got.split(b" ", 2)[1]) if got.startswith(b"HTTP/1.1 ") else 0
    return Try(try_id, model, status, _is_whole(got), time.monotonic() - sent_s, got[-80:])


def _is_whole(got):
    """Whether these bytes are a complete response."""
    head, found, body = got.partition(b"\r\n\r\n")
    if not found:
        return False
    if b"\r\ntransfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) == int(line.partition(b":")[2])
    return False


class Traffic:
    """A steady rate of requests for one model, until it is stopped."""

    def __init__(self, fleet, path, model, per_s):
        self._fleet, self._path, self._model, self._per_s = fleet, path, model, per_s
        self._stop = threading.Event()
        self.statuses = []
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Send nothing more."""
        self._stop.set()

    def _run(self):
        while not self._stop.wait(random.expovariate(self._per_s)):
            threading.Thread(target=self._one, daemon=True).start()

    def _one(self):
        self.statuses.append(send(self._fleet, self._path, self._model))
