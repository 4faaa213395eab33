"""An engine on a real socket that answers early, twice, late, in part or not at all, reads
on after an early answer, and keeps all that it reads."""

import random
import socket
import struct
import threading

from simulation.raw_requests import COMPARED

__all__ = ["UnrulyEngine"]

# Half of the answers are good; "early" ones come before the body is read, which is read on.
_FAULTS = ("early", "early", "early-good", "extra", "late", "reset", "cut", "close")
_MANNERS = ("good",) * len(_FAULTS) + _FAULTS
_WAIT_S = 5.0
_SMALL_BUFFER_BYTES = 2048
_RESET = struct.pack("ii", 1, 0)


class UnrulyEngine:
    """Reads requests on each connection and answers them well or badly.  `read`: the facts
    of each request that it has read whole; `strange`: what is no request."""

    def __init__(self, seed, manners=_MANNERS):
        self._manners = manners
        self.read, self.strange = [], []
        self._rng, self._lock = random.Random(seed), threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _choose(self):
        with self._lock:
            return self._rng.choice(self._manners)

    def _serve(self, sock):
        sock.settimeout(_WAIT_S)
        data, late = bytearray(), [b""]
        with sock:
            try:
                while self._one(sock, data, late):
                    pass
            except OSError:
                return

    def _one(self, sock, data, late):
        """Read and answer one request; whether the connection goes on."""
        head = self._head(sock, data)
        if head is None:
            return False
        method, target, fields = head
        id_, manner = fields.get("x-try-id", ""), self._choose()
        before = {
            "early": self._answer(503, id_, "X-Not-Run: 1\r\n"),
            "early-good": self._answer(200, id_),
        }
        sock.sendall(late.pop() + before.get(manner, b""))
        late.append(self._answer(200, id_) if manner == "late" else b"")
        body = self._body(sock, data, int(fields.get("content-length", "0")))
        if body is None:
            return False
        self.read.append((method, target, tuple(fields.get(n, "") for n in COMPARED), body))
        return self._end(sock, manner, id_)

    def _body(self, sock, data, length):
        while len(data) < length:
            part = sock.recv(1 << 16)
            if not part:
                return None
            data += part
        body = bytes(data[:length])
        del data[:length]
        return body

    def _end(self, sock, manner, id_):
        if manner in ("good", "extra", "late"):
            sock.sendall(self._answer(200, id_) * (2 if manner == "extra" else 1))
        if manner == "cut":
            sock.sendall(self._answer(200, id_)[:-1])
        if manner == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        return manner not in ("cut", "reset", "close")

    def _answer(self, code, id_, more=""):
        return (
            f"HTTP/1.1 {code} X\r\nX-Try-Id: {id_}\r\nX-Postmark: p\r\n{more}"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(id_)}\r\n\r\n{id_}"
        ).encode()

    def _head(self, sock, data):
        """(method, target, fields) of the next request; what is no request is strange."""
        while (end := data.find(b"\r\n\r\n")) < 0:
            part = sock.recv(1 << 16)
            if not part:
                if data:
                    self.strange.append(bytes(data[:200]))
                return None
            data += part
        lines = bytes(data[:end]).decode("latin1").split("\r\n")
        del data[: end + 4]
        words = lines[0].split(" ")
        if len(words) != 3 or words[2] != "HTTP/1.1":
            self.strange.append(lines[0])
            return None
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            before = f"{fields[name.lower()]}," if name.lower() in fields else ""
            fields[name.lower()] = before + value.strip(" \t")
        return words[0], words[1], fields
