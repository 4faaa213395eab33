"""Threads of the HTTP listener that serve complete requests.

A request gets a thread from the share of its class, or from a lower share that has free threads.
If none becomes free soon, the request is refused, so that a flood of one class never starves a
higher one.  A request that has to wait for its outcome releases its thread meanwhile.
"""

import threading
import time

from pulleyhitch import admission
from pulleyhitch.thread_pool import ThreadPool
from pulleyhitch.thread_shares import ThreadQueue, ThreadShares

__all__ = ["RequestThreads"]

# The part of the time in which a request must arrive that it may wait for a thread.
_QUEUE_RATIO = 1 / 8


class RequestThreads:
    """Serves the requests of a Listener by `begin`, as that describes it.  `queue` holds the
    callers that wait for a thread, `shares` the free threads.

    `admit` and `refuse_overdue` are called on the listener's event loop."""

    def __init__(self, listener, threads, begin, request_timeout_s):
        self._listener, self._begin = listener, begin
        self._request_timeout_s = request_timeout_s
        self.shares = ThreadShares(threads)
        self.queue = ThreadQueue(self.shares.total)
        self._lock = threading.Lock()
        self._pool = ThreadPool(self.shares.total, "http")
        self._finish_pool = ThreadPool(threads, "finish")

    def on_disconnect(self, caller):
        """Call `on_disconnect` of a request, at most once, and only while it still waits."""
        with self._lock:
            on_disconnect, caller.on_disconnect = caller.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def admit(self, caller):
        """Start a complete request on a thread, or queue it until one is free."""
        caller.since_s = time.monotonic()
        if not self._start(caller):
            refused = self.queue.add(caller)
            if refused is not None:
                self._refuse_for_threads(refused)

    def _start(self, caller):
        """Start the request on a thread of its own share or of a lower one, if one is free."""
        share = self.shares.acquire(caller.request_class)
        if share is None:
            return False
        caller.thread_share = share
        caller.sock.setblocking(True)
        caller.sock.settimeout(self._request_timeout_s)
        try:
            self._pool.submit(self._serve, caller)
        except RuntimeError:
            self.shares.release(share)
            return False
        return True

    def _start_queued(self):
        self.queue.start_each(self._start)

    def _refuse_for_threads(self, caller):
        self._listener.refuse(caller, "threads", admission.RETRY_AFTER_S[caller.request_class])

    def _serve(self, caller):
        waiting = None
        try:
            waiting = self._begin(caller)
        finally:
            self.shares.release(caller.thread_share)
            self._listener.run_on_loop(
                lambda: self._listener.close(caller) if waiting is None else None
            )
            self._listener.run_on_loop(self._start_queued)
        if waiting is not None:
            future, caller.finish, caller.on_disconnect = waiting
            self._listener.run_on_loop(
                lambda: self._listener.register(caller) if caller.finish else None
            )
            future.add_done_callback(lambda done: self._submit_finish(caller, done))

    def _close_answered(self, caller, waiting):
        if waiting is None:
            self._listener.close(caller)

    def _watch_waiting(self, caller):
        """Watch a connection whose request still waits for its outcome."""
        if caller.finish:
            self._listener.register(caller)

    def _submit_finish(self, caller, done):
        """Answer a request whose outcome is known, or refuse it if there is no thread for that."""
        try:
            self._finish_pool.submit(self._finish, caller, done)
        except RuntimeError:
            self._listener.run_on_loop(lambda: self._refuse_outcome(caller))

    def _refuse_outcome(self, caller):
        self.on_disconnect(caller)
        self._refuse_for_threads(caller)

    def _finish(self, caller, done):
        with self._lock:
            finish, caller.finish, caller.on_disconnect = caller.finish, None, None
        try:
            finish(done.result())
        finally:
            self._listener.run_on_loop(lambda: self._listener.close(caller))

    def refuse_overdue(self, now_s):
        """Refuse requests that have waited too long for a thread."""
        for caller in self.queue.remove_since(now_s - _QUEUE_RATIO * self._request_timeout_s):
            self._refuse_for_threads(caller)
