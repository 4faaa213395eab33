"""Calls to engines and to the platform, on threads of their own."""

from routing import engine_api, engine_calls, proxying
from transport import events

from pulleyhitch.thread_pool import ThreadPool

__all__ = ["EngineCaller"]

_THREADS = 32
# The parts of a call that isn't in a platform's dialect: the whole, and until it is connected.
_CONNECT_RATIO = 0.5


class EngineCaller:
    """Carries out EngineCall effects.  `on_ended` gets the CallEnded event of each, whatever
    becomes of it: the core waits for it; `on_error(error)` is told of a call that raised."""

    def __init__(self, name, dialect, pool, on_ended, on_error):
        self._name, self._dialect, self._pool = name, dialect, pool
        self._on_ended, self._on_error = on_ended, on_error
        self._threads = ThreadPool(_THREADS, "call")

    def submit(self, effect):
        """Make a call.  If there is no thread for it, it ends at once as one that wasn't sent."""
        try:
            self._threads.submit(self._run, effect)
        except RuntimeError as error:
            self._on_error(error)
            self._on_ended(events.CallEnded(effect.id, 0, {}, False))

    def close_idle(self):
        """Close connections that have been idle for long; not if there is no thread for it."""
        try:
            self._threads.submit(self._pool.close_expired)
        except RuntimeError as error:
            self._on_error(error)

    def _run(self, effect):
        try:
            ended = self._call(effect)
        except Exception as error:
            self._on_error(error)
            ended = events.CallEnded(effect.id, 0)
        self._on_ended(ended)

    def _call(self, effect):
        request_body = {**effect.body, "engine": effect.engine, "holder": self._name}
        if self._dialect is None:
            request = engine_api.order_request(effect.url, effect.verb, effect.body)
            exchange = engine_calls.call(
                request,
                effect.timeout_ms,
                effect.timeout_ms * _CONNECT_RATIO,
                effect.not_after_ms,
            )
            body = engine_api.read_json(exchange.data) if exchange.code else {}
        else:
            request = self._dialect.engine_request(effect.url, effect.verb, request_body)
            exchange = proxying.call(self._pool, request, effect.timeout_ms, effect.not_after_ms)
            body = self._dialect.read_engine_response(
                effect.verb, request_body, exchange.code, exchange.data
            )
        connection_reused = exchange.head is not None and exchange.head.kept
        return events.CallEnded(
            effect.id, exchange.code, body or {}, exchange.request_sent, connection_reused
        )
