"""A stand-in for the platform itself: its engines come and go, its list of them runs
behind, comes in pages and bears so many calls a second."""

import json
import threading
from urllib.parse import parse_qs, urlsplit

from simulation import platform_engine as core
from simulation.platform_history import parcels
from simulation.platform_serving import Answering, EngineDoor, now_ms, reply

__all__ = ["Platform"]

_PAGE = 3


class Platform:
    """`add`, `leave` and `crash` change which engines there are; `close` ends all."""

    def __init__(self, address, lagMs, per_s, observe=None):
        self.lagMs, self.per_s, self.turned_away = lagMs, per_s, 0
        self._observe = observe
        self.doors, self.past = {}, []
        self._entries, self._history, self._calls_ms = {}, [], []
        self._lock = threading.Lock()
        self._answering = Answering(address, self._list)

    def add(self, engine):
        self.doors[engine.id] = EngineDoor(engine, self._observe)
        self._entry(engine, "open")

    def leave(self, id_):
        """It says that it is closing and goes on serving."""
        engine = self.doors[id_].engine
        engine.state = "closing"
        self._entry(engine, "closing")

    def crash(self, id_):
        """It is gone at once; the list hears of it later."""
        door = self.doors.pop(id_)
        door.close()
        self.past.append(door.engine)
        with self._lock:
            self._entries.pop(id_, None)
            self._keep()

    def close(self):
        for id_ in list(self.doors):
            self.crash(id_)
        self._answering.close()

    def engines(self):
        """All there are and were."""
        return self.past + [door.engine for door in self.doors.values()]

    def _entry(self, engine, state):
        with self._lock:
            self._entries[engine.id] = (engine, state)
            self._keep()

    def _keep(self):
        self._history.append((now_ms(), dict(self._entries)))

    def _list(self, handler, body):
        parts = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        at_ms = now_ms()
        with self._lock:
            self._calls_ms = [ms for ms in self._calls_ms if at_ms - ms < 1000] + [at_ms]
            busy = len(self._calls_ms) > self.per_s
            self.turned_away += busy
            shown = next((e for ms, e in reversed(self._history) if ms <= at_ms - self.lagMs), {})
        if parts.path != "/engines" or busy:
            return reply(handler, 429 if busy else 404)
        found = [
            _shown(engine, state, at_ms)
            for _, (engine, state) in sorted(shown.items())
            if query.get("zone", engine.zone) == engine.zone
        ]
        first = int(query.get("pageToken", "p-0")[2:])
        token = f"p-{first + _PAGE}" if first + _PAGE < len(found) else None
        told = {"engines": found[first : first + _PAGE], "nextToken": token}
        return reply(handler, 200, ("Content-Type: application/json",), json.dumps(told).encode())


def _shown(engine, state, now_ms):
    return {
        "id": engine.id,
        "service": engine.service,
        "address": engine.address,
        "zone": engine.zone,
        "edition": "v1",
        "slots": engine.sizes.slots,
        "state": state,
        "warmupLeftMs": int(core.warm_left(engine, now_ms)),
        "leg": "both",
        "parcels": parcels(engine),
    }
