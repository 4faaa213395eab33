"""A request that the door has read already, handed to werkzeug when its time comes.

What werkzeug writes in small parts leaves in one piece at each flush, so that an
event of a stream is one packet.
"""

import io

from werkzeug.serving import WSGIRequestHandler

__all__ = ["Handler", "Front"]

_LAST_CHUNK = b"0\r\n\r\n"


class _Out(io.RawIOBase):
    """What werkzeug writes to: the socket, whole or with an error."""

    def __init__(self, sock):
        self._sock, self._held = sock, []

    def writable(self):
        return True

    def write(self, data):
        self._held.append(bytes(data))
        if data == _LAST_CHUNK:
            self.flush()
        return len(data)

    def flush(self):
        held, self._held = b"".join(self._held), []
        if held:
            self._sock.sendall(held)


class Handler(WSGIRequestHandler):
    """A request that the door has read already, answered when its time comes."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        self.connection, self.wfile = self.request.sock, _Out(self.request.sock)
        self.rfile = io.BytesIO(bytes(self.request.data))

    def handle(self):
        self.told = None
        self.raw_requestline = self.rfile.readline(65537)
        self.whole = len(self.raw_requestline) <= 65536 and self.parse_request()
        if self.whole:
            self.told = super().make_environ()

    def finish(self):
        """The door closes the socket."""

    def make_environ(self):
        return self.told

    def log(self, type, message, *args):
        """Requests are not logged line by line; the ring has what matters."""


class Front:
    """The few facts that werkzeug's handler asks of a server."""

    ssl_context, passthrough_errors = None, False
    multithread, multiprocess = True, False
    _server_version = "pulleyhitch"

    def __init__(self, address, app, log):
        self.server_address, self.app, self.log = address, app, log
