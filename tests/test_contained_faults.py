"""What isn't a fault of the core doesn't end the process, and what is ends it at once.

Guards against a process that ends because no thread or no descriptor is left for a moment, and
against one that lives on though the thread that decides, accepts or writes has died.
"""

import errno
import os
import queue
import selectors
import socket
import threading
import time

from process_harness import lone_counter
from pulleyhitch import admission, process, thread_pool
from pulleyhitch import listener as listeners
from simulation.fleet import free_ports
from test_frames import GREETING
from testtools import TestCase
from testtools.matchers import Contains, Equals, StartsWith
from transport import acceptor, connection_state, events, failures, frames, messages
from transport.connections import Connections
from transport.effects import EngineCall, Send

LIMIT_S = 30.0
CALL = EngineCall("c1", "e0", "http://127.0.0.1:1/order", "load", {}, 1000.0, None)


def no_thread(*_):
    raise RuntimeError("can't start new thread")


def no_descriptor(*_):
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


class Owner(TestCase):
    """The thread that runs the core."""

    def started(self, effects):
        """A process whose core answers its first tick with these effects; events arrive in
        `self.events`."""
        self.events, waiting = queue.SimpleQueue(), list(effects)

        def handle(event):
            self.events.put(event)
            found, waiting[:] = list(waiting), []
            return found

        return lone_counter(self, handle)

    def event(self, kind):
        """The next event of a kind."""
        end_s = time.monotonic() + LIMIT_S
        while time.monotonic() < end_s:
            event = self.events.get(timeout=LIMIT_S)
            if isinstance(event, kind):
                return event
        raise AssertionError(f"no {kind.__name__}")

    def test_a_call_without_a_thread_ends_unsent(self):
        started = self.started([CALL])
        self.patch(thread_pool.ThreadPool, "_start_thread", no_thread)
        started.start()
        self.assertThat(self.event(events.CallEnded), Equals(events.CallEnded("c1", 0, {}, False)))
        self.assertThat(started.stopped(), Equals(False))

    def test_a_call_that_breaks_ends_as_one_that_may_have_been_sent(self):
        started = self.started([CALL])
        self.patch(started._caller, "_call", no_descriptor)
        started.start()
        self.assertThat(self.event(events.CallEnded), Equals(events.CallEnded("c1", 0)))
        self.assertThat(started.stopped(), Equals(False))

    def test_a_message_without_a_descriptor_is_lost(self):
        started = self.started([Send("127.0.0.1:1", GREETING)])
        self.patch(connection_state, "socket", _Sockets())
        started.start()
        for _ in range(3):
            self.event(events.Tick)
        self.assertThat(started.stopped(), Equals(False))

    def test_an_error_beside_the_core_stops_the_process(self):
        started = self.started([])
        self.patch(started, "_sweep", lambda now_ms: 1 / 0)
        started.start()
        self.assertThat(started._stopped.wait(LIMIT_S), Equals(True))
        self.assertThat(started.failure.tag, Equals("core-broke"))

    def test_an_error_of_the_core_that_looks_like_one_of_the_disk(self):
        def handle(event):
            raise FileNotFoundError(errno.ENOENT, "none")

        started = lone_counter(self, handle).start()
        self.assertThat(started._stopped.wait(LIMIT_S), Equals(True))
        self.assertThat(started.failure.tag, Equals("core-broke"))

    def test_a_write_that_breaks_in_the_background_stops_the_process(self):
        started = self.started([])
        self.patch(started, "_disk", None)
        entry = messages.Entry(1, 1, b"")
        started._writes.submit(started._write_in_background, None, entry)
        self.assertThat(started._stopped.wait(LIMIT_S), Equals(True))
        self.assertThat(started.failure.tag, Equals("core-broke"))


class _Sockets:
    """The module `socket` of a process that has no descriptor left."""

    socket = staticmethod(no_descriptor)

    def __getattr__(self, name):
        return getattr(socket, name)


class Listening:
    """A listening socket; `accept` fails as long as `error` is set."""

    def __init__(self):
        self.error, self.accepts = errno.EMFILE, 0

    def accept(self):
        self.accepts += 1
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return "socket", "address"


class Watched:
    """A selector that tells which sockets it watches."""

    def __init__(self):
        self.sockets = set()

    def register(self, sock, mask):
        assert mask == selectors.EVENT_READ
        self.sockets.add(sock)

    def unregister(self, sock):
        self.sockets.remove(sock)


