"""The product's own HTTP interface, for callers (on counters) and operators (on every node).

    GET  /operator/read/<what>?name=      layout, zones, engines, why, holds, tenants
    POST /operator/layout                 {"partner", "section", "partial"?, "expect"?, "change"?}
    POST /operator/zone                   {"zone", "evacuated", ...}
    POST /operator/engines                {"engines": [...], ...}   from the platform
    GET  /operator/fleet, /operator/believes

An operator names its partner in X-Partner; if the config has tokens, it authenticates with that
partner's bearer token.  If there is a token for `platform`, only that partner may change the
engine list, and it may change nothing else.
"""

import hmac
import secrets

from configuration.schema import RANK
from routing import caller_api, serving
from routing.router import Done
from transport import failures
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule

from pulleyhitch import admission
from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.http_handler import (
    RequestHandler,
    make_server_context,
    request_of,
    split_address,
)
from pulleyhitch.listener import Listener
from pulleyhitch.listening_server import ListeningServer

__all__ = ["Server"]

_RULES = Map(
    [
        Rule("/v1/task", endpoint="task", methods=["POST"]),
        Rule("/v1/route/<name>", endpoint="route", methods=["POST"]),
        Rule("/v1/lookup/<service>/<path:key>", endpoint="lookup", methods=["GET"]),
        Rule("/operator/read/<what>", endpoint="read", methods=["GET"]),
        Rule("/operator/<any(layout,zone,engines):verb>", endpoint="change", methods=["POST"]),
        Rule("/operator/fleet", endpoint="fleet", methods=["GET"]),
        Rule("/operator/believes", endpoint="believes", methods=["GET"]),
    ]
)
_READABLE_PARTS = ("layout", "zones", "engines", "why", "holds", "tenants")
_LAYOUT_LIMIT_BYTES = 8 << 20
_PLATFORM = "platform"
_TASK_ENDPOINTS = ("task", "route", "lookup")


class Server(ListeningServer):
    """Serves the product's own interface.

    Handlers are looked up by endpoint: `_task`, `_read`, `_fleet` and so on respond to a
    request, `_read_task`, `_read_route` and `_read_lookup` parse callers' requests."""

    def __init__(self, process):
        self._process = process
        self._config = process.config
        self._serving = serving.TaskHandler(process.request, 500, process.ends_attempts)
        self._route_classes = {}
        self._server_context = make_server_context(process, self._config.http, self._app)
        self._listener = Listener(
            *split_address(self._config.http),
            self._config.httpThreads,
            self._begin,
            lambda data: admission.classify(data, self._rank_of),
            0.4 * self._config.bounds.serviceBackMs / 1000,
            policy=admission.PRODUCT_POLICY,
            budget=process.budget,
        )

    def _rank_of(self, route):
        return RANK.get(self._route_classes.get(route), 1)

    def _begin(self, caller):
        """Start a request: respond to it, or return its future and callbacks if it has to wait."""
        handler = RequestHandler(caller, caller.address, self._server_context)
        if not handler.parsed:
            return None
        submitted = self._submit_task(handler)
        if submitted is None:
            handler.run_wsgi()
            return None
        token, facts, future = submitted

        def finish(outcome):
            handler.wsgi_environ["pulleyhitch.step"] = (token, facts, outcome)
            handler.run_wsgi()

        def on_disconnect():
            self._process.notify(token, "ended", {"proof": "gone"})

        if future.done():
            finish(future.result())
            return None
        return future, finish, on_disconnect

    def _submit_task(self, handler):
        """Submit a caller's task: (token, facts, future).  None for an invalid task, whose failure
        is put into the WSGI environment, and for any other request."""
        if self._config.role != "counter":
            return None
        request = request_of(handler.wsgi_environ)
        try:
            endpoint, values = _RULES.bind_to_environ(handler.wsgi_environ).match()
        except HTTPException:
            return None
        if endpoint not in _TASK_ENDPOINTS:
            return None
        facts = getattr(self, "_read_" + endpoint)(request, **values)
        if isinstance(facts, failures.Failure):
            handler.wsgi_environ["pulleyhitch.step"] = ("", None, facts)
            return None
        token = secrets.token_hex(8)
        future = self._process.submit(token, "task", facts)
        try:
            future.exception(0.005)
        except TimeoutError:
            pass
        return token, facts, future

    def _read_task(self, request, route=None):
        body = caller_api.read_body(request)
        if isinstance(body, failures.Failure):
            return body
        return caller_api.read_task(body, route, self._config.deadlineMs)

    def _read_route(self, request, name):
        route_result = self._process.request(secrets.token_hex(8), "route", {"name": name})
        if isinstance(route_result, failures.Failure):
            return route_result
        self._route_classes[name] = route_result.body.get("class")
        return self._read_task(request, route_result.body)

    def _read_lookup(self, request, service, key):
        return caller_api.read_lookup(service, key, self._config.deadlineMs)

    def _app(self, environ, start_response):
        request = request_of(environ)
        try:
            endpoint, values = _RULES.bind_to_environ(environ).match()
            response = getattr(self, "_" + endpoint)(request, **values)
        except HTTPException as error:
            response = caller_api.json_response(
                {
                    "failure": "not-found" if error.code == 404 else "http-wrong",
                    "cause": error.name,
                },
                error.code,
            )
        return response(environ, start_response)

    def _respond(self, verb, body):
        outcome = self._process.request(secrets.token_hex(8), verb, body)
        if isinstance(outcome, failures.Failure):
            return caller_api.failure_response(outcome)
        if isinstance(outcome, CommandResult):
            response = caller_api.json_response(outcome.body, outcome.status)
            if "retryMs" in outcome.body:
                response.headers["Retry-After"] = str(-(-outcome.body["retryMs"] // 1000))
            return response
        return caller_api.json_response(outcome if not isinstance(outcome, Done) else {})

    def _task(self, request, **values):
        """Respond to a task; `_begin` has put its first outcome into the WSGI environment."""
        if "pulleyhitch.step" not in request.environ:
            return caller_api.failure_response(failures.NotFound("callers are served by counters"))
        token, facts, outcome = request.environ["pulleyhitch.step"]
        if isinstance(outcome, failures.Failure):
            return caller_api.failure_response(outcome)
        return self._serving.serve(token, facts, outcome, request.environ)

    _route = _lookup = _task

    def _read(self, request, what):
        if what not in _READABLE_PARTS:
            return caller_api.failure_response(failures.NotFound(what))
        return self._respond("read", {"what": what, "name": request.args.get("name", "")})

    def _fleet(self, request):
        return self._respond("fleet", {})

    def _believes(self, request):
        return self._respond("believes", {})

    def _change(self, request, verb):
        body = caller_api.read_body(request, _LAYOUT_LIMIT_BYTES)
        if isinstance(body, failures.Failure):
            return caller_api.failure_response(body)
        actor = request.headers.get("X-Partner", "")
        expected_token = self._config.tokens.get(actor)
        token = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if self._config.tokens and (
            expected_token is None
            or not hmac.compare_digest(expected_token.encode(), token.encode())
        ):
            return caller_api.failure_response(failures.WrongPartner(actor, "(token)"))
        if _PLATFORM in self._config.tokens and (verb == "engines") != (actor == _PLATFORM):
            return caller_api.failure_response(failures.WrongPartner(actor, f"({verb})"))
        # The node assigns the id of a command: two operators that chose the same id
        # would get each other's answers.
        body.pop("id", None)
        return self._respond(verb, {**body, "actor": actor})
