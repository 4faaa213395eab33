"""TCP connections between our processes.

Each node listens on one address and dials whom it talks to; a connection carries
frames one way, and the first of them says who dialled.  One thread watches all
connections, so that they cost none however many peers there are; what fits is written
at once by whoever sends.  Nothing here resends: a message on a broken connection is
lost, and the state machines above know that.
"""

import errno
import selectors
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from transport import frames
from transport.messages import Gossip

__all__ = ["Connections"]

_LINE_BYTES = 8 << 20
_CHUNK_BYTES = 1 << 16
_UNDERWAY = (errno.EINPROGRESS, errno.EAGAIN)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass
class _Line:
    """A connection that we dial: what waits to be written, and since when it has."""

    to: str
    sock: socket.socket = None
    opened: bool = False
    out: bytearray = field(default_factory=bytearray)
    moved_s: float = 0.0
    not_before_s: float = 0.0


@dataclass
class _Reader:
    """A connection that somebody dialled."""

    sock: socket.socket
    intake: frames.FrameBuffer = field(default_factory=frames.FrameBuffer)
    sender: str = ""


class Connections:
    """`send` is the one public method; what arrives goes to `on_message`."""

    def __init__(self, address, hello, on_message, on_note, stall_ms):
        self._hello, self._on_message, self._on_note = hello, on_message, on_note
        self._stall_s = stall_ms / 1000
        self._lines, self._lock = {}, threading.RLock()
        self._listener = socket.create_server(_split(address), backlog=256, reuse_port=False)
        self._listener.setblocking(False)
        self._bell, self._ring = socket.socketpair()
        self._bell.setblocking(False)
        self._ring.setblocking(False)
        self._rung, self._closed = False, False
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._selector.register(self._bell, selectors.EVENT_READ, None)
        self._wanted = []
        threading.Thread(target=self._run, name="connections", daemon=True).start()

    def send(self, to, message):
        if not to.rpartition(":")[2].isdigit():
            self._on_note("connection-nowhere", {"to": to, "kind": type(message).__name__})
            return
        data = frames.pack(message)
        with self._lock:
            line = self._lines.get(to)
            if line is None:
                line = self._lines[to] = _Line(to)
            if line.sock is None:
                if time.monotonic() < line.not_before_s:
                    return
                self._dial(line)
            if line.sock is None:
                return
            if len(line.out) > _LINE_BYTES:
                self._on_note("connection-full", {"to": to})
                return
            if not line.out:
                line.moved_s = time.monotonic()
            line.out += data
            if line.opened and len(line.out) == len(data):
                self._write(line)

    def close(self):
        """Take no more connections; those that are open end with their other side."""
        self._closed = True
        self._wake()

    def _wake(self):
        if not self._rung:
            self._rung = True
            try:
                self._ring.send(b"!")
            except OSError:
                pass

    def _watch(self, line):
        """Have the watching thread look for what this line waits for."""
        self._wanted.append(line)
        self._wake()

    def _dial(self, line):
        sock = socket.socket(socket.AF_INET6 if "[" in line.to else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(2000 * self._stall_s))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        host, port = _split(line.to)
        try:
            code = sock.connect_ex((host.strip("[]"), port))
        except OSError as failed:
            code = failed.errno
        if code and code not in _UNDERWAY:
            sock.close()
            self._lost(line, "ConnectionRefusedError")
            return
        line.sock, line.opened, line.moved_s = sock, False, time.monotonic()
        line.out = bytearray(frames.pack(self._hello()))
        self._watch(line)

    def _lost(self, line, cause):
        if line.sock is not None:
            try:
                self._selector.unregister(line.sock)
            except (KeyError, ValueError):
                pass
            line.sock.close()
        line.sock, line.opened, line.out = None, False, bytearray()
        line.not_before_s = time.monotonic() + self._stall_s / 10
        self._on_note("connection-lost", {"to": line.to, "cause": cause})

    def _write(self, line):
        """Write what fits; the rest waits for the watching thread."""
        try:
            while line.out:
                sent = line.sock.send(line.out[:_CHUNK_BYTES])
                del line.out[:sent]
                line.moved_s = time.monotonic()
        except (BlockingIOError, InterruptedError):
            self._watch(line)
        except OSError as failed:
            self._lost(line, type(failed).__name__)

    def _run(self):
        while not self._closed:
            for key, mask in self._selector.select(self._stall_s / 2):
                if key.fileobj is self._listener:
                    self._let_in()
                elif key.fileobj is self._bell:
                    self._bell.recv(64)
                elif isinstance(key.data, _Line):
                    self._on_line(key.data, key.fileobj, mask)
                else:
                    self._read(key.data)
            self._rung = False
            with self._lock:
                self._mind()
        self._listener.close()

    def _mind(self):
        """Watch what asks for it, and break off what has not moved for too long."""
        wanted, self._wanted = self._wanted, []
        for line in wanted:
            if line.sock is not None:
                mask = selectors.EVENT_READ | selectors.EVENT_WRITE
                try:
                    self._selector.modify(line.sock, mask, line)
                except KeyError:
                    self._selector.register(line.sock, mask, line)
        now_s = time.monotonic()
        for line in self._lines.values():
            if line.sock is not None and line.out and now_s - line.moved_s > self._stall_s:
                self._lost(line, "TimeoutError")

    def _on_line(self, line, sock, mask):
        """What was seen of a socket that is this line's no more says nothing."""
        with self._lock:
            if line.sock is not sock:
                return
            if mask & selectors.EVENT_READ and self._ended(line):
                return
            if mask & selectors.EVENT_WRITE:
                code = line.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self._lost(line, "ConnectionRefusedError")
                    return
                line.opened = True
                self._selector.modify(line.sock, selectors.EVENT_READ, line)
                self._write(line)

    def _ended(self, line):
        try:
            if line.sock.recv(4096):
                return False
            cause = "closed"
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as failed:
            cause = type(failed).__name__
        self._lost(line, cause)
        return True

    def _let_in(self):
        for _ in range(64):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            self._selector.register(sock, selectors.EVENT_READ, _Reader(sock))

    def _read(self, reader):
        try:
            data = reader.sock.recv(_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data or not self._take(reader, data):
            self._selector.unregister(reader.sock)
            reader.sock.close()

    def _take(self, reader, data):
        """Hand on whole messages; False if this connection is to be closed."""
        found, broken = frames.feed(reader.intake, data)
        for message in found:
            if not reader.sender:
                if not isinstance(message, Gossip):
                    self._on_note("connection-rude", {"kind": type(message).__name__})
                    return False
                reader.sender = message.card.address
            self._on_message(reader.sender, message)
        if broken:
            self._on_note("connection-broken", {"from": reader.sender, "cause": broken.cause})
        return not broken
