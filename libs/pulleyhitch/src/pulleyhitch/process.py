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
from transport import events as e
from transport import failures
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

__all__ = ["Process", "CannotStart"]

_TICKS_PER_PING = 6
_FIRST_ELECT = 0.3
# What an orderly stop leaves for messages and answers under way.
_LAST_WORDS_S = 0.15
_COUNTER_STOPS_S = 1.0
# How often connections that are past their time are looked for.
_SWEEP_MS = 5000.0


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
        self.ring = LogRing(config.name)
        self._queue = queue.SimpleQueue()
        self._waiting = {}
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
            self._pipes = Connections(
                config.listen,
                lambda: Gossip(self._node.card, False, (), self._node.peers.group),
                lambda sender, message: self._queue.put(e.Received(sender, message)),
                self._note,
                configs.times(config).election_ms,
            )
        except OSError as failed:
            raise CannotStart(failures.AddressTaken(config.listen)) from failed
        self._owner = threading.Thread(target=self._own, name="owner", daemon=True)

    def _open_disk(self, config):
        if config.role != "depot":
            return None, None
        try:
            disk = disks.Disk(config.folder, 8 << 20)
        except disks.DiskError as failed:
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
        group.election_due_ms = _now() + _FIRST_ELECT * group.settings.election_ms * (
            1 + random.random()
        )
        return disk, group

    def _note(self, what, facts):
        self.ring.note(what, facts)

    def start(self):
        self._owner.start()
        return self

    def close(self):
        """Orderly: give leases, lead and membership away, then stop.

        Whoever waits for an answer that is there by then gets it.
        """
        self._queue.put(e.Shutdown())
        if self._node.depot is not None:
            wait_s = configs.times(self.config).leave_ms / 1000 + _LAST_WORDS_S
        else:
            wait_s = _COUNTER_STOPS_S
        if self._finished.wait(wait_s):
            self._stopped.wait(_LAST_WORDS_S)
        self._stopped.set()
        self._queue.put(e.Tick())

    def stopped(self):
        return self._stopped.is_set()

    def post(self, token, verb, body):
        """Put an event to the owner; the future gets its word."""
        future = Future()
        with self._lock:
            self._waiting[token] = future
        self._queue.put(e.LocalRequest(token, verb, body))
        return future

    def tell(self, token, verb, body):
        """An event whose answer goes to whoever waits on the token already."""
        self._queue.put(e.LocalRequest(token, verb, body))

    def ask(self, token, verb, body, wait_s=600.0):
        future = self.post(token, verb, body)
        try:
            return future.result(timeout=wait_s)
        except TimeoutError:
            return self._given_up(token, future)

    def _given_up(self, token, future):
        """Nobody waits any more: a late word has nowhere to go.  One that came at the very
        end still counts."""
        with self._lock:
            if self._waiting.get(token) is future:
                del self._waiting[token]
                return failures.MajorityLost(1000)
        return future.result()

    def _own(self):
        """Events as they come, and a tick whenever one is due, however many wait.
        After a time in which we did not run, what came meanwhile goes first."""
        tick_ms = configs.times(self.config).ping_ms / _TICKS_PER_PING
        next_ms = _now()
        while not self._stopped.is_set():
            now_ms = _now()
            due_ms = min(next_ms, self._wake_ms)
            if now_ms < due_ms:
                try:
                    self._feed(self._queue.get(timeout=(due_ms - now_ms) / 1000))
                except queue.Empty:
                    pass
                continue
            if now_ms - due_ms > 4 * tick_ms:
                for _ in range(self._queue.qsize()):
                    self._feed(self._queue.get())
            if now_ms >= next_ms:
                next_ms = _now() + tick_ms
                self._sweep(now_ms)
            self._wake_ms = float("inf")
            self._feed(e.Tick())

    def _sweep(self, now_ms):
        """Connections to engines that nobody uses any more are closed also at rest."""
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + _SWEEP_MS
            self._calls.submit(self.pool.sweep)

    def _feed(self, event):
        try:
            for effect in nodes.handle(self._node, _now(), event):
                self._do(effect)
        except disks.DiskError as failed:
            self._fail(failed.failure)
        except OSError as failed:
            self._fail(failures.DiskUntrusted("data folder", str(failed.strerror)))
        except Exception as failed:
            self._fail(failures.CoreBroke(type(event).__name__, repr(failed)))
            raise

    def _fail(self, failure):
        self.ring.note("stops", failures.as_json(failure), why=failure.tag)
        self._stopped.set()

    def _do(self, effect):
        if isinstance(effect, Send):
            self._pipes.send(effect.to, effect.message)
        elif isinstance(effect, Write):
            self._write(effect)
        elif isinstance(effect, (Save, Install)):
            self._disk.write(effect)
        elif isinstance(effect, Reply):
            with self._lock:
                future = self._waiting.pop(effect.token, None)
            if future is not None:
                future.set_result(effect.outcome)
        elif isinstance(effect, EngineCall):
            self._calls.submit(self._call, effect)
        elif isinstance(effect, Wake):
            self._wake_ms = min(self._wake_ms, effect.at_ms)
        elif isinstance(effect, LogLine):
            self.ring.note(effect.what, effect.facts, urgent=effect.urgent)
        elif isinstance(effect, Finished):
            self._finished.set()
        elif isinstance(effect, DumpLog):
            self.ring.note("dump", {}, why=effect.why)

    def _write(self, effect):
        last = effect.entries[-1]
        claim = self._disk.reserve(effect)
        if effect.inline:
            took_ms = self._disk.write_reserved(claim)
            self._feed(e.Written(last.index, last.term, took_ms))
        else:
            self._writes.submit(self._put, claim, last)

    def _put(self, claim, last):
        try:
            self._queue.put(e.Written(last.index, last.term, self._disk.write_reserved(claim)))
        except OSError as failed:
            self._fail(failures.DiskUntrusted("log", str(failed.strerror)))

    def _call(self, effect):
        told = {**effect.body, "engine": effect.engine, "holder": self.config.name}
        if self.dialect is None:
            ask = engines.order_ask(effect.url, effect.verb, effect.body)
            ended = legs.call(ask, effect.timeout_ms, effect.timeout_ms / 2, effect.not_after_ms)
            body = engines.read_json(ended.data) if ended.code else {}
        else:
            ask = self.dialect.call_ask(effect.url, effect.verb, told)
            ended = passing.call(self.pool, ask, effect.timeout_ms, effect.not_after_ms)
            body = self.dialect.read_call(effect.verb, told, ended.code, ended.data)
        kept = ended.head is not None and ended.head.kept
        self._queue.put(e.CallEnded(effect.id, ended.code, body or {}, ended.begun, kept))


def _now():
    return time.monotonic() * 1000
