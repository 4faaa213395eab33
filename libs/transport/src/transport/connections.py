"""TCP connections between processes.

Each node listens on one address and dials the nodes that it sends to.  A connection carries
frames from the dialling node only; the first is a Gossip message.  One thread watches all
connections.  Messages on a broken connection are lost, which the state machines tolerate.
"""

import errno
import selectors
import socket
import sys
import threading
import time
import traceback

from transport import frames
from transport.acceptor import Acceptor
from transport.connection_state import (
    Incoming,
    Outgoing,
    dialled_address,
    host_and_port,
    open_socket,
)
from transport.messages import Gossip

__all__ = ["Connections"]

_MAX_UNSENT_BYTES = 8 << 20
_CHUNK_BYTES = 1 << 16
_ACCEPTS_PER_EVENT = 64
_IN_PROGRESS = (errno.EINPROGRESS, errno.EAGAIN)


class Connections:
    """All connections of a node.

    Received messages are passed to `on_message(sender, message)`, log lines to `on_log(event,
    facts)`.  `make_greeting()` returns the first message for a new connection.  An outgoing
    connection that has unsent bytes and makes no progress for `stall_ms` is closed.
    """

    def __init__(self, address, make_greeting, on_message, on_log, stall_ms):
        self._make_greeting, self._on_message, self._on_log = make_greeting, on_message, on_log
        self._stall_s = stall_ms / 1000
        self._outgoing, self._lock = {}, threading.RLock()
        listener = socket.create_server(host_and_port(address), backlog=256, reuse_port=False)
        listener.setblocking(False)
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._wake_pending, self._closed = False, False
        self._selector = selectors.DefaultSelector()
        self._acceptor = Acceptor(listener, self._selector)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)
        self._to_watch = []
        threading.Thread(target=self._run, name="connections", daemon=True).start()

    def send(self, to, message):
        if not to.rpartition(":")[2].isdigit():
            self._on_log("connection-bad-address", {"to": to, "kind": type(message).__name__})
            return
        data = frames.pack(message)
        with self._lock:
            conn = self._outgoing.get(to)
            if conn is None:
                conn = self._outgoing[to] = Outgoing(to)
            if conn.sock is None:
                if time.monotonic() < conn.redial_s:
                    return
                self._dial(conn)
            if conn.sock is None:
                return
            if len(conn.unsent) > _MAX_UNSENT_BYTES:
                self._on_log("connection-full", {"to": to})
                return
            if not conn.unsent:
                conn.progress_s = time.monotonic()
            conn.unsent += data
            if conn.opened and len(conn.unsent) == len(data):
                self._write(conn)

    def close(self):
        """Stop the thread and the listener; open connections are not closed."""
        self._closed = True
        self._wake()

    def _wake(self):
        if not self._wake_pending:
            self._wake_pending = True
            try:
                self._wake_sender.send(b"!")
            except OSError:
                pass

    def _watch(self, conn):
        """Let the watching thread write to this connection once its socket is writable."""
        self._to_watch.append(conn)
        self._wake()

    def _dial(self, conn):
        """Begin to connect; a process that has no socket left for it loses the connection only."""
        try:
            conn.sock = open_socket(conn.to, self._stall_s)
            code = conn.sock.connect_ex(dialled_address(conn.to))
        except OSError as error:
            self._disconnect(conn, type(error).__name__)
            return
        if code and code not in _IN_PROGRESS:
            self._disconnect(conn, "ConnectionRefusedError")
            return
        conn.opened, conn.progress_s = False, time.monotonic()
        conn.unsent = bytearray(frames.pack(self._make_greeting()))
        self._watch(conn)

    def _disconnect(self, conn, cause):
        if conn.sock is not None:
            self._stop_watching(conn.sock)
            conn.sock.close()
        conn.sock, conn.opened, conn.unsent = None, False, bytearray()
        conn.redial_s = time.monotonic() + self._stall_s / 10
        self._on_log("connection-lost", {"to": conn.to, "cause": cause})

    def _write(self, conn):
        """Write as much as the socket accepts; the watching thread writes the rest."""
        try:
            while conn.unsent:
                sent = conn.sock.send(conn.unsent[:_CHUNK_BYTES])
                del conn.unsent[:sent]
                conn.progress_s = time.monotonic()
        except (BlockingIOError, InterruptedError):
            self._watch(conn)
        except OSError as failed:
            self._disconnect(conn, type(failed).__name__)

    def _run(self):
        while not self._closed:
            for key, mask in self._selector.select(self._stall_s / 2):
                try:
                    self._handle_ready(key, mask)
                except Exception:
                    self._drop_broken(key)
            self._wake_pending = False
            with self._lock:
                self._watch_and_time_out()
        self._acceptor.close()

    def _handle_ready(self, key, mask):
        if key.fileobj is self._acceptor.listening:
            self._accept()
        elif key.fileobj is self._wake_receiver:
            self._wake_receiver.recv(64)
        elif isinstance(key.data, Outgoing):
            self._on_outgoing(key.data, key.fileobj, mask)
        else:
            self._read(key.data)

    def _drop_broken(self, key):
        """Close the one connection whose handling raised, so that all others are still served."""
        traceback.print_exc()
        self._on_log("connection-error", {"error": repr(sys.exc_info()[1])})
        if isinstance(key.data, Outgoing):
            with self._lock:
                self._disconnect(key.data, "error")
        elif isinstance(key.data, Incoming):
            self._close_incoming(key.data)

    def _watch_and_time_out(self):
        """Register new connections for watching; close those without progress."""
        self._acceptor.resume_if_due()
        added, self._to_watch = self._to_watch, []
        for conn in added:
            if conn.sock is not None:
                mask = selectors.EVENT_READ | selectors.EVENT_WRITE
                try:
                    self._selector.modify(conn.sock, mask, conn)
                except KeyError:
                    self._selector.register(conn.sock, mask, conn)
        now_s = time.monotonic()
        for conn in self._outgoing.values():
            if conn.sock is not None and conn.unsent and now_s - conn.progress_s > self._stall_s:
                self._disconnect(conn, "TimeoutError")

    def _on_outgoing(self, conn, sock, mask):
        """Handle readiness of `sock`, unless the connection no longer uses this socket."""
        with self._lock:
            if conn.sock is not sock:
                return
            if mask & selectors.EVENT_READ and self._peer_closed(conn):
                return
            if mask & selectors.EVENT_WRITE:
                code = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self._disconnect(conn, "ConnectionRefusedError")
                    return
                conn.opened = True
                self._selector.modify(conn.sock, selectors.EVENT_READ, conn)
                self._write(conn)

    def _peer_closed(self, conn):
        """Disconnect if the peer has closed the connection; received bytes are discarded."""
        try:
            if conn.sock.recv(4096):
                return False
            cause = "closed"
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as failed:
            cause = type(failed).__name__
        self._disconnect(conn, cause)
        return True

    def _accept(self):
        for _ in range(_ACCEPTS_PER_EVENT):
            accepted = self._acceptor.accept()
            if accepted is None:
                return
            sock = accepted[0]
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            self._selector.register(sock, selectors.EVENT_READ, Incoming(sock))

    def _read(self, incoming):
        try:
            data = incoming.sock.recv(_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data or not self._deliver(incoming, data):
            self._close_incoming(incoming)

    def _close_incoming(self, incoming):
        self._stop_watching(incoming.sock)
        incoming.sock.close()

    def _stop_watching(self, sock):
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def _deliver(self, incoming, data):
        """Pass complete messages to `on_message`; returns whether to keep the connection open."""
        found, broken = frames.receive(incoming.buffer, data)
        for message in found:
            if not incoming.sender:
                if not isinstance(message, Gossip):
                    self._on_log("connection-without-greeting", {"kind": type(message).__name__})
                    return False
                incoming.sender = message.sender.address
            self._on_message(incoming.sender, message)
        if broken:
            self._on_log("connection-broken", {"from": incoming.sender, "cause": broken.cause})
        return not broken
