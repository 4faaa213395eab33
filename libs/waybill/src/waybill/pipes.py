"""TCP pipes between our processes.

Each node listens on one address and dials whom it talks to; a pipe carries
frames one way, and the first of them says who dialled.  A pipe is owned by
one thread, which takes messages from its own queue.  Nothing here resends:
a message on a broken pipe is lost, and the state machines above know that.
"""

import queue
import select
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from waybill import frames
from waybill.messages import Greet

__all__ = ["Pipes", "hung_up"]

_LINE = 4096
_CHUNK_BYTES = 1 << 16


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


class Pipes:
    """`send` is the one public method; what arrives goes to `on_message`."""

    def __init__(self, address, hello, on_message, on_note, stallMs):
        self._hello = hello
        self._on_message = on_message
        self._on_note = on_note
        self._stall = stallMs / 1000
        self._lines = {}
        self._lock = threading.Lock()
        self._listener = socket.create_server(
            _split(address), backlog=256, reuse_port=False)
        self._pool = ThreadPoolExecutor(512, thread_name_prefix="pipe")
        self._pool.submit(self._listen)

    def send(self, to, message):
        with self._lock:
            line = self._lines.get(to)
            if line is None:
                line = self._lines[to] = queue.Queue(_LINE)
                self._pool.submit(self._write, to, line)
        try:
            line.put_nowait(message)
        except queue.Full:
            self._on_note("pipe-full", {"to": to})

    def close(self):
        """Take no more pipes; those that are open end with their other side."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _listen(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pool.submit(self._read, sock)

    def _read(self, sock):
        intake, sender = frames.Intake(), ""
        with sock:
            while True:
                try:
                    data = sock.recv(_CHUNK_BYTES)
                except OSError:
                    return
                if not data:
                    return
                found, broken = frames.feed(intake, data)
                for message in found:
                    if not sender:
                        if not isinstance(message, Greet):
                            self._on_note("pipe-rude", {"kind": type(message).__name__})
                            return
                        sender = message.card.address
                    self._on_message(sender, message)
                if broken:
                    self._on_note("pipe-broken", {"from": sender, "cause": broken.cause})
                    return

    def _dial(self, to):
        sock = socket.create_connection(_split(to), timeout=self._stall)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._stall)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.sendall(frames.pack(self._hello()))
        return sock

    def _write(self, to, line):
        sock, notBefore = None, 0.0
        while True:
            batch = [line.get()]
            while len(batch) < 64:
                try:
                    batch.append(line.get_nowait())
                except queue.Empty:
                    break
            if sock is not None and hung_up(sock):
                sock.close()
                sock = None
            try:
                if sock is None:
                    if time.monotonic() < notBefore:
                        continue
                    sock = self._dial(to)
                sock.sendall(b"".join(frames.pack(m) for m in batch))
            except OSError as failed:
                self._on_note("pipe-lost", {"to": to, "cause": type(failed).__name__})
                notBefore = time.monotonic() + self._stall / 10
                if sock is not None:
                    sock.close()
                    sock = None


def hung_up(sock):
    """Whether the other end has closed, without waiting or taking what it sent."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0)) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
