"""One caller's task, from its HTTP request to its answer.

Runs on the request's own thread.  It asks the node's owner what to do, does
that one thing, tells how it ended, and asks again; the owner decides, this
thread owns the sockets.
"""

from transport import failures
from transport.ends import hung_up

from routing import callers, engines, legs, pieces
from routing.router import Leg

__all__ = ["Serving"]


class Serving:
    """`serve` is the one public method.  `ask(token, verb, body)` puts an event to
    the node's owner and waits for its command; `step` is its first."""

    def __init__(self, ask, connect_ms):
        self._ask = ask
        self._connect_ms = connect_ms

    def serve(self, token, told, step, environ):
        gone = _gone_check(environ)
        while isinstance(step, Leg):
            if told["stream"]:
                return self._stream(token, told, step, gone)
            found, proof = self._whole(told, step)
            step = self._ask(token, "ended", {"proof": proof})
            if found is not None:
                return found
        if isinstance(step, failures.Failure):
            return callers.refusal(step)
        return callers.refusal(failures.OutcomeUnknown("caller-left"))

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
        while isinstance(leg, Leg):
            source = legs.stream(engines.task_ask(leg.url, told), leg.timeout_ms, self._connect_ms)
            run = pieces.Run(told["id"])
            passing = _pieces(source, run, gone)
            passed, proof = next(passing)
            if passed is not None:
                chunks = self._pass_on(token, run, passed, passing, source, gone)
                return callers.stream_response(chunks)
            source.close()
            leg = self._ask(token, "ended", {"proof": "unknown" if proof == "broken" else proof})
        failed = (
            leg if isinstance(leg, failures.Failure) else (failures.OutcomeUnknown("caller-left"))
        )
        return callers.refusal(failed)

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
    return lambda: sock is not None and hung_up(sock)
