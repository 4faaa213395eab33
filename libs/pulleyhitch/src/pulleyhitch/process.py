"""Runs a node's core in a process, with its threads, timers, sockets and disk.

One thread, the owner, passes events to the core (`node.handle`) and applies the effects that
it returns.  All events reach it through one queue.  Connections to peers, HTTP requests,
calls to engines and writes of the log run on other threads, which put events into the queue
and never touch the core's state.
"""

import contextlib
import queue
import random
import secrets
import threading
import time

from replication import disk as disks
from replication.full_disk import SpaceWait
from routing.byte_budget import ByteBudget
from routing.connection_pool import ConnectionPool
from transport import events, failures
from transport.connections import Connections
from transport.effects import (
    DumpLog,
    EngineCall,
    Finished,
    Install,
    LogLine,
    Reply,
    Save,
    Send,
    Wake,
    Write,
)
from transport.log_ring import LogRing
from transport.messages import Gossip

from pulleyhitch import config as configs
from pulleyhitch import node as nodes
from pulleyhitch import replica_disk
from pulleyhitch.engine_caller import EngineCaller
from pulleyhitch.pending_requests import PendingRequests
from pulleyhitch.startup import call_once, cannot_listen
from pulleyhitch.thread_pool import ThreadPool

__all__ = ["Process"]

_TICKS_PER_PING = 6
# Part of the election timeout, before jitter, after which a depot that has just started may
# start an election.
_FIRST_ELECTION_RATIO = 0.3
# How long an orderly stop waits for the last messages to be sent.
_FINAL_MESSAGES_S = 0.15
_COUNTER_STOP_S = 1.0
_STOP_POLL_S = 0.05
# Writes of the log that may be in flight.
_WRITE_THREADS = 2
# Interval between sweeps of idle connections to engines.
_SWEEP_INTERVAL_MS = 5000.0


