"""A threaded HTTP/1.1 server on one loopback address, and a client for single requests."""

import http.client
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

_KEEP_S = 3


class _Server(ThreadingHTTPServer):
    daemon_threads, request_queue_size, allow_reuse_address = True, 256, True

    def handle_error(self, request, client_address):
        """A broken connection is no fault of the stand-in."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = _KEEP_S
    body = b""

    def _any(self):
        self.body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        try:
            self.server.app(self)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_PATCH = do_DELETE = _any

    def reply(self, code, headers=(), body=b""):
        """Send a whole response."""
        lines = [f"HTTP/1.1 {code} Reply", f"Keep-Alive: timeout={_KEEP_S}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def begin(self, code, headers):
        """Begin a response in chunks."""
        lines = [f"HTTP/1.1 {code} Reply", f"Keep-Alive: timeout={_KEEP_S}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        self.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def chunk(self, data):
        """Send one chunk."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end(self):
        """End a response in chunks."""
        self.wfile.write(b"0\r\n\r\n")

    def log_message(self, format, *args):
        """Write no log."""


class Door:
    """Serves `app(request)` on an address until it is closed."""

    def __init__(self, address, app):
        host, _, port = address.rpartition(":")
        self._server = _Server((host, int(port)), _Handler)
        self._server.app = app
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


def ask(address, method, path, body=b"", headers=(), timeout_s=1.0):
    """(status, headers, body) of a request on a new connection; (0, {}, b"") if there is none."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()
