"""HTTP servers for a platform's callers and operators, in the platform's own formats.

`Gateway` proxies callers' requests to engines; `OperatorGateway` serves operators' requests.
Both use the same listener as the product's own interface (`server`), which runs beside them.
"""

import secrets
import threading

from routing import responses
from routing.relaying import RequestRelay
from transport import failures
from transport.socket_state import closed_by_peer
from werkzeug.wrappers import Response

from pulleyhitch import admission, json_text
from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.http_handler import (
    RequestHandler,
    make_server_context,
    request_of,
    split_address,
)
from pulleyhitch.listener import Listener
from pulleyhitch.listening_server import ListeningServer

__all__ = ["Gateway", "OperatorGateway"]

# WSGI environment key of the outcome that the application turns into a response.
_OUTCOME_KEY = "pulleyhitch.step"
# How long a thread waits for an outcome before it returns the connection to the listener.
_FIRST_WAIT_S = 0.005
# The field of an operator's change that holds a configuration.
_CONFIGURATION = "written"


class Gateway(ListeningServer):
    """Proxies callers' requests."""

    def __init__(self, process):
        config = process.config
        self._process, self._dialect = process, process.dialect
        self._relaying = RequestRelay(
            process.request, process.pool, process.dialect, 500, process.ends_attempts
        )
        self._server_context = make_server_context(process, config.doors["callers"], self._app)
        service_back_s = config.bounds.serviceBackMs / 1000
        self._listener = Listener(
            *split_address(config.doors["callers"]),
            config.httpThreads,
            self._begin,
            lambda data: "rank0",
            0.4 * service_back_s,
            1.5 * service_back_s,
            budget=process.budget,
        )

    def _begin(self, caller):
        """Start a request: respond to it, or return its future and callbacks if it has to wait.
        A request whose caller has disconnected is dropped: after a pause of this process many
        callers have already retried under another id."""
        handler = RequestHandler(caller, caller.address, self._server_context)
        if not handler.parsed or closed_by_peer(caller.sock):
            return None
        request = request_of(handler.wsgi_environ)
        facts = self._dialect.read_caller_request(request, handler.target)
        if isinstance(facts, failures.Failure):
            handler.wsgi_environ[_OUTCOME_KEY] = ("", {}, facts)
            handler.run_wsgi()
            return None
        token = secrets.token_hex(8)
        future = self._process.submit(token, "passage", facts)
        try:
            future.exception(_FIRST_WAIT_S)
        except TimeoutError:
            pass

        def finish(outcome):
            handler.wsgi_environ[_OUTCOME_KEY] = (token, facts, outcome)
            handler.run_wsgi()

        def on_disconnect():
            self._process.notify(token, "ended", {"proof": "gone"})

        if future.done():
            finish(future.result())
            return None
        return future, finish, on_disconnect

    def _app(self, environ, start_response):
        token, facts, outcome = environ[_OUTCOME_KEY]
        if isinstance(outcome, failures.Failure):
            status, headers, body = self._dialect.refusal(outcome)
            response = Response(body, status, headers)
        else:
            response = self._relaying.serve(token, facts, outcome, environ)
        return responses.start(response, environ, start_response)


class OperatorGateway(ListeningServer):
    """Serves operators' changes and reads."""

    def __init__(self, process):
        config = process.config
        self._process, self._dialect = process, process.dialect
        # One configuration at a time is decoded or put into the platform's form, which takes a
        # multiple of its size.
        self._converting = threading.Lock()
        self._last_read = (None, None)
        self._server_context = make_server_context(process, config.doors["operators"], self._app)
        service_back_s = config.bounds.serviceBackMs / 1000
        self._listener = Listener(
            *split_address(config.doors["operators"]),
            config.httpThreads,
            self._begin,
            lambda data: "operator",
            0.4 * service_back_s,
            budget=process.budget,
        )

    def _begin(self, caller):
        """Start a request: respond to it, or return its future and callbacks if it has to wait.
        A request whose operator has disconnected is dropped: the operator may have sent it to
        another node by now."""
        handler = RequestHandler(caller, caller.address, self._server_context)
        if not handler.parsed:
            return None
        facts = self._read(handler)
        if isinstance(facts, failures.Failure):
            handler.wsgi_environ[_OUTCOME_KEY] = ("", facts)
            handler.run_wsgi()
            return None
        if admission.peek(caller.sock) == b"":
            return None
        verb, body = facts
        token = secrets.token_hex(8)
        future = self._process.submit(token, verb, body)
        try:
            future.exception(_FIRST_WAIT_S)
        except TimeoutError:
            pass

        def finish(outcome):
            handler.wsgi_environ[_OUTCOME_KEY] = (verb, outcome)
            handler.run_wsgi()

        def on_disconnect():
            self._process.notify(token, "abandoned", {})

        if future.done():
            finish(future.result())
            return None
        return future, finish, on_disconnect

    def _read(self, handler):
        """(verb, body) of an operator's request, or a Failure.  A configuration stays encoded.
        Requests without a body, such as evacuations, don't wait for conversions."""
        request = request_of(handler.wsgi_environ)
        if not request.content_length:
            return self._dialect.read_operator_request(request)
        with self._converting:
            facts = self._dialect.read_operator_request(request)
            if isinstance(facts, failures.Failure) or _CONFIGURATION not in facts[1]:
                return facts
            verb, body = facts
            return verb, {**body, _CONFIGURATION: json_text.of(body[_CONFIGURATION])}

    def _app(self, environ, start_response):
        verb, outcome = environ[_OUTCOME_KEY]
        status, headers, body = self._response(verb, outcome)
        return Response(body, status, headers)(environ, start_response)

    def _response(self, verb, outcome):
        """(status, headers, body) for an operator.  Reads of the same configuration share
        their body."""
        document = outcome.body.get("document") if isinstance(outcome, CommandResult) else None
        if document is None:
            return self._dialect.operator_response(verb, outcome)
        with self._converting:
            if self._last_read[0] is not document:
                status, headers, text = self._dialect.operator_response(verb, outcome)
                self._last_read = (document, (status, headers, text.encode()))
            return self._last_read[1]
