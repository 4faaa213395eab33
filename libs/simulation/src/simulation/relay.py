"""A relay in front of a process, owned by the harness: cut it, and whoever
dials the process hears nothing, while the process itself can still speak."""

import socket
import threading

__all__ = ["Relay"]


class Relay:
    """`set_open` cuts and mends, `snap` breaks; all else happens on its own threads."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self._address = self._split(address)
        self._open, self._lock, self._pipes = True, threading.Lock(), set()
        self._listener = socket.create_server(self._address, backlog=64)
        threading.Thread(target=self._listen, daemon=True).start()

    @staticmethod
    def _split(address):
        host, _, port = address.rpartition(":")
        return host, int(port)

    def set_open(self, is_open):
        with self._lock:
            self._open = is_open
        if not is_open:
            self.snap()

    def snap(self):
        """Break the pipes there are; whoever dials again gets through."""
        with self._lock:
            pipes, self._pipes = self._pipes, set()
        for sock in pipes:
            _shut(sock)

    def close(self):
        self.set_open(False)
        _shut(self._listener)

    def _listen(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._carry, args=(sock,), daemon=True).start()

    def _carry(self, sock):
        try:
            onward = socket.create_connection(self._split(self.target), timeout=5)
        except OSError:
            sock.close()
            return
        with self._lock:
            if not self._open:
                sock.close()
                onward.close()
                return
            self._pipes |= {sock, onward}
        back = threading.Thread(target=self._pass, args=(onward, sock), daemon=True)
        back.start()
        self._pass(sock, onward)
        back.join()
        _shut(sock)
        _shut(onward)
        with self._lock:
            self._pipes -= {sock, onward}

    def _pass(self, here, there):
        try:
            while data := here.recv(65536):
                there.sendall(data)
            there.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def _shut(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
