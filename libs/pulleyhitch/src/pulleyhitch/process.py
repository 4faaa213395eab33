"""Runs a node's core in a process, with its threads, timers, sockets and disk.

One thread, the owner, passes events to the core (`node.handle`) and applies the effects that
it returns.  All events reach it through one queue.  Connections to peers, HTTP requests,
calls to engines and writes of the log run on other threads, which put events into the queue
and never touch the core's state.
"""

import queue
import random
import secrets
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from replication import disk as disks
from replication import group as groups
from replication.full_disk import SpaceWait, is_full
from routing import engine_api, engine_calls, proxying
from routing.connection_pool import ConnectionPool
from routing.draining import CLOSING
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
from pulleyhitch.startup import CannotStart, call_once, cannot_listen
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
_SEGMENT_BYTES = 8 << 20
# Threads for calls to engines and to the platform.
_CALL_THREADS = 32
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
        self.ring = LogRing(config.name)
        self._queue = queue.SimpleQueue()
        self._futures = {}
        self._lock = threading.Lock()
        self._answers_nothing = False
        self._wake_ms = float("inf")
        self._sweep_ms = 0.0
        self.failure = None
        self._stopped = threading.Event()
        self._finished = threading.Event()
        self._attempts_ended = threading.Event()
        self._calls = ThreadPool(_CALL_THREADS, "call")
        self._writes = ThreadPoolExecutor(2, thread_name_prefix="write")
        self._owner = threading.Thread(target=self._run_owner, name="owner", daemon=True)
        self._disk = retry(self._open_disk) if config.role == "depot" else None
        group = retry(self._make_replica) if self._disk is not None else None
        self._node = nodes.make(config, secrets.token_hex(8), secrets.randbits(64), group, dialect)
        self._connections = retry(self._listen_to_peers)

    def _open_disk(self):
        with_space = SpaceWait(self._on_full_disk, self._gives_up_writes)
        try:
            return disks.Disk(self.config.folder, _SEGMENT_BYTES, with_space)
        except disks.DiskError as error:
            passing = isinstance(error.failure, failures.FolderInUse)
            raise CannotStart(error.failure, passing) from error
        except OSError as error:
            failure = failures.FolderUnwritable(self.config.folder, str(error.strerror))
            raise CannotStart(failure, is_full(error)) from error

    def _on_full_disk(self, waited_s):
        """A write has begun to wait for space, or has found some after a while."""
        event = "disk-has-space" if waited_s else "disk-full"
        self.ring.log(event, {"waitedMs": round(1000 * waited_s)}, urgent=True)

    def _gives_up_writes(self):
        """Before the owner runs, the start as a whole is tried again instead (`retry`)."""
        return self._stopped.is_set() or not self._owner.is_alive()

    def _make_replica(self):
        """The replica of the log, as the disk has it."""
        disk, config = self._disk, self.config
        identity = disk.loaded.files.get("identity")
        if identity is None:
            identity = secrets.token_hex(8).encode()
            try:
                disk.write(Save("identity", identity))
            except OSError as error:
                failure = failures.DiskUntrusted("identity", str(error.strerror))
                raise CannotStart(failure, is_full(error)) from error
        replica = groups.Replica(
            config.name,
            identity.decode(),
            config.address,
            configs.times(config),
            random.Random(secrets.randbits(64)),
        )
        groups.open_replica(replica, disk.loaded.files, disk.loaded.entries)
        return replica

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
        self._refuse_pending()

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

    def _refuse_pending(self):
        """Refuse the requests that wait for an outcome of the core, which decides nothing more."""
        with self._lock:
            self._answers_nothing = True
            pending, self._futures = list(self._futures.values()), {}
        for future in pending:
            future.set_result(CLOSING)

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
        future = Future()
        with self._lock:
            if self._answers_nothing:
                future.set_result(CLOSING)
                return future
            self._futures[token] = future
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
            return self._abandon(token, future)

    def _abandon(self, token, future):
        """Drop the future after a timeout, so that a late outcome is discarded.  An outcome
        that arrived just before is still returned."""
        with self._lock:
            if self._futures.get(token) is future:
                del self._futures[token]
                return failures.MajorityLost(1000)
        return future.result()

    def _run_owner(self):
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
            self._calls.submit(self.pool.close_expired)

    def _handle_event(self, event):
        try:
            for effect in nodes.handle(self._node, _now(), event):
                self._apply_effect(effect)
        except disks.DiskError as error:
            self._fail(error.failure)
        except OSError as error:
            self._fail(failures.DiskUntrusted("data folder", str(error.strerror)))
        except Exception as error:
            self._fail(failures.CoreBroke(type(event).__name__, repr(error)))
            raise

    def _fail(self, failure):
        self.ring.log("stops", failures.as_json(failure), dump_reason=failure.tag)
        if self.failure is None:
            self.failure = failure
        self._stopped.set()

    def _apply_effect(self, effect):
        if isinstance(effect, Send):
            self._connections.send(effect.to, effect.message)
        elif isinstance(effect, Write):
            self._write(effect)
        elif isinstance(effect, (Save, Install)):
            self._disk.write(effect)
        elif isinstance(effect, Reply):
            with self._lock:
                future = self._futures.pop(effect.token, None)
            if future is not None:
                future.set_result(effect.outcome)
        elif isinstance(effect, EngineCall):
            self._calls.submit(self._call, effect)
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
        reservation = self._disk.reserve(effect)
        if effect.inline:
            took_ms = self._disk.write_reserved(reservation)
            self._handle_event(events.Written(last_entry.index, last_entry.term, took_ms))
        else:
            self._writes.submit(self._write_in_background, reservation, last_entry)

    def _write_in_background(self, reservation, last_entry):
        try:
            self._queue.put(
                events.Written(
                    last_entry.index, last_entry.term, self._disk.write_reserved(reservation)
                )
            )
        except OSError as error:
            self._fail(failures.DiskUntrusted("log", str(error.strerror)))

    def _call(self, effect):
        """Call an engine or the provider, on a thread of the pool, and queue the result."""
        request_body = {**effect.body, "engine": effect.engine, "holder": self.config.name}
        if self.dialect is None:
            request = engine_api.order_request(effect.url, effect.verb, effect.body)
            exchange = engine_calls.call(
                request, effect.timeout_ms, effect.timeout_ms / 2, effect.not_after_ms
            )
            body = engine_api.read_json(exchange.data) if exchange.code else {}
        else:
            request = self.dialect.engine_request(effect.url, effect.verb, request_body)
            exchange = proxying.call(self.pool, request, effect.timeout_ms, effect.not_after_ms)
            body = self.dialect.read_engine_response(
                effect.verb, request_body, exchange.code, exchange.data
            )
        connection_reused = exchange.head is not None and exchange.head.kept
        self._queue.put(
            events.CallEnded(
                effect.id, exchange.code, body or {}, exchange.request_sent, connection_reused
            )
        )


def _now():
    return time.monotonic() * 1000
