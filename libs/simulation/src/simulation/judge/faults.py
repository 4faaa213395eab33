"""Faults on real processes and sockets while callers send, one after another."""

import signal
import time
from dataclasses import dataclass, field

from simulation.platform_faults import Fault
from simulation.platform_serving import now_ms

__all__ = ["Hurt", "Faults"]

_FREEZE_S = (0.3, 2.5)
_PAUSE_S = (0.3, 1.2)
_FAULTS_AT_ONCE = 6
# Engine faults that keep a slot busy without telling anything are left to other tests.
_ENGINE_FAULTS = tuple(f for f in Fault if f is not Fault.SILENT)


@dataclass
class Hurt:
    """When core machines were hurt: (from, to) in ms."""

    core: list = field(default_factory=list)


class Faults:
    """`run` strikes until `stop()`; `fleet` is a PlatformFleet, `furnish` makes an engine
    anew in place of one that is gone."""

    def __init__(self, fleet, rng, replace_engine, on_core=True):
        self._fleet, self._rng, self._replace = fleet, rng, replace_engine
        self.hurt, self.struck = Hurt(), {}
        self._kinds = [self._engine_answers] * 6 + [self._freeze_counter, self._kill_counter]
        self._kinds += [self._crash_engine, self._reuse_address, self._leave]
        if on_core:
            self._kinds += [self._freeze_depot, self._kill_depot]

    def run(self, stop):
        while not stop():
            kind = self._rng.choice(self._kinds)
            self.struck[kind.__name__] = self.struck.get(kind.__name__, 0) + 1
            kind()
            time.sleep(self._rng.uniform(*_PAUSE_S))

    def _some(self, names):
        return self._rng.choice([name for name in names if name in self._fleet.running])

    def _frozen(self, name):
        process = self._fleet.running[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(*_FREEZE_S))
        process.send_signal(signal.SIGCONT)

    def _freeze_counter(self):
        self._frozen(self._some(self._fleet.counters))

    def _kill_counter(self):
        name = self._some(self._fleet.counters)
        self._fleet.kill(name)
        self._fleet.start(name)

    def _freeze_depot(self):
        start_ms = now_ms()
        self._frozen(self._some(self._fleet.depots))
        self.hurt.core.append((start_ms, now_ms()))

    def _kill_depot(self):
        start_ms, name = now_ms(), self._some(self._fleet.depots)
        self._fleet.kill(name)
        self._fleet.start(name)
        self.hurt.core.append((start_ms, now_ms() + 1000))

    def _doors(self):
        return list(self._fleet.platform.doors.items())

    def _engine_answers(self):
        _, door = self._rng.choice(self._doors())
        door.faults.extend(self._rng.choice(_ENGINE_FAULTS) for _ in range(_FAULTS_AT_ONCE))

    def _crash_engine(self):
        id_, door = self._rng.choice(self._doors())
        self._fleet.platform.crash(id_)
        self._replace(door.engine, None)

    def _reuse_address(self):
        """An engine of another service comes up at the address of one that is gone."""
        doors = self._doors()
        id_, door = self._rng.choice(doors)
        others = [d.engine for _, d in doors if d.engine.service != door.engine.service]
        self._fleet.platform.crash(id_)
        if others:
            self._replace(self._rng.choice(others), door.engine.address)
        self._replace(door.engine, None)

    def _leave(self):
        id_, door = self._rng.choice(self._doors())
        self._replace(door.engine, None)
        self._fleet.platform.leave(id_)
