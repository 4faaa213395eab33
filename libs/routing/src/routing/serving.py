"""Handles one task of the product's own HTTP interface, from request to response.

Runs on the request's own thread.  It gets each decision from the node's event loop, carries it out
and reports the outcome, which leads to the next decision.  Only the event loop decides, and only
this thread uses the sockets of the task.
"""

from transport import failures
from transport.socket_state import closed_by_peer

from routing import caller_api, engine_api, engine_calls, pieces
from routing.router import Attempt

__all__ = ["TaskHandler"]

# Proofs of an attempt whose request has certainly not run.
_NOT_RUN_PROOFS = ("not-run", "no-pipe")


class TaskHandler:
    """Handles tasks; `serve` is the only public method.  `ask(token, verb, body)` posts an event
    to the node's event loop and waits for its decision.  `ends_attempts()`: whether the process is
    about to end, so that no response of an engine can be awaited any more."""

    def __init__(self, ask, connect_ms, ends_attempts=lambda: False):
        self._ask = ask
        self._connect_ms = connect_ms
        self._ends_attempts = ends_attempts

    def serve(self, token, request, step, environ):
        """The response for a caller; `step` is the event loop's first decision.  If this fails with
        any exception, the event loop is told that the task is over."""
        try:
            return self._serve(token, request, step, _departure_check(environ))
        except BaseException:
            self._ask(token, "ended", {"proof": "gone"})
            raise

    def _serve(self, token, request, step, has_left):
        """Follow the event loop's decisions until there is a response."""
        may_have_run = False
        while isinstance(step, Attempt):
            if request["stream"]:
                return self._stream(token, request, step, has_left)
            response, proof = self._call_engine(request, step)
            may_have_run = may_have_run or proof not in _NOT_RUN_PROOFS
            step = self._ask(token, "ended", {"proof": proof})
            if response is not None:
                return response
        return _failure_response(step, may_have_run)

    def _call_engine(self, request, attempt):
        """Make an attempt whose response is read whole: (response or None, proof)."""
        ended = engine_calls.call(
            engine_api.task_request(attempt.url, request),
            attempt.timeout_ms,
            self._connect_ms,
            is_abandoned=self._ends_attempts,
        )
        if ended.code == 200:
            body = engine_api.read_task_response(request, ended.data)
            if body is not None:
                return caller_api.json_response(body), "done"
            return None, "unknown"
        if ended.code == 0:
            return None, "unknown" if ended.request_sent else "no-pipe"
        if engine_api.is_refusal(ended.code, ended.data):
            return None, "not-run"
        if request["repeatable"]:
            return None, "unknown"
        return caller_api.failure_response(
            failures.EngineFailed(attempt.engine, ended.code)
        ), "done"

    def _stream(self, token, request, attempt, has_left):
        """Make attempts until one has a valid first piece, then pass its pieces on."""
        may_have_run = False
        while isinstance(attempt, Attempt):
            source = engine_calls.stream(
                engine_api.task_request(attempt.url, request), attempt.timeout_ms, self._connect_ms
            )
            run = pieces.Run(request["id"])
            incoming = self._pieces(source, run, has_left)
            forward, proof = next(incoming)
            if forward is not None:
                chunks = self._pass_on(token, run, forward, incoming, source, has_left)
                return caller_api.stream_response(chunks)
            source.close()
            may_have_run = may_have_run or proof not in _NOT_RUN_PROOFS
            attempt = self._ask(
                token, "ended", {"proof": "unknown" if proof == "broken" else proof}
            )
        return _failure_response(attempt, may_have_run)

    def _pass_on(self, token, run, forward, incoming, source, has_left):
        """Yield the server-sent events of a stream; a run whose connection breaks is resumed."""
        proof = "gone"
        try:
            while True:
                yield caller_api.sse_event("piece", forward.piece, forward.piece["n"])
                if forward.last:
                    proof = "done"
                    yield caller_api.sse_event("done", {"pieces": run.next})
                    return
                forward, proof = next(incoming)
                while forward is None and proof == "broken" and run.resumes:
                    source.close()
                    source = self._resume_run(token, run)
                    if source is None:
                        break
                    incoming = self._pieces(source, run, has_left)
                    forward, proof = next(incoming)
                if forward is None:
                    break
            failure = failures.StreamCut(proof, run.next)
            yield caller_api.sse_event("failure", failures.as_json(failure))
            raise _ResponseAborted(failure)
        finally:
            if source is not None:
                source.close()
            self._ask(token, "ended", {"proof": "done" if proof == "done" else "gone"})

    def _resume_run(self, token, run):
        """The events of the rest of the same run at the same engine; None if the event loop doesn't
        allow it."""
        attempt = self._ask(token, "resume", {"incarnation": run.incarnation})
        if not isinstance(attempt, Attempt):
            return None
        return engine_calls.stream(
            engine_api.resume_request(attempt.url, run), attempt.timeout_ms, self._connect_ms
        )

    def _pieces(self, source, run, has_left):
        """Yield (Forward, "") for each valid piece, then one (None, proof)."""
        buffer, refusal, code = bytearray(), bytearray(), 0
        for kind, value in source:
            if kind == "head":
                code = value
            elif kind == "data" and code == 200:
                for piece in engine_api.read_pieces(buffer, value):
                    checked = pieces.check_piece(run, piece)
                    if isinstance(checked, pieces.Forward):
                        yield checked, ""
                    elif isinstance(checked, pieces.Cut):
                        yield None, "unknown"
                        return
            elif kind == "data":
                refusal += value
            elif kind == "idle" and self._ends_attempts():
                yield None, "unknown"
                return
            elif kind == "idle" and has_left():
                yield None, "gone"
                return
            elif kind == "end":
                yield None, _stream_end_proof(value, bytes(refusal))
                return


def _failure_response(step, may_have_run):
    """The router's own final response.  It promises that the task has not run only if no attempt
    may have run it."""
    if not isinstance(step, failures.Failure):
        step = failures.OutcomeUnknown("caller-left")
    return caller_api.failure_response(failures.for_started_request(step) if may_have_run else step)


class _ResponseAborted(ConnectionError):
    """Raised while a streamed body is being sent, to close the connection, so that a cut response
    doesn't look complete."""


def _stream_end_proof(ended, refusal):
    """The proof of a stream's end; "broken" if only the connection failed."""
    if ended.code == 0:
        return "broken" if ended.request_sent else "no-pipe"
    return "not-run" if engine_api.is_refusal(ended.code, refusal) else "unknown"


def _departure_check(environ):
    """A function that returns whether the caller has closed its end of the connection."""
    sock = environ.get("werkzeug.socket")
    return lambda: sock is not None and closed_by_peer(sock)
