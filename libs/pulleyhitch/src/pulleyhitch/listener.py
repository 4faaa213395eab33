"""The door: connections wait here and hold no thread until they are worth one.

One thread watches every open connection.  A request that is whole gets a thread
from the part of its class, or of a lower one that has some free; if there is
none it is refused at once, so a crowd of one class never shuts out a higher.
A task that has to wait for its model gives its thread back and stays here with
its socket until its fate is known or its caller leaves.  All is bounded: open
connections, bytes held, and the time that a request may take to arrive.
"""

import queue
import resource
import selectors
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from transport import failures

from pulleyhitch import admission, request_framing
from pulleyhitch.caller import Caller

__all__ = ["Door"]

_HELD_BYTES = 64 << 20
_PER_THREAD = 20


class Door:
    """`run` lets callers in until `stop`.  `begin(caller)` runs on a thread of the
    caller's part; it returns None, or (future, finish, left) for a task that
    waits: `finish` gets a thread once the future is there, `left` is called if
    the caller leaves before."""

    def __init__(
        self,
        host,
        port,
        threads,
        begin,
        kind_of,
        arrive_s,
        idle_s=None,
        policy=admission.PLATFORM_POLICY,
    ):
        self._begin, self._kind_of, self._arrive_s = begin, kind_of, arrive_s
        self._policy = policy
        self._idle_s = idle_s or arrive_s
        self._listener = socket.create_server((host, port), backlog=1024)
        self._listener.setblocking(False)
        self._parts = admission.parts(threads)
        self._free = dict(self._parts)
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(sum(self._parts.values()), thread_name_prefix="http")
        self._rest = ThreadPoolExecutor(threads, thread_name_prefix="leg")
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._most = max(16, min(_PER_THREAD * threads, limit // 2))
        self._open, self._bytes = {}, 0
        self._told, self._line = queue.SimpleQueue(), []
        self._bell, self._ring = socket.socketpair()
        self._bell.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._bell, selectors.EVENT_READ)
        self._stopping, self._listening = False, True

    def stop(self):
        self._stopping = True
        self._say(lambda: None)

    def run(self):
        while not (self._stopping and self.empty()):
            if self._stopping and self._listening:
                self._shut_out()
            for key, _ in self._selector.select(0.1 if self._line else 0.5):
                if key.fileobj is self._listener:
                    self._let_in()
                elif key.fileobj is self._bell:
                    self._bell.recv(4096)
                else:
                    self._hear(key.data)
            while not self._told.empty():
                self._told.get()()
            self._tidy(time.monotonic())

    def empty(self):
        """Whether nobody who was let in still waits for an answer."""
        return (
            self._stopping
            and not self._listening
            and not any(c.kind or c.data for c in list(self._open.values()))
        )

    def _shut_out(self):
        """Let in who has come already, then nobody any more."""
        self._let_in()
        self._listening = False
        self._selector.unregister(self._listener)
        self._listener.close()

    def _say(self, action):
        """Have the door's own thread do something."""
        self._told.put(action)
        try:
            self._ring.send(b"!", socket.MSG_DONTWAIT)
        except OSError:
            pass

    def _let_in(self):
        for _ in range(64):
            try:
                sock, address = self._listener.accept()
            except OSError:
                return
            if len(self._open) >= self._most and not self._push_out():
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller = Caller(sock, address, time.monotonic())
            self._open[sock] = caller
            self._watch(caller)

    def _push_out(self):
        """Room for one more: whoever has been silent longest goes."""
        idle = [c for c in self._open.values() if not c.kind and not c.data]
        if not idle:
            return False
        self._close(min(idle, key=lambda c: c.since_s))
        return True

    def _watch(self, caller):
        self._selector.register(caller.sock, selectors.EVENT_READ, caller)
        caller.watched = True

    def _unwatch(self, caller):
        if caller.watched:
            self._selector.unregister(caller.sock)
            caller.watched = False

    def _close(self, caller):
        self._unwatch(caller)
        if self._open.pop(caller.sock, None) is not None:
            self._bytes -= len(caller.data)
        admission.shut(caller.sock)

    def _hear(self, caller):
        if caller.kind:
            self._unwatch(caller)
            if admission.peek(caller.sock) == b"":
                self._leave(caller)
            return
        try:
            got = caller.sock.recv(1 << 18)
        except BlockingIOError:
            return
        except OSError:
            self._close(caller)
            return
        caller.data += got
        self._bytes += len(got)
        limit_bytes = self._policy.body_limit_of(caller.data)
        self._judge(caller, admission.measured(caller.data, limit_bytes), not got)

    def _judge(self, caller, measured, ended):
        """Only a whole request goes on: what was cut off or can't be read is nobody's."""
        if isinstance(measured, request_framing.Complete):
            caller.request = measured
            self._admit(caller)
        elif isinstance(measured, request_framing.Malformed):
            self._reject(caller, measured)
        elif ended and caller.data:
            self._reject(
                caller, request_framing.Malformed(self._policy.cut_short_status, "cut short")
            )
        elif ended:
            self._close(caller)
        elif self._bytes > _HELD_BYTES:
            self._refuse(caller, "memory", 2)

    def _reject(self, caller, malformed):
        admission.reject(caller.sock, malformed)
        self._close(caller)

    def _leave(self, caller):
        """The caller has left: told once, and only while its task still waits."""
        with self._lock:
            left, caller.left = caller.left, None
        if left is not None:
            left()

    def _admit(self, caller):
        """A whole request gets a thread, or waits a moment for one."""
        self._unwatch(caller)
        caller.kind, caller.since_s = self._kind_of(caller.data), time.monotonic()
        if not self._start(caller):
            self._line.append(caller)
            self._line.sort(key=lambda c: (admission.ORDER[c.kind], c.since_s))
            if len(self._line) > 2 * sum(self._parts.values()):
                last = self._line.pop()
                self._refuse(last, "threads", admission.PATIENCE_S[last.kind])

    def _start(self, caller):
        """A thread of its own part, or of a lower one that has some free."""
        with self._lock:
            part = next((p for p in admission.MAY_USE[caller.kind] if self._free[p] > 0), None)
            if part is None:
                return False
            self._free[part] -= 1
        caller.part = part
        caller.sock.setblocking(True)
        caller.sock.settimeout(self._arrive_s)
        self._pool.submit(self._serve, caller)
        return True

    def _next(self):
        self._line = [c for c in self._line if not self._start(c)]

    def _refuse(self, caller, cause, seconds):
        self._unwatch(caller)
        admission.answer(caller.sock, 503, failures.Overloaded(1000 * seconds, cause), seconds)
        self._close(caller)

    def _serve(self, caller):
        waiting = None
        try:
            waiting = self._begin(caller)
        finally:
            with self._lock:
                self._free[caller.part] += 1
            self._say(lambda: self._close(caller) if waiting is None else None)
            self._say(self._next)
        if waiting is not None:
            future, caller.finish, caller.left = waiting
            self._say(lambda: self._watch(caller) if caller.finish else None)
            future.add_done_callback(lambda done: self._rest.submit(self._go_on, caller, done))

    def _go_on(self, caller, done):
        with self._lock:
            finish, caller.finish, caller.left = caller.finish, None, None
        try:
            finish(done.result())
        finally:
            self._say(lambda: self._close(caller))

    def _tidy(self, now_s):
        """Requests that don't get whole in time, or a thread soon, are given up."""
        for caller in [c for c in self._line if now_s - c.since_s > self._arrive_s / 8]:
            self._line.remove(caller)
            self._refuse(caller, "threads", admission.PATIENCE_S[caller.kind])
        for caller in [
            c
            for c in self._open.values()
            if not c.kind and now_s - c.since_s > (self._arrive_s if c.data else self._idle_s)
        ]:
            if caller.data:
                admission.reject(caller.sock, request_framing.Malformed(408, "not whole in time"))
            self._close(caller)
