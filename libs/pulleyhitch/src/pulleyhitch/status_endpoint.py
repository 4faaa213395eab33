"""Readiness probe of a node, for the platform."""

import secrets

from werkzeug.wrappers import Response

from pulleyhitch.command_forwarding import CommandResult
from pulleyhitch.http_handler import RequestHandler, make_server_context, split_address
from pulleyhitch.listener import Listener
from pulleyhitch.listening_server import ListeningServer

__all__ = ["StatusEndpoint"]

_THREADS = 32
# How long a prober may take to send its request.
_REQUEST_TIMEOUT_S = 8.0
# WSGI environment key of the outcome that the application turns into a response.
_OUTCOME_KEY = "pulleyhitch.ready"


class StatusEndpoint(ListeningServer):
    """Responds with 200 while the node is ready for requests, with 503 otherwise.

    A connection on which no request arrives doesn't keep others from being served."""

    def __init__(self, process):
        self._process = process
        address = process.config.doors["status"]
        self._server_context = make_server_context(process, address, self._app)
        self._listener = Listener(
            *split_address(address),
            _THREADS,
            self._begin,
            lambda data: "lookup",
            _REQUEST_TIMEOUT_S,
            budget=process.budget,
        )

    def _begin(self, caller):
        """Start a request: its future and callbacks, or None if it is invalid."""
        handler = RequestHandler(caller, caller.address, self._server_context)
        if not handler.parsed:
            return None
        future = self._process.submit(secrets.token_hex(8), "ready", {})

        def finish(outcome):
            handler.wsgi_environ[_OUTCOME_KEY] = outcome
            handler.run_wsgi()

        return future, finish, lambda: None

    def _app(self, environ, start_response):
        outcome = environ[_OUTCOME_KEY]
        code = outcome.status if isinstance(outcome, CommandResult) else 503
        return Response(b"", code)(environ, start_response)
