"""Responses to callers from scripted attempts: only the engine's own, complete, and joined without
gap or repetition."""

import time

from adapter.dialect import DIALECT
from routing import proxying
from routing.engine_calls import AttemptEnd
from routing.relaying import RequestRelay
from routing.response_head import ResponseHead
from routing.router import Attempt
from routing.tasks import Done, KeepWaiting
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

OWN = (("X-Try-Id", "t1"), ("X-Postmark", "p"), ("Content-Type", "text/event-stream"))
STREAM = {"kind": "stream", "resumable": True, "repeatable": True}
PLAIN = {"kind": "safe", "resumable": False, "repeatable": True}
CUT_OFF, COMPLETE = AttemptEnd(0, b"", True, "cut"), AttemptEnd(200, b"", True)


def head(code=200, headers=OWN, reason="Fine"):
    return "head", ResponseHead(code, reason, headers)


def event(number, text="x"):
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


def data(*parts):
    return [("data", part) for part in parts]


class Relayed(TestCase):
    """`attempts`: the events of each attempt in turn; `silent`: the decision on a silent
    attempt."""

    def relay(self, attempts, facts, silent=None, environ=None, left_ms=None, **request):
        """`left_ms`: the remaining time of each attempt, if given; no more attempts follow then."""
        sources, self.requests, self.proofs, self.closed = list(attempts), [], [], []
        ends_ms = None if left_ms is None else [time.monotonic() * 1000 + ms for ms in left_ms]
        exhausted = failures.OutcomeUnknown("leg-broken")

        def stream(pool, base, engine_request, timeout_ms, connect_ms, fresh, silent_ms):
            self.requests.append(engine_request)
            try:
                yield from sources.pop(0)
            finally:
                self.closed.append(base)

        def next_attempt():
            number = len(self.requests)
            if not sources or ends_ms == []:
                return exhausted
            end_ms = ends_ms.pop(0) if ends_ms else float("inf")
            return Attempt(f"e{number}", f"http://e{number}", 1000.0, end_ms=end_ms)

        def ask(token, verb, body):
            if verb == "silent":
                return silent or next_attempt()
            self.proofs.append(body["proof"])
            return Done() if body["proof"] in ("done", "gone", "cut") else next_attempt()

        self.patch(proxying, "stream", stream)
        self.request = {
            "id": "t1",
            "method": "POST",
            "target": "/a/b?c",
            "body": b"q",
            "headers": ("X-Try-Id: t1",),
            "aimMs": 500.0,
            **facts,
            **request,
        }
        return RequestRelay(ask, None, DIALECT, 100).serve(
            "k", self.request, next_attempt(), environ or {}
        )

    def body(self, response):
        """(bytes, whether the body ended properly)."""
        got = b""
        try:
            for part in response.iter_encoded():
                got += part
        except ConnectionError:
            return got, False
        finally:
            response.close()
        return got, True


