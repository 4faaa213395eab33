"""The HTTP side of a node: callers (on counters) and operators (everywhere).

    GET  /operator/read/<what>?name=      layout, zones, engines, why, holds
    POST /operator/layout                 {"partner", "section", "partial"?, "expect"?, "change"?}
    POST /operator/zone                   {"zone", "evacuated", ...}
    POST /operator/engines                {"engines": [...], ...}   from the platform
    GET  /operator/fleet, /operator/believes

An operator says who they are by X-Partner, and proves it with a bearer token
where the config has one for that partner.
"""

import hmac
import secrets
import threading
from concurrent.futures import ThreadPoolExecutor

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request

from junction import callers, serving
from junction.router import Done
from pulleyhitch.operating import Answered
from waybill import failures

__all__ = ["Server"]

_RULES = Map([
    Rule("/v1/task", endpoint="task", methods=["POST"]),
    Rule("/v1/route/<name>", endpoint="route", methods=["POST"]),
    Rule("/v1/lookup/<service>/<path:key>", endpoint="lookup", methods=["GET"]),
    Rule("/operator/read/<what>", endpoint="read", methods=["GET"]),
    Rule("/operator/<any(layout,zone,engines):verb>", endpoint="change", methods=["POST"]),
    Rule("/operator/fleet", endpoint="fleet", methods=["GET"]),
    Rule("/operator/believes", endpoint="believes", methods=["GET"]),
])
_READS = ("layout", "zones", "engines", "why", "holds")
_LAYOUT_BYTES = 8 << 20


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 30

    def log(self, type, message, *args):
        """Requests are not logged line by line; the ring has what matters."""


class _Pooled(BaseWSGIServer):
    """Requests run on a bounded pool; what it cannot take is refused at once."""

    request_queue_size = 1024

    def __init__(self, host, port, app, threads):
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._free = threading.BoundedSemaphore(threads)
        super().__init__(host, port, app, handler=_Handler)

    def process_request(self, request, client_address):
        if self._free.acquire(blocking=False):
            self._pool.submit(self._one, request, client_address)
        else:
            self._turn_away(request)

    def _turn_away(self, request):
        body = b'{"failure": "overloaded", "cause": "threads", "retryMs": 2000}\n'
        try:
            request.settimeout(0.05)
            request.recv(1 << 16)
            request.sendall(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
                            b"Content-Type: application/json\r\nConnection: close\r\n"
                            b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        except OSError:
            pass
        self.shutdown_request(request)

    def _one(self, request, client_address):
        try:
            self.finish_request(request, client_address)
        except (ConnectionError, TimeoutError):
            pass
        finally:
            self.shutdown_request(request)
            self._free.release()


class Server:
    """`run` serves until the process stops."""

    def __init__(self, process):
        self._process = process
        self._config = process.config
        self._serving = serving.Serving(process.ask, 500)
        host, _, port = self._config.http.rpartition(":")
        try:
            self._http = _Pooled(host.strip("[]"), int(port), self._app,
                                 self._config.httpThreads)
        except (OSError, SystemExit) as failed:
            raise OSError(self._config.http) from failed

    def run(self):
        self._http.serve_forever(poll_interval=0.2)

    def stop(self):
        self._http.shutdown()

    def _app(self, environ, start_response):
        request = Request(environ)
        try:
            endpoint, values = _RULES.bind_to_environ(environ).match()
            response = getattr(self, "_" + endpoint)(request, **values)
        except HTTPException as wrong:
            response = callers.answer({"failure": "not-found" if wrong.code == 404
                                       else "http-wrong", "cause": wrong.name}, wrong.code)
        return response(environ, start_response)

    def _ask(self, verb, body):
        outcome = self._process.ask(secrets.token_hex(8), verb, body)
        if isinstance(outcome, failures.Failure):
            return callers.refusal(outcome)
        if isinstance(outcome, Answered):
            response = callers.answer(outcome.body, outcome.status)
            if "retryMs" in outcome.body:
                response.headers["Retry-After"] = str(-(-outcome.body["retryMs"] // 1000))
            return response
        return callers.answer(outcome if not isinstance(outcome, Done) else {})

    def _task(self, request, route=None):
        if self._config.role != "counter":
            return callers.refusal(failures.NotFound("callers are served by counters"))
        body = callers.read_body(request)
        if not isinstance(body, failures.Failure):
            body = callers.read_task(body, route, self._config.deadlineMs)
        if isinstance(body, failures.Failure):
            return callers.refusal(body)
        return self._serving.serve(secrets.token_hex(8), body, request.environ)

    def _route(self, request, name):
        found = self._process.ask(secrets.token_hex(8), "route", {"name": name})
        if isinstance(found, failures.Failure):
            return callers.refusal(found)
        return self._task(request, found.body)

    def _lookup(self, request, service, key):
        if self._config.role != "counter":
            return callers.refusal(failures.NotFound("callers are served by counters"))
        told = callers.read_lookup(service, key, self._config.deadlineMs)
        return self._serving.serve(secrets.token_hex(8), told, request.environ)

    def _read(self, request, what):
        if what not in _READS:
            return callers.refusal(failures.NotFound(what))
        return self._ask("read", {"what": what, "name": request.args.get("name", "")})

    def _fleet(self, request):
        return self._ask("fleet", {})

    def _believes(self, request):
        return self._ask("believes", {})

    def _change(self, request, verb):
        body = callers.read_body(request, _LAYOUT_BYTES)
        if isinstance(body, failures.Failure):
            return callers.refusal(body)
        actor = request.headers.get("X-Partner", "")
        wanted = self._config.tokens.get(actor)
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if self._config.tokens and (wanted is None or not hmac.compare_digest(
                wanted.encode(), given.encode())):
            return callers.refusal(failures.WrongPartner(actor, "(token)"))
        return self._ask(verb, {**body, "actor": actor})
