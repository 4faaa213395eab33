"""Stand-in clients behind the platform's address, which hands connections to ready counters."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from standins2.fleet import ask
from standins2.servers import now_s

__all__ = ["Entry", "Load"]

_PROBE_S = 1.0
_PROMISES = (408, 421, 429, 503)


class Entry:
    """Probes the counters each second; two misses in a row take one out until it answers 200."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._misses = {name: 2 for name in fleet.counters}
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            start_s = now_s()
            for name in self._fleet.counters:
                self._misses[name] = 0 if self._fleet.ready(name) else self._misses[name] + 1
            time.sleep(max(0.0, start_s + _PROBE_S - now_s()))

    def ready(self):
        return [name for name, misses in self._misses.items() if misses < 2]

    def nodes(self, zone, number):
        """The counters for the tries of a client in a zone, the first one first."""
        ready = self.ready() or self._fleet.counters
        near = [name for name in ready if self._fleet.zone(name) == zone]
        far = [name for name in ready if name not in near]
        turned = far[number % len(far) :] + far[: number % len(far)] if far else []
        return near + turned


class Load:
    """Sends `per_s` requests a second from each zone, whatever becomes of them, until `stop`.
    `sent` has the time at which each try's connection was opened, by its id, `answers` its
    status."""

    def __init__(self, record, fleet, entry, zones, per_s, headers_of, deadline_ms=1500, path=""):
        self._record, self._fleet, self._entry = record, fleet, entry
        self._headers_of, self._deadline_ms, self._path = headers_of, deadline_ms, path
        self.sent, self.answers = {}, {}
        self._ids, self._stopped = itertools.count(1), False
        self._pool = ThreadPoolExecutor(64)
        for zone in zones:
            threading.Thread(target=self._run, args=(zone, per_s), daemon=True).start()

    def stop(self):
        self._stopped = True
        self._pool.shutdown(cancel_futures=True)

    def _run(self, zone, per_s):
        due_s = now_s()
        while not self._stopped:
            due_s += 1.0 / per_s
            time.sleep(max(0.0, due_s - now_s()))
            try:
                self._pool.submit(self._request, zone, next(self._ids))
            except RuntimeError:
                return

    def _request(self, zone, number):
        """One request: a first try, and one more elsewhere after a failure."""
        end_s = now_s() + self._deadline_ms / 1000
        for turn, name in enumerate(self._entry.nodes(zone, number)[:2]):
            left_ms = int(1000 * (end_s - now_s()))
            if left_ms <= 0:
                return
            id_ = f"{number:08x}{turn:02x}"
            headers = (
                f"X-Try-Id: {id_}",
                f"X-Deadline-Ms: {left_ms}",
                *self._headers_of(number),
            )
            self.sent[id_] = now_s()
            self._record("client sends", id_, "to", name)
            code, _, _ = ask(
                self._fleet.address(name, "counter"),
                "POST",
                f"{self._path}{number:x}",
                b"question",
                ("Host: ficu95.example", *headers),
                left_ms / 1000,
            )
            self.answers[id_] = code
            self._record("client gets", code, "for", id_)
            if code == 200 or (code and code < 500 and code not in _PROMISES):
                return
