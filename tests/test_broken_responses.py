"""Callers whose engine sends broken responses, over real sockets: they get a failure of this
product's own, never anything of the response, and no promise that the request hasn't run."""

import json

from gateway_harness import GatewayTestCase
from response_harness import CHUNKED, CHUNKS, LENGTH, OK
from testtools.matchers import Equals

OWN = b"X-Try-Id: %s\r\nX-Postmark: engine.%s\r\n"
REFUSED = b"HTTP/1.1 503 Full\r\nX-Not-Run: full\r\n"


class BrokenResponse(GatewayTestCase):
    """`sent`: what the engine sends, without the fields that every response has; it closes the
    connection afterwards.  A good response if that is None."""

    KIND, GOOD = "safe", b"4"

    def respond(self, handler, body):
        if self.sent is None:
            return super().respond(handler, body)
        id_ = handler.headers["X-Try-Id"].encode()
        first, _, rest = self.sent.partition(b"\r\n")
        handler.wfile.write(first + b"\r\n" + OWN % (id_, id_) + rest)
        handler.close_connection = True

    def decide(self, event):
        if getattr(event, "verb", "") == "ended":
            self.proofs.append(event.body["proof"])
        effects = super().decide(event)
        if getattr(event, "verb", "") == "passage":
            event.body["kind"] = self.KIND
        return effects

    def assert_fails(self, *responses):
        for number, self.sent in enumerate(responses):
            self.proofs = []
            head, _, body = self.whole_exchange(number, b"q").partition(b"\r\n\r\n")
            self.assertThat(head.partition(b"\r\n")[0], Equals(b"HTTP/1.1 502 BAD GATEWAY"))
            self.assertThat(json.loads(body)["cause"], Equals("caller-left"))
            self.assertThat(b"ostmark" in head, Equals(False), f"{self.sent} {head}")
            self.assertThat(self.proofs, Equals(["unknown"]), repr(self.sent))
        self.sent, self.proofs = None, []
        self.assertThat(self.exchange(99, b"four"), Equals(self.GOOD))


class Responses(BrokenResponse):
    def test_spoilt_lengths(self):
        for first in (OK, REFUSED):
            self.assert_fails(
                first + b"Content-Length: 99999999999999999999999\r\n\r\nhello",
                first + b"Content-Length: 5x\r\n\r\nhello",
                first + b"Content-Length: 5, 5\r\n\r\nhello",
                first + CHUNKED + LENGTH + b"\r\n" + CHUNKS,
            )

    def test_lengths_that_are_not_told(self):
        """A good name that isn't the one it was leaves a body without an end."""
        self.assert_fails(
            OK + b"Transfer-Encodinh: chunked\r\n\r\n" + CHUNKS,
            OK + b"Content-Lengths: 5\r\n\r\nhello",
            OK + b"\r\nhello",
        )

    def test_lines_that_are_no_fields(self):
        for first in (OK, REFUSED):
            self.assert_fails(
                first + b": no field\r\n" + LENGTH + b"\r\nhello",
                first + b"no field\r\n" + LENGTH + b"\r\nhello",
                first + LENGTH + b"A: 1\n\r\nhello",
                b"\r\n" + first + LENGTH + b"\r\nhello",
            )

    def test_spoilt_names(self):
        for first in (OK, REFUSED):
            self.assert_fails(
                first + b"Transfer-Encoding : chunked\r\n" + LENGTH + b"\r\n" + CHUNKS,
                first + b"Content-Length\x01: 5\r\n\r\nhello",
                first + b"Content-Length : 5\r\n\r\nhello",
                first + b"X A: 1\r\n" + LENGTH + b"\r\nhello",
                first + b"\x01X-A: 1\r\n" + LENGTH + b"\r\nhello",
                first + b"X-A\x00: 1\r\n" + LENGTH + b"\r\nhello",
                first + b"X-A: \x01\r\n" + LENGTH + b"\r\nhello",
            )

    def test_spoilt_status_lines(self):
        self.assert_fails(
            *(
                line + b"\r\n" + LENGTH + b"\r\nhello"
                for line in (
                    b"HTTP/1.1 000 OK",
                    b"HTTP/1.1 600 OK",
                    b"HTTP/1.1 999 OK",
                    b"HTTP/1.1 2000 OK",
                    b"HTTP/1.1 200OK",
                    b"HTTP/1.1 200: OK",
                    b"HTTP/1.1 200 O\x01K",
                    b"HTTP/2 200 OK",
                    b"HTTP/1.1 101 Switching",
                )
            )
        )

    def test_spoilt_chunks_and_trailers(self):
        self.assert_fails(
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\nX A: 1\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\nA: 1\n\r\n",
            OK + CHUNKED + b"\r\n5x\r\nhello\r\n0\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0x\r\nid: 2\ndata: 2\n\n",
        )


class Streams(Responses):
    KIND, GOOD = "stream", b"1\r\n4\r\n0\r\n\r\n"

    def test_spoilt_chunks_and_trailers(self):
        """What was passed on before the spoilt line came is broken off."""
        for self.sent in (
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\nX A: 1\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n5x\r\nhello\r\n0\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0x\r\nid: 2\ndata: 2\n\n",
        ):
            self.proofs = []
            head, _, body = self.whole_exchange(1, b"q").partition(b"\r\n\r\n")
            is_own_failure = head.startswith(b"HTTP/1.1 502 ")
            is_broken_off = body in (b"", b"5\r\nhello\r\n")
            self.assertThat(is_own_failure or is_broken_off, Equals(True), f"{head} {body}")
            self.assertThat(len(self.proofs), Equals(1))
            self.assertThat(self.proofs[0] in ("unknown", "cut"), Equals(True), str(self.proofs))
