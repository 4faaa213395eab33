"""Heads of responses that are broken: none is taken for a response, whatever reads it.

Guards against heads that curl and this product read in different ways: a body was framed by one
reading and passed on by the other, so that a body that wasn't the engine's looked complete.
"""

import strict_responses
from response_harness import CHUNKED, CHUNKS, LENGTH, OK, Read
from testtools.matchers import Equals


class SpoiltLengths(Read):
    def test_values_that_are_no_length(self):
        for value in (
            b"",
            b"5x",
            b"x5",
            b"0x5",
            b"+5",
            b"-5",
            b"5 5",
            b"5,",
            b"5.0",
            b'"5"',
            b"5;",
            b"\xb5",
            b"5\x00",
            b"5\x0b",
            b"\x015",
            b"99999999999999999999999",
            b"18446744073709551621",
            b"0000000000000005",
        ):
            self.refused(OK + b"Content-Length: " + value + b"\r\n\r\nhello")

    def test_told_in_two_ways(self):
        self.refused(
            OK + b"Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
            OK + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
            OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
            OK + b"Content-Length: 5, 5\r\n\r\nhello",
            OK + b"Content-Length: 5,3\r\n\r\nhello",
            OK + CHUNKED + LENGTH + b"\r\n" + CHUNKS,
            OK + LENGTH + CHUNKED + b"\r\n" + CHUNKS,
            OK + CHUNKED + CHUNKED + b"\r\n" + CHUNKS,
        )

    def test_codings_that_are_not_chunked_alone(self):
        for coding in (
            b"",
            b"chunked, chunked",
            b"chunked,",
            b"gzip, chunked",
            b"chunked, gzip",
            b"xchunked",
            b"chunkedx",
            b"chunked;q=1",
            b'"chunked"',
            b"chunked\x00",
            b"\x0bchunked",
            b"identity",
        ):
            self.refused(OK + b"Transfer-Encoding: " + coding + b"\r\n\r\n" + CHUNKS)
        self.refused(b"HTTP/1.0 200 OK\r\n" + CHUNKED + b"\r\n" + CHUNKS)

    def test_of_responses_that_have_no_body(self):
        self.refused(
            b"HTTP/1.1 204 No\r\n" + LENGTH + b"\r\nhello",
            b"HTTP/1.1 204 No\r\n" + CHUNKED + b"\r\n" + CHUNKS,
            b"HTTP/1.1 103 Early\r\n" + LENGTH + b"\r\n" + OK + LENGTH + b"\r\nhello",
            b"HTTP/1.1 103 Early\r\n" + CHUNKED + b"\r\n" + OK + LENGTH + b"\r\nhello",
        )

    def test_nothing_is_passed_on_if_the_length_is_not_told(self):
        """A name that is spoilt to another good name leaves a body without an end, and if it was
        `Transfer-Encoding`, the sizes of chunks would be passed on as parts of the body."""
        for name in (b"Transfer-Encodinh", b"ransfer-Encoding", b"X"):
            engine = self.engine(["read", OK + name + b": chunked\r\n\r\n" + CHUNKS, "close"])
            head, body, ended = self.ask(engine)
            self.assertThat((head, body, ended.code), Equals((None, b"", 0)), name)
            self.refused(OK + name + b": chunked\r\n\r\n" + CHUNKS)