class WholeResponses(Relayed):
    def test_unchanged(self):
        for code in (200, 404, 500):
            response = self.relay(
                [[head(code), *data(b"ab", b"\x00\xff"), ("end", AttemptEnd(code, b"", True))]],
                {**PLAIN, "repeatable": False},
            )
            self.assertThat(response.status, Equals(f"{code} Fine"))
            self.assertThat(self.body(response), Equals((b"ab\x00\xff", True)))
            self.assertThat(response.headers["X-Postmark"], Equals("p"))
            self.assertThat(self.proofs, Equals(["failed" if code == 500 else "done"]))
            (sent,) = self.requests
            self.assertThat(
                (sent.method, sent.url, sent.body), Equals(("POST", "http://e0/a/b?c", b"q"))
            )

    def test_foreign_responses_are_never_passed_on(self):
        """With the id of another request, or a success without a stamp."""
        for headers in (
            (("X-Try-Id", "t2"), ("X-Postmark", "p")),
            (("X-Try-Id", "t1"),),
            (),
            (("x-try-id", "t2"),),
            (("X-Postmark", "p"), ("X-Try-Id", "T1")),
        ):
            for facts in (PLAIN, STREAM, {**PLAIN, "repeatable": False}):
                bad = [head(200, headers), *data(b"foreign"), ("end", COMPLETE)]
                response = self.relay([bad, bad], facts)
                self.assertThat(response.status_code, Equals(502))
                self.assertFalse(b"foreign" in self.body(response)[0])
                self.assertThat(set(self.proofs), Equals({"unknown"}))

    def test_a_foreign_failure_is_not_passed_on(self):
        for code in (400, 404, 421, 503):
            bad = [
                head(code, (("X-Try-Id", "t2"), ("X-Not-Run", "full"))),
                ("end", AttemptEnd(code, b"", True)),
            ]
            self.assertThat(self.relay([bad], PLAIN).status_code, Equals(502))
            self.assertThat(self.proofs, Equals(["unknown"]))

    def test_a_refused_request_is_sent_elsewhere(self):
        refused = [head(503, (("X-Try-Id", "t1"), ("X-Not-Run", "full"))), ("end", COMPLETE)]
        good = [head(), *data(b"ok"), ("end", COMPLETE)]
        response = self.relay([refused, good], {**PLAIN, "repeatable": False})
        self.assertThat(self.body(response), Equals((b"ok", True)))
        self.assertThat(self.proofs, Equals(["not-run", "done"]))

    def test_a_cut_response_is_not_passed_on(self):
        cut = [head(), *data(b"half"), ("end", CUT_OFF)]
        response = self.relay([cut], {**PLAIN, "repeatable": False})
        self.assertThat(response.status_code, Equals(502))
        self.assertThat(self.proofs, Equals(["unknown"]))
        response = self.relay([cut, [head(), *data(b"whole"), ("end", COMPLETE)]], PLAIN)
        self.assertThat(self.body(response), Equals((b"whole", True)))

    def test_nothing_sent(self):
        for request_sent, proof in ((False, "no-pipe"), (True, "unknown")):
            self.relay([[("end", AttemptEnd(0, b"", request_sent))]], PLAIN)
            self.assertThat(self.proofs, Equals([proof]))

    def test_the_last_failure_is_passed_on_completely(self):
        """If all attempts fail, the last engine's own response is passed on completely."""
        for facts in (PLAIN, STREAM):
            bad = [
                head(500, OWN + (("Content-Length", "5"),)),
                *data(b"oo", b"ps!"),
                ("end", AttemptEnd(500, b"", True)),
            ]
            response = self.relay([bad, bad], facts)
            self.assertThat(
                (response.status_code, self.body(response)), Equals((500, (b"oops!", True)))
            )
            self.assertThat(self.proofs, Equals(["unknown", "unknown"]))

    def test_a_failure_that_is_cut_is_not_passed_on(self):
        for facts in (PLAIN, STREAM):
            bad = [head(500, OWN + (("Content-Length", "5"),)), *data(b"oo"), ("end", CUT_OFF)]
            response = self.relay([bad], facts)
            self.assertThat(response.status_code, Equals(502))


class SilentAttempts(Relayed):
    def test_the_silent_attempt_is_kept(self):
        for facts in (PLAIN, STREAM):
            response = self.relay(
                [[("silent", None), ("idle", None), head(), *data(event(1)), ("end", COMPLETE)]],
                facts,
                silent=KeepWaiting(),
            )
            self.assertThat(self.body(response), Equals((event(1), True)))
            self.assertThat((self.proofs, len(self.closed)), Equals((["done"], 1)))

    def test_it_is_replaced_by_another_attempt(self):
        """A late response of the first attempt is ignored."""
        for facts in (PLAIN, STREAM):
            response = self.relay(
                [
                    [("silent", None), head(), *data(event(1, "late"))],
                    [head(), *data(event(1)), ("end", COMPLETE)],
                ],
                facts,
            )
            self.assertThat(self.body(response), Equals((event(1), True)))
            self.assertThat(
                (self.closed, self.proofs), Equals((["http://e0", "http://e1"], ["done"]))
            )

    def test_a_silent_attempt_to_resume_is_replaced(self):
        response = self.relay(
            [
                [head(), *data(event(1)), ("end", CUT_OFF)],
                [("silent", None)],
                [head(), *data(event(2)), ("end", COMPLETE)],
            ],
            STREAM,
        )
        self.assertThat(self.body(response), Equals((event(1) + event(2), True)))

    def test_no_promise_after_silence(self):
        """The silent attempt may have run, so the response must not promise that it hasn't."""
        failure = failures.Overloaded(1000, "all-busy")
        response = self.relay([[("silent", None)]], PLAIN, silent=failure)
        self.assertThat((response.status_code, len(self.closed)), Equals((502, 1)))


