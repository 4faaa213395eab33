"""Signals to processes of ours, in series that overlap, and what came of their ends."""

import signal
import threading
import time
from dataclasses import dataclass

from simulation.platform_serving import now_ms
from simulation.process_status import handles_signal
from simulation.soak.plan import TroubleKind

__all__ = ["End", "Nodes"]

# The platform's grace between SIGTERM and SIGKILL, and a little for a busy machine.
_GRACE_S = 8.0
_LATE_S = 4.0
_POLL_S = 0.002
# How long a process that starts gets signals, and the pause between two of them.
_SERIES_S = 2.0
_SERIES_PAUSE_S = 0.02


@dataclass(frozen=True)
class End:
    """How a process ended: `asked` tells whether a signal of ours was to end it, `took_s`
    how long after the first such signal."""

    name: str
    code: int
    asked: bool
    took_s: float


class Nodes:
    """`strike` does a Trouble to a node of a PlatformFleet; one node may suffer several at
    once.  `ends` lists the Ends, `stopping` (name, from, to) in ms of each stop."""

    def __init__(self, fleet):
        self._fleet, self._lock = fleet, threading.Lock()
        self._busy, self.ends, self.stopping = set(), [], []

    def strike(self, name, kind, for_s):
        process = self._fleet.running.get(name)
        if process is None:
            return
        if kind is TroubleKind.FREEZE:
            self._freeze(process, for_s)
        elif kind is TroubleKind.RELOAD:
            self._reload(process)
        elif self._begin(name):
            try:
                self._end(name, process, kind, for_s)
            finally:
                self._busy.discard(name)

    def _begin(self, name):
        """Whether nobody else is ending this node just now."""
        with self._lock:
            if name in self._busy:
                return False
            self._busy.add(name)
            return True

    def _freeze(self, process, for_s):
        self._send(process, signal.SIGSTOP)
        time.sleep(for_s)
        self._send(process, signal.SIGCONT)

    def _reload(self, process):
        """SIGHUP, but not before the process has come to its first line: until then the
        interpreter has the system's default for it (docs/platform.md)."""
        while process.poll() is None and not handles_signal(process.pid, signal.SIGHUP):
            time.sleep(_POLL_S)
        self._send(process, signal.SIGHUP)

    def _reload_in_series(self, process):
        end_s = time.monotonic() + _SERIES_S
        while process.poll() is None and time.monotonic() < end_s:
            self._reload(process)
            time.sleep(_SERIES_PAUSE_S)

    def _send(self, process, number):
        if process.poll() is None:
            process.send_signal(number)

    def _end(self, name, process, kind, for_s):
        first_ms = now_ms()
        if kind in (TroubleKind.KILL, TroubleKind.SETTINGS_AT_START):
            self._send(process, signal.SIGKILL)
        else:
            if kind is TroubleKind.STOP_AND_RELOAD:
                self._reload(process)
            self._send(process, signal.SIGTERM)
            self._disturb(name, process, kind, for_s)
        if kind is not TroubleKind.START_BESIDE:
            self._wait(name, process, first_ms)
        self._start(name, kind, for_s)
        if kind is TroubleKind.START_BESIDE:
            self._wait(name, process, first_ms)
        if kind is TroubleKind.STOP_AT_START:
            process = self._fleet.running[name]
            time.sleep(for_s / 4)
            first_ms = now_ms()
            self._send(process, signal.SIGTERM)
            self._wait(name, process, first_ms)
            self._fleet.start(name)

    def _start(self, name, kind, for_s):
        """Start a node, with what comes while it starts."""
        self._fleet.start(name)
        if kind is TroubleKind.RELOADS_AT_START:
            self._reload_in_series(self._fleet.running[name])
        elif kind is TroubleKind.SETTINGS_AT_START:
            with self._fleet.half_of_settings(name):
                time.sleep(for_s / 2)

    def _disturb(self, name, process, kind, for_s):
        """What comes while a process stops."""
        if kind is TroubleKind.STOP_TWICE:
            time.sleep(for_s / 4)
            self._send(process, signal.SIGTERM)
        elif kind is TroubleKind.STOP_AND_RELOAD:
            time.sleep(for_s / 4)
            self._reload(process)
        elif kind is TroubleKind.STOP_AND_KILL:
            time.sleep(for_s)
            self._send(process, signal.SIGKILL)

    def _wait(self, name, process, first_ms):
        end_s = time.monotonic() + _GRACE_S + _LATE_S
        while process.poll() is None and time.monotonic() < end_s:
            time.sleep(0.02)
        late = process.poll() is None
        if late:
            process.kill()
            process.wait(30)
        took_s = (now_ms() - first_ms) / 1000
        self.ends.append(End(name, process.returncode if not late else 999, True, took_s))
        self.stopping.append((name, first_ms, now_ms()))

    def unasked_ends(self):
        """Ends of processes that nobody had told to end."""
        return [
            End(name, process.returncode, False, 0.0)
            for name, process in list(self._fleet.running.items())
            if process.poll() is not None and name not in self._busy
        ]
