"""A request that the door has read already, handed to werkzeug when its time comes.

What werkzeug writes in small parts leaves in one piece at each flush, so that an
event of a stream is one packet.
"""

import collections
import io

from werkzeug.serving import WSGIRequestHandler

__all__ = ["RequestHandler", "ServerContext", "REPEATED_FIELDS"]

# Where the environment tells which header fields stand more than once, in small letters:
# their values are joined by commas there, and look like one.
REPEATED_FIELDS = "pulleyhitch.repeated-fields"

_LAST_CHUNK = b"0\r\n\r\n"


class _SocketWriter(io.RawIOBase):
    """What werkzeug writes to: the socket, whole or with an error."""

    def __init__(self, sock):
        self._sock, self._buffer = sock, []

    def writable(self):
        return True

    def write(self, data):
        self._buffer.append(bytes(data))
        if data == _LAST_CHUNK:
            self.flush()
        return len(data)

    def flush(self):
        data, self._buffer = b"".join(self._buffer), []
        if data:
            self._sock.sendall(data)


class RequestHandler(WSGIRequestHandler):
    """A request that the door has read already, answered when its time comes.
    `target` is the request's own, byte for byte."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        self.connection, self.wfile = self.request.sock, _SocketWriter(self.request.sock)
        self.rfile = io.BytesIO(self.request.request.head)

    def handle(self):
        self.wsgi_environ = None
        self.raw_requestline = self.rfile.readline(65537)
        self.target = self.raw_requestline.decode("latin1").split(" ")[1]
        self.parsed = self.parse_request()
        if self.parsed:
            self.wsgi_environ = self._environ(self.request.request.body)

    def _environ(self, body):
        """The facts for the application; the body has been taken out of its chunks."""
        environ = super().make_environ()
        environ.pop("HTTP_TRANSFER_ENCODING", None)
        environ.pop("wsgi.input_terminated", None)
        environ["wsgi.input"] = io.BytesIO(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        counts = collections.Counter(name.lower() for name in self.headers.keys())
        environ[REPEATED_FIELDS] = {name for name, count in counts.items() if count > 1}
        return environ

    def finish(self):
        """What could not be parsed is told now; the door closes the socket."""
        if not self.parsed:
            self.wfile.flush()

    def make_environ(self):
        return self.wsgi_environ

    def log(self, type, message, *args):
        """Requests are not logged line by line; the ring has what matters."""


class ServerContext:
    """The few facts that werkzeug's handler asks of a server."""

    ssl_context, passthrough_errors = None, False
    multithread, multiprocess = True, False
    _server_version = "pulleyhitch"

    def __init__(self, address, app, log):
        self.server_address, self.app, self.log = address, app, log
