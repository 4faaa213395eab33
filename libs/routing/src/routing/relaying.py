"""One caller's request on its way through: legs until one answers, then its answer.

Runs on the request's own thread, asks the node's owner what to do, does it, and
tells how it ended.  An answer is passed on only if it is the engine's own to this
very request.  Of a stream that another engine may go on with, only whole events
are passed on, so that the rest joins where the first broke off.
"""

import time

from transport import failures
from transport.socket_state import closed_by_peer
from werkzeug.wrappers import Response

from routing import answers, attempts, passing
from routing.engines import Ask
from routing.router import Leg, Stay

__all__ = ["Relaying"]

_SILENT = 0.5
_LEAST_SILENT_MS = 250.0
# How a leg may end that certainly has not run.
_NOT_RUN = ("not-run", "no-pipe")
# The least status with which an engine says that it failed.
_FAILED = 500


class Relaying:
    """`serve` is the one public method."""

    def __init__(self, ask, pool, dialect, connect_ms):
        self._ask, self._pool = ask, pool
        self._dialect, self._connect_ms = dialect, connect_ms

    def serve(self, token, told, step, environ):
        """The response to a caller, whose first step is `step`.  Whatever goes wrong on
        the way, the owner hears that the task is over."""
        sock = environ.get("werkzeug.socket")

        def gone():
            return sock is not None and closed_by_peer(sock)

        try:
            return self._serve(token, told, step, gone)
        except BaseException:
            self._over(token)
            raise

    def _over(self, token):
        self._ask(token, "ended", {"proof": "gone"})

    def _serve(self, token, told, step, gone):
        last, may_have_run = None, False
        while isinstance(step, Leg):
            if gone():
                self._over(token)
                break
            leg = attempts.in_time(step)
            if leg is None:
                step = self._ask(token, "ended", {"proof": "not-run"})
                continue
            source = self._leg(told, leg, 0)
            head, first, proof = self._begin(token, told, source, gone)
            if isinstance(proof, (Leg, failures.Failure)):
                source.close()
                step, may_have_run = proof, True
                continue
            if head is not None and not (told["repeatable"] and head.code >= 500):
                return self._answer(token, told, head, first, source, gone)
            if head is not None:
                last = answers.response(told, head, [first])
            source.close()
            may_have_run = may_have_run or proof not in _NOT_RUN
            step = self._ask(token, "ended", {"proof": proof})
        if last is not None:
            return last
        if not isinstance(step, failures.Failure):
            step = failures.OutcomeUnknown("caller-left")
        return self._refusal(step, may_have_run)

    def _refusal(self, failure, may_have_run):
        """Our own final answer; a promise only if no leg may have run."""
        status, headers, body = self._dialect.refusal(failure)
        if may_have_run and status in failures.NOT_RUN_STATUSES:
            status, headers, body = self._dialect.refusal(failures.OutcomeUnknown("leg-broken"))
        return Response(body, status, headers)

    def _leg(self, told, leg, after):
        told["end_ms"] = leg.end_ms
        ask = Ask(
            told["method"],
            leg.url + told["target"],
            told["body"],
            self._dialect.leg_headers(told, leg, after),
        )
        silent_ms = max(_LEAST_SILENT_MS, _SILENT * told["aimMs"]) if told["repeatable"] else None
        connect_ms = min(self._connect_ms, max(100.0, 0.4 * told["aimMs"]))
        return passing.stream(
            self._pool, leg.url, ask, leg.timeout_ms, connect_ms, not told["repeatable"], silent_ms
        )

    def _begin(self, token, told, source, gone):
        """(head, first data, proof): a head that is the engine's own answer, or None;
        the proof is the next step itself if silence has led to one already."""
        begun_s = time.monotonic()
        for kind, value in source:
            if kind == "silent":
                step = self._ask(token, "silent", {})
                if not isinstance(step, Stay):
                    return None, b"", step
            if kind == "head":
                judged = self._dialect.judged(told, value)
                if judged == "not-run":
                    return None, b"", "not-run"
                if judged != "ours":
                    return None, b"", "unknown"
                if answers.streamed(told, value):
                    return value, b"", "unknown"
                return self._whole(value, source, gone)
            if kind == "idle" and gone():
                return None, b"", attempts.left(told, begun_s)
            if kind == "end":
                return None, b"", attempts.proof(value)
        return None, b"", "unknown"

    def _whole(self, head, source, gone):
        """An answer that isn't a stream: passed on only once it is all here."""
        data, size = [], 0
        for kind, value in source:
            if kind == "data":
                data.append(value)
                size += len(value)
            elif kind == "idle" and gone():
                return None, b"", "gone"
            elif kind == "end":
                return (
                    (head, b"".join(data), "unknown")
                    if value.code
                    else (None, b"", attempts.proof(value))
                )
        return None, b"", "unknown"

    def _answer(self, token, told, head, first, source, gone):
        if not answers.streamed(told, head):
            source.close()
            proof = "failed" if head.code >= _FAILED else "done"
            self._ask(token, "ended", {"proof": proof})
            return answers.response(told, head, [first])

        def unread():
            source.close()
            self._over(token)

        events = self._events(token, told, head, source, gone)
        return answers.response(told, head, answers.Passing(events, unread))

    def _events(self, token, told, head, source, gone):
        """The stream as it comes; when it breaks, go on elsewhere if that may be."""
        proof, held, last = "gone", bytearray(), 0
        whole = told["resumable"] and head.code == 200
        try:
            while True:
                ended = None
                for kind, value in source:
                    if kind == "data":
                        if not whole:
                            yield value
                            continue
                        held += value
                        out, last = self._whole_events(held, last)
                        if out:
                            yield out
                    elif kind == "idle" and gone():
                        raise answers.CutOff("caller left")
                    elif kind == "end":
                        ended = value
                if ended is not None and ended.code:
                    proof = "done"
                    if held:
                        yield bytes(held)
                    return
                source, head = self._go_on(
                    token, told, attempts.broken(ended, told, whole), last, gone
                )
                if source is None:
                    proof = ""
                    raise answers.CutOff("stream")
                held.clear()
        finally:
            if source is not None:
                source.close()
            if proof:
                self._ask(token, "ended", {"proof": proof})

    def _whole_events(self, held, last):
        """Take whole events off `held`; those already passed on are dropped."""
        out = bytearray()
        while (end := held.find(b"\n\n")) >= 0:
            event = bytes(held[: end + 2])
            del held[: end + 2]
            number = self._dialect.event_id(event)
            if number is not None and number <= last:
                continue
            last = number if number is not None else last
            out += event
        return bytes(out), last

    def _go_on(self, token, told, proof, last, gone):
        """(source, head) of a leg at another engine that goes on after `last`."""
        step = self._ask(token, "ended", {"proof": proof})
        while isinstance(step, Leg):
            leg = None if gone() else attempts.in_time(step)
            if leg is None:
                self._over(token)
                break
            source = self._leg(told, leg, last)
            head, _, proof = self._begin(token, told, source, gone)
            if isinstance(proof, (Leg, failures.Failure)):
                source.close()
                step = proof
                continue
            if head is not None and head.code == 200:
                return source, head
            source.close()
            step = self._ask(token, "ended", {"proof": proof})
        return None, None
