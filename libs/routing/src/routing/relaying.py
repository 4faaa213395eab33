"""Relays one platform request: attempts until one gives a response, then the response.

Runs on the request's own thread.  It gets each decision from the node's event loop (`ask`),
carries it out and reports the outcome.  A response is passed on only if the engine sent it to this
very request.  If another engine may resume a stream, only complete events are passed on, so that
the resumed stream continues exactly after the last one.
"""

import time

from transport import failures
from transport.socket_state import closed_by_peer
from werkzeug.wrappers import Response

from routing import attempts, byte_budget, proxying, response_reading, responses
from routing.connection_pool import OutOfDescriptors
from routing.engine_api import EngineRequest
from routing.router import Attempt, KeepWaiting

__all__ = ["RequestRelay"]

# A repeatable request may be sent to another engine if no response head has come within this
# fraction of its target latency.
_SILENT_FRACTION = 0.5
_MIN_SILENT_MS = 250.0
# Proofs of an attempt whose request has certainly not run.
_NOT_RUN_PROOFS = ("not-run", "no-pipe")
# The first status that reports a failure of the engine.
_FIRST_FAILED_STATUS = 500
# The longest event of a stream that may be resumed.
_MAX_EVENT_BYTES = 1 << 20
# When a caller that found no descriptor left here may come again.
_DESCRIPTORS_RETRY_MS = 1000


