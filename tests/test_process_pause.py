"""Attempts that were decided before the process was paused for a while."""

import socket

from routing.engine_calls import AttemptEnd
from test_platform_relaying import COMPLETE, PLAIN, STREAM, Relayed, data, event, head
from testtools.matchers import Equals


class AfterPause(Relayed):
    """Attempts with little or no time left, or whose caller has left."""

    def test_nothing_is_sent_after_the_deadline(self):
        good = [head(), *data(b"late"), ("end", COMPLETE)]
        for facts in (PLAIN, STREAM, {**PLAIN, "repeatable": False}):
            response = self.relay([good], facts, left_ms=[-1.0])
            self.assertThat(self.requests, Equals([]))
            self.assertThat(self.proofs, Equals(["not-run"]))
            self.assertThat(self.closed, Equals([]))
            response.close()

    def test_an_engine_gets_only_the_remaining_time(self):
        good = [head(), *data(b"ok"), ("end", COMPLETE)]
        self.relay([good], {**PLAIN, "repeatable": False}, left_ms=[300.0])
        (sent,) = self.requests
        (line,) = [h for h in sent.headers if h.startswith("X-Deadline-Ms:")]
        self.assertThat(0 < int(line.partition(": ")[2]) <= 300, Equals(True), line)

    def test_nothing_is_sent_for_a_caller_that_left(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        theirs.close()
        good = [head(), *data(b"ok"), ("end", COMPLETE)]
        for facts in (PLAIN, STREAM):
            self.relay([good], facts, environ={"werkzeug.socket": ours})
            self.assertThat(self.requests, Equals([]))
            self.assertThat(self.proofs, Equals(["gone"]))

    def test_a_stream_is_not_resumed_after_the_deadline(self):
        broken = [head(), *data(event(1)), ("end", AttemptEnd(0, b"", True, "cut"))]
        rest = [head(), *data(event(2)), ("end", COMPLETE)]
        response = self.relay([broken, rest], STREAM, left_ms=[1000.0, -1.0])
        self.assertThat(self.body(response), Equals((event(1), False)))
        self.assertThat(len(self.requests), Equals(1))
        self.assertThat(self.proofs, Equals(["unknown", "gone"]))
