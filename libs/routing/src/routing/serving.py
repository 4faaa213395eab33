"""One caller's task, from its HTTP request to its answer.

Runs on the request's own thread.  It asks the node's owner what to do, does
that one thing, tells how it ended, and asks again; the owner decides, this
thread owns the sockets.
"""

from transport import failures
from transport.socket_state import closed_by_peer

from routing import callers, engines, legs, pieces
from routing.router import Leg

__all__ = ["Serving"]

# How a leg may end that certainly has not run.
_NOT_RUN = ("not-run", "no-pipe")


class Serving:
    """`serve` is the one public method.  `ask(token, verb, body)` puts an event to
    the node's owner and waits for its command; `step` is its first."""

    def __init__(self, ask, connect_ms):
        self._ask = ask
        self._connect_ms = connect_ms

    def serve(self, token, told, step, environ):
        """The response to a caller, whose first step is `step`.  Whatever goes wrong on
        the way, the owner hears that the task is over."""
        try:
            return self._serve(token, told, step, _gone_check(environ))
        except BaseException:
            self._ask(token, "ended", {"proof": "gone"})
            raise

    def _serve(self, token, told, step, gone):
        may_have_run = False
        while isinstance(step, Leg):
            if told["stream"]:
                return self._stream(token, told, step, gone)
            found, proof = self._whole(told, step)
            may_have_run = may_have_run or proof not in _NOT_RUN
            step = self._ask(token, "ended", {"proof": proof})
            if found is not None:
                return found
        return _refusal(step, may_have_run)

    def _whole(self, told, leg):
        """Run a leg for a whole answer: (response or None, proof)."""
        ended = legs.call(engines.task_ask(leg.url, told), leg.timeout_ms, self._connect_ms)
        if ended.code == 200:
            body = engines.read_answer(told, ended.data)
            if body is not None:
                return callers.answer(body), "done"
            return None, "unknown"
        if ended.code == 0:
            return None, "unknown" if ended.begun else "no-pipe"
        if engines.refused(ended.code, ended.data):
            return None, "not-run"
        if told["repeatable"]:
            return None, "unknown"
        return callers.refusal(failures.EngineFailed(leg.engine, ended.code)), "done"

    def _stream(self, token, told, leg, gone):
        """Find a leg whose first piece is good, then pass its pieces on."""
        may_have_run = False
        while isinstance(leg, Leg):
            source = legs.stream(engines.task_ask(leg.url, told), leg.timeout_ms, self._connect_ms)
            run = pieces.Run(told["id"])
            passing = _pieces(source, run, gone)
            passed, proof = next(passing)
            if passed is not None:
                chunks = self._pass_on(token, run, passed, passing, source, gone)
                return callers.stream_response(chunks)
            source.close()
            may_have_run = may_have_run or proof not in _NOT_RUN
            leg = self._ask(token, "ended", {"proof": "unknown" if proof == "broken" else proof})
        return _refusal(leg, may_have_run)

    def _pass_on(self, token, run, passed, passing, source, gone):
        proof = "gone"
        try:
            while True:
                yield callers.event("piece", passed.piece, passed.piece["n"])
                if passed.last:
                    proof = "done"
                    yield callers.event("done", {"pieces": run.next})
                    return
                passed, proof = next(passing)
                while passed is None and proof == "broken" and run.resumes:
                    source.close()
                    source = self._resumed(token, run)
                    if source is None:
                        break
                    passing = _pieces(source, run, gone)
                    passed, proof = next(passing)
                if passed is None:
                    break
            failure = failures.StreamCut(proof, run.next)
            yield callers.event("failure", failures.as_json(failure))
            raise _CutOff(failure)
        finally:
            if source is not None:
                source.close()
            self._ask(token, "ended", {"proof": "done" if proof == "done" else "gone"})

    def _resumed(self, token, run):
        """The rest of the same run from the same engine, if the owner allows it."""
        leg = self._ask(token, "resume", {"incarnation": run.incarnation})
        if not isinstance(leg, Leg):
            return None
        return legs.stream(engines.resume_ask(leg.url, run), leg.timeout_ms, self._connect_ms)


def _refusal(step, may_have_run):
    """Our own final answer; a promise only if no leg may have run."""
    if not isinstance(step, failures.Failure):
        step = failures.OutcomeUnknown("caller-left")
    return callers.refusal(failures.for_started_request(step) if may_have_run else step)


class _CutOff(ConnectionError):
    """Breaks the chunked body off, so that nothing cut looks complete."""


def _pieces(source, run, gone):
    """Yield (Pass, "") for each good piece, then one (None, proof)."""
    buffer, refusal, code = bytearray(), bytearray(), 0
    for kind, value in source:
        if kind == "head":
            code = value
        elif kind == "data" and code == 200:
            for piece in engines.read_pieces(buffer, value):
                judged = pieces.take(run, piece)
                if isinstance(judged, pieces.Pass):
                    yield judged, ""
                elif isinstance(judged, pieces.Cut):
                    yield None, "unknown"
                    return
        elif kind == "data":
            refusal += value
        elif kind == "idle" and gone():
            yield None, "gone"
            return
        elif kind == "end":
            yield None, _proof(value, bytes(refusal))
            return


def _proof(ended, refusal):
    """As for a whole answer; "broken" where the pipe is all that failed."""
    if ended.code == 0:
        return "broken" if ended.begun else "no-pipe"
    return "not-run" if engines.refused(ended.code, refusal) else "unknown"


def _gone_check(environ):
    """A function that says whether the caller has closed its end."""
    sock = environ.get("werkzeug.socket")
    return lambda: sock is not None and closed_by_peer(sock)
