"""Runs WSGI applications, through werkzeug, on requests that the listener has already read.

Small writes are buffered until werkzeug flushes, so that one event of a stream is sent in one
packet.
"""

import collections
import io

from routing import byte_budget
from werkzeug.serving import WSGIRequestHandler
from werkzeug.wrappers import Request

__all__ = [
    "REPEATED_FIELDS",
    "RequestHandler",
    "ServerContext",
    "make_server_context",
    "request_of",
    "split_address",
]

# WSGI environment key of the lower-case names of the header fields that occur more than once.
# WSGI joins their values with commas, so that they look like one field.
REPEATED_FIELDS = "pulleyhitch.repeated-fields"

_LAST_CHUNK = b"0\r\n\r\n"
_MAX_LOGGED_CHARS = 2000
# Pieces of this size are sent by themselves rather than copied together with others.
_LARGE_BYTES = 64 << 10


class _SocketWriter(io.RawIOBase):
    """Buffered writer to the socket; a flush sends everything or raises."""

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
        pieces, self._buffer = self._buffer, []
        small = []
        for piece in pieces:
            if len(piece) < _LARGE_BYTES:
                small.append(piece)
                continue
            self._send(small)
            small = []
            self._sock.sendall(piece)
        self._send(small)

    def _send(self, pieces):
        """Send pieces in as few packets as possible."""
        data = b"".join(pieces)
        if data:
            self._sock.sendall(data)


class RequestHandler(WSGIRequestHandler):
    """Handles a request that the listener has read; `run_wsgi` sends the response.

    `parsed` is whether the request head is valid; `wsgi_environ` is the WSGI environment, and
    `target` the request target exactly as sent."""

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
        """The WSGI environment; the listener has already decoded a chunked body."""
        environ = super().make_environ()
        environ.pop("HTTP_TRANSFER_ENCODING", None)
        environ[byte_budget.ENVIRON_KEY] = self.request.reservation
        environ["wsgi.input"] = io.BytesIO(body)
        # werkzeug then reads the body in one piece, which shares the memory of `body`.
        environ["wsgi.input_terminated"] = True
        environ["CONTENT_LENGTH"] = str(len(body))
        counts = collections.Counter(name.lower() for name in self.headers.keys())
        environ[REPEATED_FIELDS] = {name for name, count in counts.items() if count > 1}
        return environ

    def finish(self):
        """Flush the error response to an unparsed request; the listener closes the socket."""
        if not self.parsed:
            self.wfile.flush()

    def make_environ(self):
        return self.wsgi_environ

    def log(self, type, message, *args):
        """Write no access log; the log ring records the events of the node."""


class ServerContext:
    """The attributes that werkzeug's request handler reads from its server."""

    ssl_context, passthrough_errors = None, False
    multithread, multiprocess = True, False
    _server_version = "pulleyhitch"

    def __init__(self, address, app, log):
        self.server_address, self.app, self.log = address, app, log


def request_of(environ):
    """The werkzeug Request of a WSGI environment.  It isn't put into the environment, as the two
    would refer to each other, and only the garbage collector could free them and the body."""
    return Request(environ, populate_request=False)


def split_address(address):
    """(host, port) of an address such as 10.0.0.5:7400 or [::1]:7400."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def make_server_context(process, address, app):
    """The ServerContext of a process's server; its errors dump the log ring."""

    def log(*what):
        process.ring.log("http", {"what": str(what)[:_MAX_LOGGED_CHARS]}, dump_reason="http")

    return ServerContext(split_address(address), app, log)
