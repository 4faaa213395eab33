"""Framing of requests: ambiguous requests are refused, and incomplete ones are never complete."""

from hypothesis import given, settings
from hypothesis import strategies as st
from pulleyhitch.request_framing import Complete, Incomplete, Malformed, parse_request
from testtools import TestCase
from testtools.matchers import Equals

HEAD = b"POST /a/b HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n"
LIMIT_BYTES = 5000

bodies = st.binary(max_size=300)


def encode_chunked(body, sizes, extension=b"", trailers=b""):
    """The body in chunked encoding; the sizes are used in turn."""
    out, at, turn = b"", 0, 0
    while at < len(body):
        chunk = body[at : at + sizes[turn % len(sizes)]]
        out += b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk)
        at, turn = at + len(chunk), turn + 1
    return out + b"0\r\n" + trailers + b"\r\n"


@st.composite
def requests(draw):
    """(valid request, its body)"""
    body = draw(bodies)
    if draw(st.booleans()):
        return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body), body
    sizes = draw(st.lists(st.integers(1, 90), min_size=1, max_size=4))
    extension = draw(st.sampled_from([b"", b";a=b", b" ; x"]))
    trailers = draw(st.sampled_from([b"", b"X-Sum: 1\r\n"]))
    sent = encode_chunked(body, sizes, extension, trailers)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + sent, body


class Valid(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(requests(), st.binary(max_size=40))
    def test_every_prefix_is_incomplete(self, request, after):
        """Each prefix is incomplete, and bytes after the request change nothing."""
        sent, body = request
        end = sent.find(b"\r\n\r\n") + 4
        for at in range(len(sent)):
            self.assertThat(parse_request(bytearray(sent[:at]), LIMIT_BYTES), Equals(Incomplete()))
        self.assertThat(
            parse_request(bytearray(sent + after), LIMIT_BYTES), Equals(Complete(sent[:end], body))
        )

    def test_without_a_body(self):
        for line in (b"GET / HTTP/1.1\r\n", b"GET /\xc3\xa9?a=/#b HTTP/1.0\r\nA:\r\n"):
            sent = line + b"\r\n"
            self.assertThat(parse_request(sent + b"rest", LIMIT_BYTES), Equals(Complete(sent, b"")))


class Refused(TestCase):
    def refused(self, sent, status=400):
        parsed = parse_request(bytearray(sent), LIMIT_BYTES)
        self.assertIsInstance(parsed, Malformed, f"{sent[:80]} {parsed}")
        self.assertThat(parsed.status, Equals(status))

    def test_ambiguous_lengths(self):
        for fields in (
            b"Content-Length: 5\r\nContent-Length: 2\r\n",
            b"Content-Length: 5\r\nContent-Length: 5\r\n",
            b"Content-Length: 5, 5\r\n",
            b"Content-Length: +5\r\n",
            b"Content-Length: -5\r\n",
            b"Content-Length: 5x\r\n",
            b"Content-Length:\r\n",
            b"Content-Length : 5\r\n",
            b"content-length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\ntransfer-encoding: chunked\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Transfer-Encoding: identity\r\n",
        ):
            self.refused(HEAD + fields + b"\r\nhello")

    def test_heads_that_parsers_read_differently(self):
        for head in (
            HEAD + b"Bad Name: x\r\nX-Id: 8\r\n",
            HEAD + b"A: x\rX-Id: 8\r\n",
            HEAD + b"A: x\r\n X-Id: 8\r\n",
            HEAD + b"A: x\nX-Id: 8\r\n",
            HEAD + b"A: \0\r\n",
            HEAD + b": x\r\n",
            HEAD + b"no colon\r\n",
            HEAD + b"Host: other\r\n",
            b"\r\n" + HEAD,
            b"GET  / HTTP/1.1\r\n",
            b"GET / x HTTP/1.1\r\n",
            b"GET /\r\n",
            b"GET / HTTP/2.0\r\n",
            b"GET /\x7f HTTP/1.1\r\n",
        ):
            self.refused(head + b"\r\n")

    def test_chunks(self):
        for body in (
            b"-6\r\nabc\r\n0\r\n\r\n",
            b"0x3\r\nabc\r\n0\r\n\r\n",
            b"+3\r\nabc\r\n0\r\n\r\n",
            b"\r\nabc\r\n0\r\n\r\n",
            b"3\nabc\r\n0\r\n\r\n",
            b"3\r\nabcd\r\n0\r\n\r\n",
            b"3\r\nabc\n0\r\n\r\n",
            b"1" * 300,
            b"0\r\nbad trailer\r\n\r\n",
        ):
            self.refused(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)

    def test_beyond_the_limits(self):
        self.refused(HEAD + b"A: " + b"x" * 40000, 431)
        self.refused(HEAD + b"Content-Length: 5001\r\n\r\n", 413)
        self.refused(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1389\r\n", 413)


class Fuzzing(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(requests(), st.data())
    def test_mutated_requests(self, request, data):
        """Bytes are changed, dropped or inserted: parsing returns without an exception, and a
        complete request never holds more bytes than were sent."""
        sent = bytearray(request[0])
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(sent) - 1))
            dropped = data.draw(st.integers(0, 3))
            sent[at : at + dropped] = data.draw(
                st.sampled_from([b"", b"\r", b"\n", b"\r\n", b":", b"-", b"0", b"5", b" ", b"\0"])
            )
            if not sent:
                return
        parsed = parse_request(sent, LIMIT_BYTES)
        if isinstance(parsed, Complete):
            self.assertTrue(sent.startswith(parsed.head))
            self.assertTrue(len(parsed.head) + len(parsed.body) <= len(sent))
        else:
            self.assertIsInstance(parsed, (Incomplete, Malformed))