class LinesThatAreNoFields(Read):
    def test_lines(self):
        for line in (
            b"no field",
            b"Content-Length",
            b"Content-Length 5",
            b"Content-Length=5",
            b"\x00",
            b"\x01",
            b"\xff\xfe",
            b"HTTP/1.1 200 OK",
            b": value",
            b":",
        ):
            self.refused(
                OK + line + b"\r\n" + LENGTH + b"\r\nhello",
                OK + LENGTH + line + b"\r\n\r\nhello",
                OK + line + b"\r\n" + CHUNKED + b"\r\n" + CHUNKS,
            )

    def test_a_first_line_that_is_folded(self):
        self.refused(OK + b" A: 1\r\n" + LENGTH + b"\r\nhello", OK + b"\tA\r\n" + LENGTH + b"\r\n")

    def test_line_ends(self):
        self.refused(
            OK + b"A: 1\n" + LENGTH + b"\r\nhello",
            OK + LENGTH + b"\nhello",
            OK + LENGTH[:-2] + b"\n\r\nhello",
            OK + LENGTH[:-2] + b"\r\r\n\r\nhello",
            OK + LENGTH + b"\r\r\nhello",
            OK[:-2] + b"\n" + LENGTH + b"\r\nhello",
            OK[:-2] + b"\r\r\n" + LENGTH + b"\r\nhello",
            OK + b"A: 1\rB: 2\r\n" + LENGTH + b"\r\nhello",
            b"\r\n" + OK + LENGTH + b"\r\nhello",
            b"\n" + OK + LENGTH + b"\r\nhello",
        )

    def test_lines_of_interim_responses(self):
        for interim in (b"no field\r\n", b": 1\r\n", b"A: 1\n", b"A: \x00\r\n"):
            self.refused(b"HTTP/1.1 103 Early\r\n" + interim + b"\r\n" + OK + LENGTH + b"\r\nhello")


class GoodResponses(Read):
    def test_stay_good(self):
        names = (
            b"!#$%&'*+-.^_`|~09azAZ: 1\r\nX-Empty:\r\nX-Blanks: \t a b\t \r\nX-Latin: \xe9\xff\r\n"
        )
        for sent, code, body in (
            (OK + names + LENGTH + b"\r\nhello", 200, b"hello"),
            (OK + names + CHUNKED + b"\r\n" + CHUNKS, 200, b"hello"),
            (b"HTTP/1.1 200 \r\n" + LENGTH + b"\r\nhello", 200, b"hello"),
            (b"HTTP/1.1 200\r\n" + LENGTH + b"\r\nhello", 200, b"hello"),
            (b"HTTP/1.0 404 N\xe9\t: o\r\n" + LENGTH + b"\r\nhello", 404, b"hello"),
            (OK + b"content-LENGTH:5\r\n\r\nhello", 200, b"hello"),
            (OK + b"Content-Length: \t05 \r\n\r\nhello", 200, b"hello"),
            (OK + b"transfer-encoding:CHUNKED\r\n\r\n" + CHUNKS, 200, b"hello"),
            (OK + CHUNKED + b"\r\n5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 200, b"hello"),
            (OK + b"Content-Length: 0\r\n\r\n", 200, b""),
            (b"HTTP/1.1 204 No\r\n\r\n", 204, b""),
            (b"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n", 204, b""),
            (b"HTTP/1.1 304 No\r\nContent-Length: 5\r\n\r\n", 304, b""),
            (b"HTTP/1.1 599 X\r\n" + LENGTH + b"\r\nhello", 599, b"hello"),
            (
                b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 \r\n\r\n"
                + OK
                + LENGTH
                + b"\r\nhello",
                200,
                b"hello",
            ),
            (OK + LENGTH + b"A: 1\r\n  2\r\n\r\nhello", 200, b"hello"),
        ):
            self.assertThat(self.proxied(sent), Equals(strict_responses.parse(sent)), repr(sent))
            self.assertThat(self.called(sent), Equals((code, body)), repr(sent))
            self.assertThat(self.streamed(sent), Equals((code, body)), repr(sent))

    def test_of_a_request_for_the_head_alone(self):
        for sent in (
            OK + b"Content-Length: 9\r\n\r\n",
            OK + CHUNKED + b"\r\n",
            OK + b"A: 1\r\n\r\n",
        ):
            parsed = strict_responses.parse(sent, "HEAD")
            self.assertThat(self.proxied(sent, "HEAD"), Equals(parsed), repr(sent))