class Process:
    """A running node.  `submit`, `notify` and `request` pass requests to the core by verb; the
    outcome comes from the core's `Reply` effects.  `retry` opens what the previous process may
    still use: startup.StartRetry or call_once."""

    def __init__(self, config, dialect=None, retry=call_once):
        self.config = config
        self.dialect = dialect
        self.pool = ConnectionPool()
        self.budget = ByteBudget(config.budget_bytes)
        self.ring = LogRing(config.name)
        self._queue = queue.SimpleQueue()
        self._pending = PendingRequests()
        self._wake_ms = float("inf")
        self._sweep_ms = 0.0
        self.failure = None
        self._stopped = threading.Event()
        self._finished = threading.Event()
        self._attempts_ended = threading.Event()
        self._caller = EngineCaller(
            config.name, dialect, self.pool, self._queue.put, self._log_call_error
        )
        self._writes = ThreadPool(_WRITE_THREADS, "write")
        self._owner = threading.Thread(target=self._run_owner, name="owner", daemon=True)
        self._disk = retry(self._open_disk) if config.role == "depot" else None
        group = retry(self._make_replica) if self._disk is not None else None
        self._node = nodes.make(config, secrets.token_hex(8), secrets.randbits(64), group, dialect)
        self._connections = retry(self._listen_to_peers)

    def _open_disk(self):
        return replica_disk.open_disk(
            self.config, SpaceWait(self._on_full_disk, self._gives_up_writes)
        )

    def _on_full_disk(self, waited_s):
        """A write has begun to wait for space, or has found some after a while."""
        event = "disk-has-space" if waited_s else "disk-full"
        self.ring.log(event, {"waitedMs": round(1000 * waited_s)}, urgent=True)

    def _gives_up_writes(self):
        """Before the owner runs, the start as a whole is tried again instead (`retry`)."""
        return self._stopped.is_set() or not self._owner.is_alive()

    def _make_replica(self):
        return replica_disk.make_replica(self.config, self._disk)

    def _listen_to_peers(self):
        try:
            return Connections(
                self.config.listen,
                lambda: Gossip(self._node.card, False, (), self._node.peers.group),
                lambda sender, message: self._queue.put(events.Received(sender, message)),
                self._log_event,
                configs.times(self.config).election_ms,
            )
        except OSError as error:
            raise cannot_listen(self.config.listen, error) from error

    def _log_event(self, event_name, facts):
        self.ring.log(event_name, facts)

    def start(self):
        """Start the owner thread; a depot may start an election a while later."""
        if self._node.depot is not None:
            replica = self._node.depot.group
            replica.election_due_ms = _now() + (
                _FIRST_ELECTION_RATIO * replica.settings.election_ms * (1 + random.random())
            )
        self._owner.start()
        return self

    @property
    def previous_end(self):
        """The cause of this node's last end as its data folder tells it, "" if it doesn't."""
        return self._disk.previous_end if self._disk is not None else ""

    def record_end(self, cause):
        """Tell the next start why this one ends."""
        if self._disk is not None:
            self._disk.record_end(cause)

    def close(self):
        """Stop the owner thread, in order unless it has failed: release leases, leadership and
        membership first.  Then refuse all requests that still wait for an outcome, and all later
        ones; their responses can still be sent."""
        if not self._stopped.is_set():
            self._leave()
        self._stopped.set()
        self._queue.put(events.Tick())
        self._pending.close()

    def _leave(self):
        """Release leases, leadership and membership, and wait until that is done."""
        self._queue.put(events.Shutdown())
        if self._node.depot is not None:
            wait_s = configs.times(self.config).leave_ms / 1000 + _FINAL_MESSAGES_S
        else:
            wait_s = _COUNTER_STOP_S
        end_s = time.monotonic() + wait_s
        while not self._finished.wait(_STOP_POLL_S) and time.monotonic() < end_s:
            if self._stopped.is_set():
                return
        self._stopped.wait(_FINAL_MESSAGES_S)

    def end_attempts(self):
        """Have the requests that still wait for an engine's response answered without it."""
        self._attempts_ended.set()

    def ends_attempts(self):
        """Whether `end_attempts` has been called."""
        return self._attempts_ended.is_set()

    def stopped(self):
        """Whether the owner has stopped, by `close` or after a failure."""
        return self._stopped.is_set()

    def submit(self, token, verb, body):
        """Pass a request to the core; returns the future of its outcome.  Once the core has
        stopped, the request is refused at once."""
        future = self._pending.add(token)
        if future.done():
            return future
        self._queue.put(events.LocalRequest(token, verb, body))
        return future

    def notify(self, token, verb, body):
        """Pass a request to the core without registering a future.  Its reply goes to the future
        that is already registered under the token, if any."""
        self._queue.put(events.LocalRequest(token, verb, body))

    def request(self, token, verb, body, wait_s=600.0):
        """Pass a request to the core and wait for its outcome; MajorityLost on a timeout."""
        future = self.submit(token, verb, body)
        try:
            return future.result(timeout=wait_s)
        except TimeoutError:
            if self._pending.abandon(token, future):
                return failures.MajorityLost(1000)
            return future.result()

    def _run_owner(self):
        """Run the core until the process stops.  Whatever ends this thread stops the process, which
        would otherwise be there and decide nothing."""
        try:
            self._handle_events()
        except Exception as error:
            self.fail(failures.CoreBroke("owner", repr(error)))
            raise

    def _handle_events(self):
        """Handle events as they arrive, and a tick whenever one is due, however long the queue
        is.  After a pause of the process, the events queued meanwhile are handled before the
        tick, so that no timeout fires although the message it waits for has arrived."""
        tick_ms = configs.times(self.config).ping_ms / _TICKS_PER_PING
        next_ms = _now()
        while not self._stopped.is_set():
            now_ms = _now()
            due_ms = min(next_ms, self._wake_ms)
            if now_ms < due_ms:
                try:
                    self._handle_event(self._queue.get(timeout=(due_ms - now_ms) / 1000))
                except queue.Empty:
                    pass
                continue
            if now_ms - due_ms > 4 * tick_ms:
                for _ in range(self._queue.qsize()):
                    self._handle_event(self._queue.get())
            if now_ms >= next_ms:
                next_ms = _now() + tick_ms
                self._sweep(now_ms)
            self._wake_ms = float("inf")
            self._handle_event(events.Tick())

    def _sweep(self, now_ms):
        """Close idle connections to engines at intervals, even if there are no requests."""
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + _SWEEP_INTERVAL_MS
            self._caller.close_idle()

    def _handle_event(self, event):
        try:
            for effect in nodes.handle(self._node, _now(), event):
                self._apply_effect(effect)
        except disks.DiskError as error:
            self.fail(error.failure)
        except Exception as error:
            self.fail(failures.CoreBroke(type(event).__name__, repr(error)))
            raise

    def fail(self, failure):
        """Stop the process because of a failure; the first one is its cause."""
        if self._stopped.is_set():
            return
        self.ring.log("stops", failures.as_json(failure), dump_reason=failure.tag)
        self.failure = self.failure or failure
        self._stopped.set()

    def _apply_effect(self, effect):
        if isinstance(effect, Send):
            self._connections.send(effect.to, effect.message)
        elif isinstance(effect, Write):
            self._write(effect)
        elif isinstance(effect, (Save, Install)):
            with _disk_errors("data folder"):
                self._disk.write(effect)
        elif isinstance(effect, Reply):
            self._pending.resolve(effect.token, effect.outcome)
        elif isinstance(effect, EngineCall):
            self._caller.submit(effect)
        elif isinstance(effect, Wake):
            self._wake_ms = min(self._wake_ms, effect.at_ms)
        elif isinstance(effect, LogLine):
            self.ring.log(effect.event, effect.facts, urgent=effect.urgent)
        elif isinstance(effect, Finished):
            self._finished.set()
        elif isinstance(effect, DumpLog):
            self.ring.log("dump", {}, dump_reason=effect.reason)

    def _write(self, effect):
        """Write log entries, on the owner thread if `inline`, otherwise on a writer thread."""
        last_entry = effect.entries[-1]
        with _disk_errors("log"):
            reservation = self._disk.reserve(effect)
        if effect.inline:
            self._handle_event(self._written(reservation, last_entry))
            return
        try:
            self._writes.submit(self._write_in_background, reservation, last_entry)
        except RuntimeError as error:
            self._log_call_error(error)
            self._write_in_background(reservation, last_entry)

    def _written(self, reservation, last_entry):
        """Write reserved entries; returns the event that reports it."""
        with _disk_errors("log"):
            took_ms = self._disk.write_reserved(reservation)
        return events.Written(last_entry.index, last_entry.term, took_ms)

    def _write_in_background(self, reservation, last_entry):
        try:
            self._queue.put(self._written(reservation, last_entry))
        except disks.DiskError as error:
            self.fail(error.failure)
        except Exception as error:
            self.fail(failures.CoreBroke("Write", repr(error)))
            raise

    def _log_call_error(self, error):
        """A call that could not be made, or broke; it has been reported to the core as ended."""
        self.ring.log("call-error", {"error": repr(error)}, urgent=True)


@contextlib.contextmanager
def _disk_errors(file):
    """Turns an OSError into a DiskError."""
    try:
        yield
    except OSError as error:
        raise disks.DiskError(failures.DiskUntrusted(file, str(error.strerror))) from error


def _now():
    return time.monotonic() * 1000
