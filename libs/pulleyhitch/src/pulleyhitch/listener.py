"""HTTP listener: accepts connections, and passes complete requests on to threads.

One event loop watches every open connection.  A complete request is served by `RequestThreads`.
While it waits without a thread (for its model, for example), the event loop watches its
connection until the outcome is known or the caller disconnects.  Open connections and the time in
which a request must arrive are bounded.  The bytes of a request are reserved in the process's byte
budget as soon as its head tells them, and until its connection is closed; without room for them it
is refused.
"""

import resource
import selectors
import socket
import time
import traceback

from routing.byte_budget import ByteBudget
from transport import failures
from transport.acceptor import Acceptor

from pulleyhitch import admission, request_framing
from pulleyhitch.caller_connection import CallerConnection
from pulleyhitch.loop_actions import LoopActions
from pulleyhitch.request_threads import RequestThreads

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
        self._classify, self._request_timeout_s = classify, request_timeout_s
        self._policy, self._budget = policy, budget or ByteBudget(_DEFAULT_BUDGET_BYTES)
        self._idle_timeout_s = idle_timeout_s or request_timeout_s
        server_socket = socket.create_server((host, port), backlog=1024)
        server_socket.setblocking(False)
        self._threads = RequestThreads(self, threads, begin, request_timeout_s)
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._connection_limit = max(16, min(_CONNECTIONS_PER_THREAD * threads, limit // 2))
        self._connections = {}
        self._received = bytearray(_RECEIVE_BYTES)
        self._selector = selectors.DefaultSelector()
        self._acceptor = Acceptor(server_socket, self._selector)
        self._actions = LoopActions(self._selector)
        self._stopping = self._refusing_connections = False
        self._accepting = True

    def stop_accepting(self):
        """Accept no more connections.  Requests on connections accepted before are still served."""
        self._refusing_connections = True
        self.run_on_loop(lambda: None)

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
            for key, _ in self._selector.select(0.1 if self._threads.queue else 0.5):
                self._contain(lambda key=key: self._on_event(key), key.data)
            for action in self._actions.take_all():
                self._contain(action)
            self._contain(lambda: self._enforce_timeouts(time.monotonic()))

    def _on_event(self, key):
        if key.fileobj is self._acceptor.listening:
            self._accept()
        elif key.fileobj is self._actions.receiver:
            self._actions.on_readable()
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
                self.close(caller)

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

    def run_on_loop(self, action):
        """Run `action` on the thread of the event loop."""
        self._actions.add(action)

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
            self.register(caller)
        return True

    def _close_oldest_idle(self):
        """Make room for a connection by closing the one that has been idle longest."""
        idle = [c for c in self._connections.values() if not c.request_class and not c.data]
        if not idle:
            return False
        self.close(min(idle, key=lambda c: c.since_s))
        return True

    def register(self, caller):
        """Watch a connection."""
        self._selector.register(caller.sock, selectors.EVENT_READ, caller)
        caller.registered = True

    def _unregister(self, caller):
        if caller.registered:
            self._selector.unregister(caller.sock)
            caller.registered = False

    def close(self, caller):
        """Close a connection and give back what it holds."""
        self._unregister(caller)
        self._connections.pop(caller.sock, None)
        caller.reservation.release()
        admission.close_connection(caller.sock)

    def _on_readable(self, caller):
        if caller.request_class:
            self._unregister(caller)
            if admission.peek(caller.sock) == b"":
                self._threads.on_disconnect(caller)
            return
        try:
            count = caller.sock.recv_into(self._received)
        except BlockingIOError:
            return
        except OSError:
            self.close(caller)
            return
        if not caller.discards:
            caller.data += memoryview(self._received)[:count]
            limit_bytes = self._policy.body_limit_of(caller.data)
            parsed = admission.parse_first_request(caller.data, limit_bytes)
            self._dispatch(caller, parsed, count == 0)
        elif count == 0:
            self.close(caller)

    def _dispatch(self, caller, parsed, at_end):
        """Admit a complete request; reject a truncated or malformed one, and one for whose bytes
        there is no room."""
        if not isinstance(parsed, request_framing.Malformed) and not self._reserve(caller, parsed):
            self.refuse(caller, "memory", _MEMORY_RETRY_S)
        elif isinstance(parsed, request_framing.Complete):
            caller.request, caller.request_class = parsed, self._classify(caller.data)
            caller.data = bytearray()
            self._unregister(caller)
            self._threads.admit(caller)
        elif isinstance(parsed, request_framing.Malformed):
            self._reject(caller, parsed)
        elif at_end and caller.data:
            self._reject(
                caller, request_framing.Malformed(self._policy.truncated_status, "cut short")
            )
        elif at_end:
            self.close(caller)

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
            self.close(caller)

    def refuse(self, caller, cause, seconds):
        """Refuse a request that hasn't run; its sender may come again in so many seconds."""
        admission.send_failure(
            caller.sock, 503, failures.Overloaded(1000 * seconds, cause), seconds
        )
        if caller.request_class:
            self.close(caller)
        else:
            self._discard(caller)

    def _enforce_timeouts(self, now_s):
        """Refuse requests that waited too long for a thread; close connections whose request
        did not arrive in time."""
        self._threads.refuse_overdue(now_s)
        for caller in list(self._connections.values()):
            if caller.request_class or now_s - caller.since_s <= self._patience_s(caller):
                continue
            if caller.data:
                admission.send_malformed(
                    caller.sock, request_framing.Malformed(408, "not whole in time")
                )
            self.close(caller)

    def _patience_s(self, caller):
        """How long a connection without a complete request is kept."""
        if caller.discards:
            return _DISCARD_S
        return self._request_timeout_s if caller.data else self._idle_timeout_s
