"""A crowd at the door of real processes: idle connections, requests half sent,
readers who don't read, and many who wait for rare models; and among them the
callers who must not be shut out.  What became of each is counted by class."""

import json
import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

__all__ = ["Crowd", "crowd"]

_HEAD = "POST /v1/task HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n"


def _post(body):
    data = json.dumps(body)
    return (_HEAD.format(len(data)) + data).encode()


class Crowd:
    """`press` opens what leans on the door of one counter, `leave` lets go."""

    def __init__(self, fleet, node):
        self._fleet, self._socks = fleet, []
        host, _, port = fleet.http[node].rpartition(":")
        self._at = (host, int(port))

    def _open(self, data):
        try:
            sock = socket.create_connection(self._at, timeout=5)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            if data:
                sock.sendall(data)
            self._socks.append(sock)
        except OSError:
            pass

    def press(self, idle, half, slow, rare):
        d = self._fleet.deployment
        low, high = d.classes[-1][0], d.classes[0][0]
        common = {
            "service": d.service,
            "model": "m00",
            "prompt": "x",
            "class": high,
            "stream": True,
            "deadlineMs": 60000,
        }
        scarce = {**common, "model": f"m{d.models - 1:02d}", "class": low, "deadlineMs": 120000}
        for _ in range(idle):
            self._open(b"")
        for _ in range(half):
            self._open(_post(common)[:-10])
        for _ in range(rare):
            self._open(_post(scarce))
        for _ in range(slow):
            self._open(_post(common))

    def leave(self):
        for sock in self._socks:
            sock.close()
        self._socks.clear()


def _ask(fleet, kind, number, counts, lock):
    d, rng = fleet.deployment, random.Random(number)
    node = fleet.counters[number % len(fleet.counters)]
    if kind == "lookup":
        code, body = fleet.call(node, "GET", f"/v1/lookup/{d.plain_service}/{number}")
    else:
        code, body = fleet.call(
            node,
            "POST",
            "/v1/task",
            {
                "service": d.service,
                "model": f"m{rng.randrange(2):02d}",
                "class": kind,
                "prompt": f"p{number}",
                "deadlineMs": 8000,
            },
        )
    what = "answered" if code == 200 else body.get("cause") or body.get("failure") or "broken"
    with lock:
        of = counts.setdefault(kind, {})
        of[what] = of.get(what, 0) + 1


def crowd(fleet, runs, say=print, pressed=True):
    """`runs` seconds of paced callers of the first class and lookups, with the
    crowd at every counter's door (or, for the pair, without)."""
    d, counts, lock = fleet.deployment, {}, threading.Lock()
    crowds = [Crowd(fleet, node) for node in fleet.counters] if pressed else []
    for each in crowds:
        each.press(150, 60, 20, 60)
    try:
        with ThreadPoolExecutor(48) as pool:
            end_s, number = time.monotonic() + runs, 0
            while time.monotonic() < end_s:
                for kind in (d.classes[0][0], "lookup"):
                    pool.submit(_ask, fleet, kind, number, counts, lock)
                    number += 1
                time.sleep(0.05)
    finally:
        for each in crowds:
            each.leave()
    say(
        f"{d.name}, {runs} s, {'with' if pressed else 'without'} the crowd: "
        + json.dumps(counts, sort_keys=True)
    )
    return counts
