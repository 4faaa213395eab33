"""HTTP listener: accepts connections, and assigns threads to complete requests only.

One event loop watches every open connection.  A complete request gets a thread from the
share of its class, or from a lower share that has free threads.  If none becomes free soon, the
request is refused, so that a flood of one class never starves a higher one.  A request that has to
wait (for its model, for example) releases its thread; the event loop watches its connection until
the outcome is known or the caller disconnects.  Open connections and the time in which a request
must arrive are bounded.  The bytes of a request are reserved in the process's byte budget as soon
as its head tells them, and until its connection is closed; without room for them it is refused.
"""

import queue
import resource
import selectors
import socket
import threading
import time
import traceback

from routing.byte_budget import ByteBudget
from transport import failures
from transport.acceptor import Acceptor

from pulleyhitch import admission, request_framing
from pulleyhitch.caller_connection import CallerConnection
from pulleyhitch.thread_pool import ThreadPool
from pulleyhitch.thread_shares import ThreadQueue, ThreadShares

__all__ = ["Listener"]

# What a listener without a budget of its process may hold.
_DEFAULT_BUDGET_BYTES = 64 << 20
# Retry-After of a request for whose bytes there was no room.
_MEMORY_RETRY_S = 1
# How long the rest of a refused request is read, so that its sender sees the response.
_DISCARD_S = 2.0
_RECEIVE_BYTES = 1 << 18
_CONNECTIONS_PER_THREAD = 20
# Connections accepted at a time, so that those accepted before get their turn.
_ACCEPTS_PER_EVENT = 64