class Streams(Relayed):
    def test_passed_on_unchanged(self):
        for facts in (STREAM, {**STREAM, "resumable": False, "repeatable": False}):
            response = self.relay(
                [
                    [
                        head(),
                        *data(event(1), event(2)[:5]),
                        ("idle", None),
                        *data(event(2)[5:] + event(3)),
                        ("end", COMPLETE),
                    ]
                ],
                facts,
            )
            self.assertThat(self.body(response), Equals((event(1) + event(2) + event(3), True)))
            self.assertThat(self.proofs, Equals(["done"]))

    def test_only_complete_events(self):
        """Each chunk that is passed on ends with an event, however the stream was divided."""
        whole = b"".join(event(n) for n in range(1, 9))
        for size in range(1, 40):
            parts = [whole[at : at + size] for at in range(0, len(whole), size)]
            response = self.relay([[head(), *data(*parts), ("end", COMPLETE)]], STREAM)
            out = list(response.iter_encoded())
            self.assertThat(b"".join(out), Equals(whole))
            self.assertTrue(all(part.endswith(b"\n\n") for part in out))

    def test_joined_where_it_broke(self):
        whole = b"".join(event(n) for n in range(1, 7))
        for at in range(1, len(whole)):
            done = whole[:at].count(b"\n\n")
            for overlap in (0, 1, 2):
                rest = [event(n) for n in range(max(1, done + 1 - overlap), 7)]
                response = self.relay(
                    [
                        [head(), *data(whole[:at]), ("end", CUT_OFF)],
                        [head(), *data(*rest), ("end", COMPLETE)],
                    ],
                    STREAM,
                )
                self.assertThat(self.body(response), Equals((whole, True)), f"{at} {overlap}")
                self.assertThat(self.proofs, Equals(["unknown", "done"]))
                resume_headers = [
                    h for h in self.requests[1].headers if h.startswith("Last-Event-Id")
                ]
                self.assertThat(resume_headers, Equals([f"Last-Event-Id: {done}"] if done else []))

    def test_joined_twice_and_from_the_callers_own_id(self):
        attempts = [
            [head(), *data(event(13), event(14)[:4]), ("end", CUT_OFF)],
            [("end", CUT_OFF)],
            [head(), *data(event(14), b"id: 1"), ("end", CUT_OFF)],
            [head(), *data(event(15)), ("end", COMPLETE)],
        ]
        response = self.relay(attempts, STREAM, headers=("X-Try-Id: t1", "Last-Event-Id: 12"))
        self.assertThat(self.body(response), Equals((event(13) + event(14) + event(15), True)))
        resume_headers = [
            [h for h in sent.headers if h.startswith("Last-Event-Id")] for sent in self.requests
        ]
        self.assertThat(
            resume_headers,
            Equals(
                [
                    ["Last-Event-Id: 12"],
                    ["Last-Event-Id: 13"],
                    ["Last-Event-Id: 13"],
                    ["Last-Event-Id: 14"],
                ]
            ),
        )

    def test_the_first_head_is_kept(self):
        other = (("X-Try-Id", "t1"), ("X-Postmark", "q"))
        response = self.relay(
            [
                [head(), *data(event(1)), ("end", CUT_OFF)],
                [head(200, other), *data(event(2)), ("end", COMPLETE)],
            ],
            STREAM,
        )
        self.assertThat(response.headers["X-Postmark"], Equals("p"))
        self.assertThat(self.body(response), Equals((event(1) + event(2), True)))

    def test_cut_if_it_cannot_be_resumed(self):
        """It isn't resumable, there is no other engine, or the other engine's response is
        invalid."""
        first = [head(), *data(event(1), event(2)[:3]), ("end", CUT_OFF)]
        foreign = [head(200, (("X-Try-Id", "t2"), ("X-Postmark", "p"))), *data(event(2))]
        failed = [head(500), *data(b"no"), ("end", AttemptEnd(500, b"", True))]
        for attempts, facts, got in (
            ([first], STREAM, event(1)),
            ([first, foreign], STREAM, event(1)),
            ([first, failed], STREAM, event(1)),
            ([first, [("end", CUT_OFF)]], STREAM, event(1)),
            (
                [first, first],
                {**STREAM, "resumable": False, "repeatable": False},
                event(1) + event(2)[:3],
            ),
        ):
            response = self.relay(attempts, facts)
            self.assertThat(self.body(response), Equals((got, False)))
            self.assertThat(len(self.closed), Equals(len(self.requests)))

    def test_a_caller_that_leaves(self):
        response = self.relay([[head(), *data(event(1), event(2)), ("end", COMPLETE)]], STREAM)
        self.assertThat(next(response.iter_encoded()), Equals(event(1)))
        response.close()
        self.assertThat((self.proofs, len(self.closed)), Equals((["gone"], 1)))