class RequestRelay:
    """Relays requests of callers on a platform; `serve` is the only public method.

    `ends_attempts()`: whether the process is about to end, so that no response of an engine can be
    awaited any more."""

    def __init__(self, ask, pool, dialect, connect_ms, ends_attempts=lambda: False):
        self._ask, self._pool = ask, pool
        self._dialect, self._connect_ms = dialect, connect_ms
        self._ends_attempts = ends_attempts

    def serve(self, token, request, step, environ):
        """The response for a caller; `step` is the event loop's first decision.  If this fails with
        any exception, the event loop is told that the task is over."""
        sock = environ.get("werkzeug.socket")
        request["reservation"] = environ.get(byte_budget.ENVIRON_KEY) or byte_budget.unbounded()

        def has_left():
            return sock is not None and closed_by_peer(sock)

        try:
            return self._serve(token, request, step, has_left)
        except OutOfDescriptors:
            self._report_departed(token)
            failure = failures.Overloaded(_DESCRIPTORS_RETRY_MS, "descriptors")
            return self._failure_response(failure, request["may_have_run"])
        except BaseException:
            self._report_departed(token)
            raise

    def _report_departed(self, token):
        """Report that the caller has left, which ends the task."""
        self._ask(token, "ended", {"proof": "gone"})

    def _serve(self, token, request, step, has_left):
        """Follow the event loop's decisions until there is a response."""
        last_response, request["may_have_run"] = None, False
        while isinstance(step, Attempt):
            if has_left():
                self._report_departed(token)
                break
            attempt = attempts.with_time_left(step)
            if attempt is None:
                step = self._ask(token, "ended", {"proof": "not-run"})
                continue
            source = self._start_attempt(request, attempt, 0)
            response, proof = self._await_response(token, request, source, has_left)
            if isinstance(proof, (Attempt, failures.Failure)):
                source.close()
                step, request["may_have_run"] = proof, True
                continue
            if response is not None and not self._may_retry(request, response):
                return self._respond(token, request, response, source, has_left)
            if response is not None and not response.arrives:
                last_response = responses.build(request, response.head, response.chunks)
            source.close()
            request["may_have_run"] |= proof not in _NOT_RUN_PROOFS
            step = self._ask(token, "ended", {"proof": proof})
        if last_response is not None:
            return last_response
        if not isinstance(step, failures.Failure):
            step = failures.OutcomeUnknown("caller-left")
        return self._failure_response(step, request["may_have_run"])

    def _may_retry(self, request, response):
        """Whether a response reports a failure that another engine may not have."""
        return request["repeatable"] and response.head.code >= _FIRST_FAILED_STATUS

    def _failure_response(self, failure, may_have_run):
        """The router's own final response.  It promises that the request has not run only if no
        attempt may have run it."""
        status, headers, body = self._dialect.refusal(failure)
        if may_have_run and status in failures.NOT_RUN_STATUSES:
            status, headers, body = self._dialect.refusal(failures.OutcomeUnknown("leg-broken"))
        return Response(body, status, headers)

    def _start_attempt(self, request, attempt, after):
        """The events of a new attempt; a stream is resumed after the event numbered `after`, and
        starts from the beginning if that is 0."""
        request["end_ms"] = attempt.end_ms
        engine_request = EngineRequest(
            request["method"],
            attempt.url + request["target"],
            request["body"],
            self._dialect.attempt_headers(request, attempt, after),
        )
        silent_ms = (
            max(_MIN_SILENT_MS, _SILENT_FRACTION * request["aimMs"])
            if request["repeatable"]
            else None
        )
        connect_ms = min(self._connect_ms, max(100.0, 0.4 * request["aimMs"]))
        return proxying.stream(
            self._pool,
            attempt.url,
            engine_request,
            attempt.timeout_ms,
            connect_ms,
            not request["repeatable"],
            silent_ms,
        )

    def _await_response(self, token, request, source, has_left):
        """(EngineResponse or None, proof).  If the event loop decided on something else because
        the engine was silent for long, that decision stands in place of the proof."""
        started_s = time.monotonic()
        for kind, value in source:
            if kind == "silent":
                step = self._ask(token, "silent", {})
                if not isinstance(step, KeepWaiting):
                    return None, step
            if kind == "head":
                response_class = self._dialect.classify_response(request, value)
                if response_class == "not-run":
                    return None, "not-run"
                if response_class != "ours":
                    return None, "unknown"
                return response_reading.read(request, value, source, self._ends_attempts, has_left)
            if kind == "idle" and self._ends_attempts():
                return None, attempts.ABANDONED
            if kind == "idle" and has_left():
                return None, attempts.departed_caller_proof(request, started_s)
            if kind == "end":
                return None, attempts.failed_attempt_proof(value)
        return None, "unknown"

    def _respond(self, token, request, response, source, has_left):
        """The response for the caller, built from the engine's response."""
        head = response.head
        proof = "failed" if head.code >= _FIRST_FAILED_STATUS else "done"
        if not response.arrives:
            source.close()
            self._ask(token, "ended", {"proof": proof})
            return responses.build(request, head, response.chunks)

        def on_unread():
            source.close()
            self._report_departed(token)

        events = self._stream_events(token, request, head, response.chunks, source, proof, has_left)
        return responses.build(request, head, responses.StreamedBody(events, on_unread))

    def _stream_events(self, token, request, head, chunks, source, whole_proof, has_left):
        """Yield a body as it arrives, first what `chunks` has of it; if a stream breaks, resume it
        elsewhere if that is allowed.  `whole_proof`: the proof of an attempt that doesn't break."""
        proof, buffer, last_event = "gone", bytearray(), 0
        whole_events = (
            request["resumable"] and head.code == 200 and responses.is_streamed(request, head)
        )
        try:
            while chunks:
                yield chunks[0]
                request["reservation"].grow(-len(chunks.pop(0)))
            while True:
                ended = None
                for kind, value in source:
                    if kind == "data":
                        if not whole_events:
                            yield value
                            continue
                        buffer += value
                        out, last_event = self._take_whole_events(buffer, last_event)
                        if out:
                            yield out
                        if len(buffer) > _MAX_EVENT_BYTES:
                            # No event: passed on as it is, and not resumed elsewhere any more.
                            whole_events = False
                            yield bytes(buffer)
                            buffer.clear()
                    elif kind == "idle" and has_left():
                        raise responses.ResponseAborted("caller left")
                    elif kind == "end":
                        ended = value
                if ended is not None and ended.code:
                    proof = whole_proof
                    if buffer:
                        yield bytes(buffer)
                    return
                source = self._resume_elsewhere(
                    token,
                    request,
                    attempts.broken_stream_proof(ended, request, whole_events),
                    last_event,
                    has_left,
                )
                if source is None:
                    proof = ""
                    raise responses.ResponseAborted("stream")
                buffer.clear()
        finally:
            if source is not None:
                source.close()
            if proof:
                self._ask(token, "ended", {"proof": proof})

    def _take_whole_events(self, buffer, last_event):
        """Remove the complete events from `buffer`; returns those not yet passed on, joined, and
        the number of the last one."""
        out = bytearray()
        while (end := buffer.find(b"\n\n")) >= 0:
            event = bytes(buffer[: end + 2])
            del buffer[: end + 2]
            number = self._dialect.event_id(event)
            if number is not None and number <= last_event:
                continue
            last_event = number if number is not None else last_event
            out += event
        return bytes(out), last_event

    def _resume_elsewhere(self, token, request, proof, last_event, has_left):
        """The source of an attempt at another engine that resumes after the event numbered
        `last_event`; None if there is none."""
        step = self._ask(token, "ended", {"proof": proof})
        while isinstance(step, Attempt):
            attempt = None if has_left() else attempts.with_time_left(step)
            if attempt is None:
                self._report_departed(token)
                break
            source = self._start_attempt(request, attempt, last_event)
            response, proof = self._await_response(token, request, source, has_left)
            if isinstance(proof, (Attempt, failures.Failure)):
                source.close()
                step = proof
                continue
            if response is not None and response.head.code == 200:
                return source
            source.close()
            step = self._ask(token, "ended", {"proof": proof})
        return None