class Listener:
    """Serves connections in `run` until `stop` is called; after `stop_accepting`, only those that
    it has accepted.

    `begin(caller)` runs on a thread of the request's share.  It returns None if the request
    is answered, or (future, finish, on_disconnect) if it has to wait: `finish(result)` gets a
    thread once the future is done, `on_disconnect()` is called if the caller disconnects
    first.  `classify(data)` returns the class of a request, as `admission.classify` does."""

    def __init__(
        self,
        host,
        port,
        threads,
        begin,
        classify,
        request_timeout_s,
        idle_timeout_s=None,
        policy=admission.PLATFORM_POLICY,
        budget=None,
    ):
        self._begin, self._classify, self._request_timeout_s = begin, classify, request_timeout_s
        self._policy, self._budget = policy, budget or ByteBudget(_DEFAULT_BUDGET_BYTES)
        self._idle_timeout_s = idle_timeout_s or request_timeout_s
        server_socket = socket.create_server((host, port), backlog=1024)
        server_socket.setblocking(False)
        self._thread_shares = ThreadShares(threads)
        self._thread_queue = ThreadQueue(self._thread_shares.total)
        self._lock = threading.Lock()
        self._pool = ThreadPool(self._thread_shares.total, "http")
        self._finish_pool = ThreadPool(threads, "finish")
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._connection_limit = max(16, min(_CONNECTIONS_PER_THREAD * threads, limit // 2))
        self._connections = {}
        self._actions = queue.SimpleQueue()
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._acceptor = Acceptor(server_socket, self._selector)
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ)
        self._stopping = self._refusing_connections = False
        self._accepting = True

    def stop_accepting(self):
        """Accept no more connections.  Requests on connections accepted before are still served."""
        self._refusing_connections = True
        self._run_on_loop(lambda: None)

    def stop(self):
        """Stop accepting; `run` returns once every accepted request is answered."""
        self._stopping = True
        self.stop_accepting()

    def run(self):
        """Run the event loop until `stop` has been called and no request is pending."""
        while not (self._stopping and self.empty()):
            if self._refusing_connections and self._accepting:
                self._stop_accepting()
            self._acceptor.resume_if_due()
            for key, _ in self._selector.select(0.1 if self._thread_queue else 0.5):
                self._contain(lambda key=key: self._on_event(key), key.data)
            while not self._actions.empty():
                self._contain(self._actions.get())
            self._contain(lambda: self._enforce_timeouts(time.monotonic()))

    def _on_event(self, key):
        if key.fileobj is self._acceptor.listening:
            self._accept()
        elif key.fileobj is self._wakeup_receiver:
            self._wakeup_receiver.recv(4096)
        else:
            self._on_readable(key.data)

    def _contain(self, step, caller=None):
        """Run a step of the event loop; an error closes the connection that it concerns, so that
        all others are still served."""
        try:
            step()
        except Exception:
            traceback.print_exc()
            if caller is not None:
                self._close(caller)

    def empty(self):
        """Whether the listener has stopped accepting and no request is pending, not even one whose
        first bytes have arrived."""
        return not self._accepting and not any(
            c.request_class or c.data for c in list(self._connections.values())
        )

    def has_unanswered_requests(self):
        """Whether a request has been read whole and its answer hasn't been sent whole."""
        return any(c.request_class for c in list(self._connections.values()))

    def _stop_accepting(self):
        """Accept the connections of the backlog, then close the server socket."""
        while self._accept():
            pass
        self._accepting = False
        self._acceptor.close()

    def _run_on_loop(self, action):
        """Run `action` on the thread of the event loop."""
        self._actions.put(action)
        try:
            self._wakeup_sender.send(b"!", socket.MSG_DONTWAIT)
        except OSError:
            pass

    def _accept(self):
        """Accept some of the pending connections; returns whether there may be more."""
        for _ in range(_ACCEPTS_PER_EVENT):
            accepted = self._acceptor.accept()
            if accepted is None:
                return False
            sock, address = accepted
            if len(self._connections) >= self._connection_limit and not self._close_oldest_idle():
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reservation = self._budget.reservation()
            caller = CallerConnection(sock, address, time.monotonic(), reservation=reservation)
            self._connections[sock] = caller
            self._register(caller)
        return True

    def _close_oldest_idle(self):
        """Make room for a connection by closing the one that has been idle longest."""
        idle = [c for c in self._connections.values() if not c.request_class and not c.data]
        if not idle:
            return False
        self._close(min(idle, key=lambda c: c.since_s))
        return True

    def _register(self, caller):
        self._selector.register(caller.sock, selectors.EVENT_READ, caller)
        caller.registered = True

    def _unregister(self, caller):
        if caller.registered:
            self._selector.unregister(caller.sock)
            caller.registered = False

    def _close(self, caller):
        self._unregister(caller)
        self._connections.pop(caller.sock, None)
        caller.reservation.release()
        admission.close_connection(caller.sock)

    def _on_readable(self, caller):
        if caller.request_class:
            self._unregister(caller)
            if admission.peek(caller.sock) == b"":
                self._on_disconnect(caller)
            return
        try:
            chunk = caller.sock.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(caller)
            return
        if not caller.discards:
            caller.data += chunk
            limit_bytes = self._policy.body_limit_of(caller.data)
            parsed = admission.parse_first_request(caller.data, limit_bytes)
            self._dispatch(caller, parsed, not chunk)
        elif not chunk:
            self._close(caller)

    def _dispatch(self, caller, parsed, at_end):
        """Admit a complete request; reject a truncated or malformed one, and one for whose bytes
        there is no room."""
        if not isinstance(parsed, request_framing.Malformed) and not self._reserve(caller, parsed):
            self._refuse(caller, "memory", _MEMORY_RETRY_S)
        elif isinstance(parsed, request_framing.Complete):
            caller.request, caller.request_class = parsed, self._classify(caller.data)
            caller.data = bytearray()
            self._admit(caller)
        elif isinstance(parsed, request_framing.Malformed):
            self._reject(caller, parsed)
        elif at_end and caller.data:
            self._reject(
                caller, request_framing.Malformed(self._policy.truncated_status, "cut short")
            )
        elif at_end:
            self._close(caller)

    def _reserve(self, caller, parsed):
        """Reserve the bytes of a request: all of them, as far as its head tells their number."""
        return caller.reservation.resize(
            max(len(caller.data), getattr(parsed, "expected_bytes", 0))
        )

    def _reject(self, caller, malformed):
        admission.send_malformed(caller.sock, malformed)
        self._discard(caller)

    def _discard(self, caller):
        """Close a connection once its sender has stopped sending, or after a while: if it were
        closed before, the sender could lose the response that has just been sent."""
        caller.data, caller.discards, caller.since_s = bytearray(), True, time.monotonic()
        caller.reservation.release()
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(caller)

    def _on_disconnect(self, caller):
        """Call `on_disconnect` of a request, at most once, and only while it still waits."""
        with self._lock:
            on_disconnect, caller.on_disconnect = caller.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def _admit(self, caller):
        """Start a complete request on a thread, or queue it until one is free."""
        self._unregister(caller)
        caller.since_s = time.monotonic()
        if not self._start(caller):
            refused = self._thread_queue.add(caller)
            if refused is not None:
                self._refuse_for_threads(refused)

    def _start(self, caller):
        """Start the request on a thread of its own share or of a lower one, if one is free."""
        share = self._thread_shares.acquire(caller.request_class)
        if share is None:
            return False
        caller.thread_share = share
        caller.sock.setblocking(True)
        caller.sock.settimeout(self._request_timeout_s)
        try:
            self._pool.submit(self._serve, caller)
        except RuntimeError:
            self._thread_shares.release(share)
            return False
        return True

    def _start_queued(self):
        self._thread_queue.start_each(self._start)

    def _refuse_for_threads(self, caller):
        self._refuse(caller, "threads", admission.RETRY_AFTER_S[caller.request_class])

    def _refuse(self, caller, cause, seconds):
        admission.send_failure(
            caller.sock, 503, failures.Overloaded(1000 * seconds, cause), seconds
        )
        if caller.request_class:
            self._close(caller)
        else:
            self._discard(caller)

    def _serve(self, caller):
        waiting = None
        try:
            waiting = self._begin(caller)
        finally:
            self._thread_shares.release(caller.thread_share)
            self._run_on_loop(lambda: self._close(caller) if waiting is None else None)
            self._run_on_loop(self._start_queued)
        if waiting is not None:
            future, caller.finish, caller.on_disconnect = waiting
            self._run_on_loop(lambda: self._register(caller) if caller.finish else None)
            future.add_done_callback(lambda done: self._submit_finish(caller, done))

    def _submit_finish(self, caller, done):
        """Answer a request whose outcome is known, or refuse it if there is no thread for that."""
        try:
            self._finish_pool.submit(self._finish, caller, done)
        except RuntimeError:
            self._run_on_loop(lambda: self._refuse_outcome(caller))

    def _refuse_outcome(self, caller):
        self._on_disconnect(caller)
        self._refuse_for_threads(caller)

    def _finish(self, caller, done):
        with self._lock:
            finish, caller.finish, caller.on_disconnect = caller.finish, None, None
        try:
            finish(done.result())
        finally:
            self._run_on_loop(lambda: self._close(caller))

    def _enforce_timeouts(self, now_s):
        """Refuse requests that waited too long for a thread; close connections whose request
        did not arrive in time."""
        for caller in self._thread_queue.remove_since(now_s - self._request_timeout_s / 8):
            self._refuse_for_threads(caller)
        for caller in list(self._connections.values()):
            if caller.request_class or now_s - caller.since_s <= self._patience_s(caller):
                continue
            if caller.data:
                admission.send_malformed(
                    caller.sock, request_framing.Malformed(408, "not whole in time")
                )
            self._close(caller)

    def _patience_s(self, caller):
        """How long a connection without a complete request is kept."""
        if caller.discards:
            return _DISCARD_S
        return self._request_timeout_s if caller.data else self._idle_timeout_s
