"""A process: the owner thread that feeds the core and carries out its effects.

Everything reaches the owner through one queue.  Sockets belong to pipe
threads, callers to HTTP threads, engine calls and log writes to pools; they
post events here and never touch the core's state.
"""

import queue
import random
import secrets
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from replication import disk as disks
from replication import group as groups
from routing import engines, legs, passing
from routing.pool import Pool
from transport import events, failures
from transport.connections import Connections
from transport.effects import Call, Dump, Finished, Install, Note, Reply, Save, Send, Wake, Write
from transport.log_ring import Ring
from transport.messages import Greet

from pulleyhitch import config as configs
from pulleyhitch import node as nodes

__all__ = ["Process", "CannotStart"]

_TICKS_PER_PING = 6
_FIRST_ELECTION_RATIO = 0.3
# What an orderly stop leaves for messages and answers under way.
_FINAL_MESSAGES_S = 0.15
_COUNTER_STOP_S = 1.0
# How often connections that are past their time are looked for.
_SWEEP_INTERVAL_MS = 5000.0


class CannotStart(Exception):
    def __init__(self, failure):
        super().__init__(failure.tag)
        self.failure = failure


class Process:
    """`post` and `ask` put an event to the owner and get its word, later or now."""

    def __init__(self, config, dialect=None):
        self.config = config
        self.dialect = dialect
        self.pool = Pool()
        self.ring = Ring(config.name)
        self._queue = queue.SimpleQueue()
        self._futures = {}
        self._lock = threading.Lock()
        self._wake_ms = float("inf")
        self._sweep_ms = 0.0
        self._stopped = threading.Event()
        self._finished = threading.Event()
        self._calls = ThreadPoolExecutor(32, thread_name_prefix="call")
        self._writes = ThreadPoolExecutor(2, thread_name_prefix="write")
        self._disk, group = self._open_disk(config)
        self._node = nodes.make(config, secrets.token_hex(8), secrets.randbits(64), group, dialect)
        try:
            self._connections = Connections(
                config.listen,
                lambda: Greet(self._node.card, False, (), self._node.peers.group),
                lambda sender, message: self._queue.put(events.Received(sender, message)),
                self._log_event,
                configs.times(config).elect_ms,
            )
        except OSError as failed:
            raise CannotStart(failures.AddressTaken(config.listen)) from failed
        self._owner = threading.Thread(target=self._run_owner, name="owner", daemon=True)

    def _open_disk(self, config):
        if config.role != "depot":
            return None, None
        try:
            disk = disks.Disk(config.folder, 8 << 20)
        except disks.DiskFailed as failed:
            raise CannotStart(failed.failure) from failed
        identity = disk.loaded.files.get("identity")
        if identity is None:
            identity = secrets.token_hex(8).encode()
            disk.write(Save("identity", identity))
        group = groups.Replica(
            config.name,
            identity.decode(),
            config.address,
            configs.times(config),
            random.Random(secrets.randbits(64)),
        )
        groups.open_replica(group, disk.loaded.files, disk.loaded.entries)
        group.elect_at_ms = _now() + _FIRST_ELECTION_RATIO * group.times.elect_ms * (
            1 + random.random()
        )
        return disk, group

    def _log_event(self, what, facts):
        self.ring.note(what, facts)

    def start(self):
        self._owner.start()
        return self

    def close(self):
        """Orderly: give leases, lead and membership away, then stop.

        Whoever waits for an answer that is there by then gets it.
        """
        self._queue.put(events.Closing())
        if self._node.depot is not None:
            wait_s = configs.times(self.config).leave_ms / 1000 + _FINAL_MESSAGES_S
        else:
            wait_s = _COUNTER_STOP_S
        if self._finished.wait(wait_s):
            self._stopped.wait(_FINAL_MESSAGES_S)
        self._stopped.set()
        self._queue.put(events.Tick())

    def stopped(self):
        return self._stopped.is_set()

    def submit(self, token, verb, body):
        """Put an event to the owner; the future gets its word."""
        future = Future()
        with self._lock:
            self._futures[token] = future
        self._queue.put(events.Asked(token, verb, body))
        return future

    def notify(self, token, verb, body):
        """An event whose answer goes to whoever waits on the token already."""
        self._queue.put(events.Asked(token, verb, body))

    def request(self, token, verb, body, wait_s=600.0):
        future = self.submit(token, verb, body)
        try:
            return future.result(timeout=wait_s)
        except TimeoutError:
            return self._abandon(token, future)

    def _abandon(self, token, future):
        """Nobody waits any more: a late word has nowhere to go.  One that came at the very
        end still counts."""
        with self._lock:
            if self._futures.get(token) is future:
                del self._futures[token]
                return failures.MajorityLost(1000)
        return future.result()

    def _run_owner(self):
        """Events as they come, and a tick whenever one is due, however many wait.
        After a time in which we did not run, what came meanwhile goes first."""
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
        """Connections to engines that nobody uses any more are closed also at rest."""
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + _SWEEP_INTERVAL_MS
            self._calls.submit(self.pool.sweep)

    def _handle_event(self, event):
        try:
            for effect in nodes.handle(self._node, _now(), event):
                self._apply_effect(effect)
        except disks.DiskFailed as failed:
            self._fail(failed.failure)
        except OSError as failed:
            self._fail(failures.DiskUntrusted("data folder", str(failed.strerror)))
        except Exception as failed:
            self._fail(failures.CoreBroke(type(event).__name__, repr(failed)))
            raise

    def _fail(self, failure):
        self.ring.note("stops", failures.as_json(failure), why=failure.tag)
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
        elif isinstance(effect, Call):
            self._calls.submit(self._call, effect)
        elif isinstance(effect, Wake):
            self._wake_ms = min(self._wake_ms, effect.at_ms)
        elif isinstance(effect, Note):
            self.ring.note(effect.what, effect.facts, urgent=effect.urgent)
        elif isinstance(effect, Finished):
            self._finished.set()
        elif isinstance(effect, Dump):
            self.ring.note("dump", {}, why=effect.why)

    def _write(self, effect):
        last = effect.entries[-1]
        claim = self._disk.reserve(effect)
        if effect.inline:
            took_ms = self._disk.put(claim)
            self._handle_event(events.Written(last.index, last.term, took_ms))
        else:
            self._writes.submit(self._write_in_background, claim, last)

    def _write_in_background(self, claim, last):
        try:
            self._queue.put(events.Written(last.index, last.term, self._disk.put(claim)))
        except OSError as failed:
            self._fail(failures.DiskUntrusted("log", str(failed.strerror)))

    def _call(self, effect):
        request_body = {**effect.body, "engine": effect.engine, "holder": self.config.name}
        if self.dialect is None:
            request = engines.order_ask(effect.url, effect.verb, effect.body)
            exchange = legs.call(
                request, effect.timeout_ms, effect.timeout_ms / 2, effect.not_after_ms
            )
            body = engines.read_json(exchange.data) if exchange.code else {}
        else:
            request = self.dialect.call_ask(effect.url, effect.verb, request_body)
            exchange = passing.call(self.pool, request, effect.timeout_ms, effect.not_after_ms)
            body = self.dialect.read_call(effect.verb, request_body, exchange.code, exchange.data)
        kept = exchange.head is not None and exchange.head.kept
        self._queue.put(events.Called(effect.id, exchange.code, body or {}, exchange.begun, kept))


def _now():
    return time.monotonic() * 1000