class Clock:
    now_s = 0.0

    def monotonic(self):
        return self.now_s


class Accepting(TestCase):
    def setUp(self):
        super().setUp()
        self.listening, self.watched, self.clock = Listening(), Watched(), Clock()
        self.acceptor = acceptor.Acceptor(self.listening, self.watched, self.clock)

    def test_a_shortage_of_descriptors_pauses_it(self):
        for error in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            self.listening.error = error
            self.assertThat(self.acceptor.accept(), Equals(None))
            self.assertThat(self.watched.sockets, Equals(set()))
            self.acceptor.resume_if_due()
            self.assertThat(self.watched.sockets, Equals(set()))
            self.clock.now_s += 1.0
            self.acceptor.resume_if_due()
            self.assertThat(self.watched.sockets, Equals({self.listening}))
        self.listening.error = 0
        self.assertThat(self.acceptor.accept(), Equals(("socket", "address")))

    def test_other_errors_do_not(self):
        for error in (errno.EAGAIN, errno.ECONNABORTED):
            self.listening.error = error
            self.assertThat(self.acceptor.accept(), Equals(None))
            self.assertThat(self.watched.sockets, Equals({self.listening}))


class Peers(TestCase):
    def test_an_error_with_one_connection_leaves_the_others(self):
        got, address = queue.Queue(), "127.0.0.1:%d" % free_ports(1)[0]

        def on_message(sender, message):
            if message == messages.TransferLeadership(1):
                raise ValueError("a fault")
            got.put(message)

        connections = Connections(address, lambda: GREETING, on_message, lambda *_: None, 2000)
        self.addCleanup(connections.close)
        host, port = address.split(":")
        bad, good = (socket.create_connection((host, int(port)), LIMIT_S) for _ in range(2))
        for sock in (bad, good):
            self.addCleanup(sock.close)
        bad.sendall(frames.pack(GREETING) + frames.pack(messages.TransferLeadership(1)))
        self.assertThat(bad.recv(1), Equals(b""))
        good.sendall(frames.pack(GREETING) + frames.pack(messages.TransferLeadership(2)))
        while got.get(timeout=LIMIT_S) != messages.TransferLeadership(2):
            pass


class Callers(TestCase):
    REQUEST = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"

    def serve(self, classify=lambda data: "lookup"):
        def begin(caller):
            admission.send_failure(caller.sock, 200, failures.NotFound("x"))

        self.listener = listeners.Listener("127.0.0.1", 0, 48, begin, classify, 1.0)
        thread = threading.Thread(target=self.listener.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, LIMIT_S)
        self.addCleanup(self.listener.stop)

    def answer(self, path):
        address = self.listener._acceptor.listening.getsockname()
        with socket.create_connection(address, LIMIT_S) as sock:
            sock.sendall(self.REQUEST % path)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def test_an_error_with_one_connection_leaves_the_others(self):
        def classify(data):
            if b"bad" in data:
                raise ValueError("a fault")
            return "lookup"

        self.serve(classify)
        self.assertThat(self.answer(b"bad"), Equals(b""))
        self.assertThat(self.answer(b"good"), StartsWith(b"HTTP/1.1 200"))

    def test_requests_are_refused_while_there_is_no_thread(self):
        self.serve()
        real = thread_pool.ThreadPool._start_thread
        self.patch(thread_pool.ThreadPool, "_start_thread", no_thread)
        self.assertThat(self.answer(b"one"), Contains(b" 503 "))
        self.patch(thread_pool.ThreadPool, "_start_thread", real)
        self.assertThat(self.answer(b"two"), StartsWith(b"HTTP/1.1 200"))


class Idle(TestCase):
    def test_the_owner_goes_on_if_idle_connections_are_not_closed(self):
        ticked = threading.Semaphore(0)

        def handle(event):
            ticked.release()
            return []

        started = lone_counter(self, handle)
        self.patch(process, "_SWEEP_INTERVAL_MS", 0.0)
        self.patch(thread_pool.ThreadPool, "_start_thread", no_thread)
        started.start()
        for _ in range(5):
            self.assertThat(ticked.acquire(timeout=LIMIT_S), Equals(True))
        self.assertThat(started.stopped(), Equals(False))
