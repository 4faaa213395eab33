"""Broken responses of engines: none is taken for a response, whatever reads it.

A raw stand-in sends the bytes of one response and closes the connection.  Guards against heads
that curl and this product read in different ways: a body was framed by one reading and passed on by
the other, so that a body that wasn't the engine's looked complete.
"""

import strict_responses
from hypothesis import example, given, settings
from hypothesis import strategies as st
from test_response_identity import Exchanges
from testtools.matchers import Equals

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


class Read(Exchanges):
    """How each reader of responses reads some bytes."""

    def proxied(self, sent, method="GET"):
        """The strict_responses.Response that `proxying` reads, or None."""
        engine = self.engine(["read", sent, "close"])
        head, body, ended = self.ask(engine, method=method, fresh=True)
        engine.close()
        if not ended.code:
            return None
        return strict_responses.Response(ended.code, head.reason, head.headers, body)

    def refused(self, *responses):
        for sent in responses:
            self.assertThat(strict_responses.parse(sent), Equals(None), repr(sent))
            self.assertThat(self.proxied(sent), Equals(None), repr(sent))


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


class SpoiltNames(Read):
    SPOILT = (
        b" ",
        b"\t",
        b"\x00",
        b"\x01",
        b"\x0b",
        b"\x1f",
        b"\x7f",
        b"\x80",
        b"\xff",
        b"(",
        b"@",
    )

    def test_of_any_field(self):
        for spoilt in self.SPOILT:
            for name in (spoilt + b"X-A", b"X-" + spoilt + b"A", b"X-A" + spoilt):
                self.refused(
                    OK + LENGTH + name + b": 1\r\n\r\nhello",
                    OK + name + b": 1\r\n" + LENGTH + b"\r\nhello",
                )

    def test_of_a_field_that_tells_the_length(self):
        for spoilt in self.SPOILT:
            self.refused(
                OK + b"Content-Length" + spoilt + b": 5\r\n\r\nhello",
                OK + b"Content" + spoilt + b"-Length: 5\r\n\r\nhello",
                OK + b"Transfer-Encoding" + spoilt + b": chunked\r\n" + LENGTH + b"\r\n" + CHUNKS,
                OK + b"Transfer-" + spoilt + b"Encoding: chunked\r\n" + LENGTH + b"\r\n" + CHUNKS,
                OK + b"Transfer-Encoding" + spoilt + b": chunked\r\n\r\n" + CHUNKS,
            )

    def test_control_bytes_in_values(self):
        for spoilt in (b"\x00", b"\x01", b"\x0b", b"\x0c", b"\x1b", b"\x7f"):
            self.refused(
                OK + LENGTH + b"X-A: 1" + spoilt + b"\r\n\r\nhello",
                OK + LENGTH + b"X-A:" + spoilt + b"1\r\n\r\nhello",
                OK + LENGTH + b"X-A: a" + spoilt + b"b\r\n\r\nhello",
            )


class SpoiltStatusLines(Read):
    def test_statuses(self):
        for status in (
            b"000",
            b"001",
            b"099",
            b"600",
            b"999",
            b"2000",
            b"20",
            b"2",
            b"",
            b"2 0",
            b"2x0",
            b"+20",
            b"-20",
            b"200:",
            b"200OK",
            b"\xb2\xb2\xb2",
        ):
            self.refused(b"HTTP/1.1 " + status + b" OK\r\n" + LENGTH + b"\r\nhello")

    def test_lines(self):
        for line in (
            b"http/1.1 200 OK",
            b"HTTP/1.1\t200 OK",
            b"HTTP/1.1  200 OK",
            b"HTTP/1.1 200\tOK",
            b"HTTP/1.1 200: OK",
            b"HTTP/1.1200 OK",
            b" HTTP/1.1 200 OK",
            b"HTTP/1.2 200 OK",
            b"HTTP/2 200 OK",
            b"HTTP/2.0 200 OK",
            b"HTTP/3 200 OK",
            b"HTTP/0.9 200 OK",
            b"HTTP/1 200 OK",
            b"HTTP/11 200 OK",
            b"HTTP 200 OK",
            b"ICY 200 OK",
            b"RTSP/1.0 200 OK",
            b"HTTP/1.1 200 O\x00K",
            b"HTTP/1.1 200 O\x01K",
            b"HTTP/1.1 200 \x7f",
        ):
            self.refused(line + b"\r\n" + LENGTH + b"\r\nhello")

    def test_a_change_of_the_protocol(self):
        self.refused(
            b"HTTP/1.1 101 Switching\r\nUpgrade: h\r\n\r\n" + OK + LENGTH + b"\r\nhello",
            b"HTTP/1.1 101 Switching\r\nUpgrade: h\r\n" + LENGTH + b"\r\nhello",
        )


class Trailers(Read):
    def test_are_no_part_of_the_head(self):
        """Whether they arrive with the head or after it."""
        sent = OK + CHUNKED + b"A: 1\r\n\r\n5\r\nhello\r\n0\r\n"
        trailer = b"X-Try-Id: t\r\nX-Postmark: p\r\nX-Not-Run: full\r\nA: 2\r\n\r\n"
        for sleeps in (False, True):
            engine = self.engine(["read", sent + (b"" if sleeps else trailer), trailer, "close"])
            head, body, ended = self.ask(engine)
            self.assertThat(
                head.headers, Equals((("Transfer-Encoding", "chunked"), ("A", "1"))), sleeps
            )
            self.assertThat((body, ended.code), Equals((b"hello", 200)))


class GoodResponses(Read):
    def test_stay_good(self):
        names = (
            b"!#$%&'*+-.^_`|~09azAZ: 1\r\nX-Empty:\r\nX-Blanks: \t a b\t \r\nX-Latin: \xe9\xff\r\n"
        )
        for sent, _, _ in (
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

    def test_of_a_request_for_the_head_alone(self):
        for sent in (
            OK + b"Content-Length: 9\r\n\r\n",
            OK + CHUNKED + b"\r\n",
            OK + b"A: 1\r\n\r\n",
        ):
            parsed = strict_responses.parse(sent, "HEAD")
            self.assertThat(self.proxied(sent, "HEAD"), Equals(parsed), repr(sent))


@st.composite
def responses(draw):
    """(head, body) of a good response."""
    body = draw(st.binary(max_size=20))
    fields = draw(
        st.lists(
            st.sampled_from(
                [
                    b"X-Try-Id: 7c",
                    b"X-Postmark: e.7c",
                    b"Keep-Alive: timeout=3",
                    b"Connection: close",
                    b"Content-Type: text/plain",
                    b"A:",
                ]
            ),
            max_size=4,
            unique=True,
        )
    )
    if draw(st.booleans()):
        fields.append(b"Content-Length: %d" % len(body))
    else:
        fields.append(b"Transfer-Encoding: chunked")
        body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    first = draw(st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.1 500 Failed", b"HTTP/1.1 404 "]))
    interim = draw(st.sampled_from([b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"]))
    return interim + b"\r\n".join([first, *draw(st.permutations(fields))]) + b"\r\n\r\n", body


SPOILT = b"\0\t\n\r\x0b :;,-+0159afAT\x7f\x80\xff"


@st.composite
def spoilt_responses(draw):
    """A response in whose head some bytes or lines are changed."""
    head, body = draw(responses())
    for _ in range(draw(st.integers(0, 2))):
        at = draw(st.integers(0, len(head)))
        dropped = draw(st.integers(0, 2))
        put = draw(st.lists(st.sampled_from([bytes([b]) for b in SPOILT]), max_size=2))
        head = head[:at] + b"".join(put) + head[at + dropped :]
    if draw(st.booleans()):
        lines = head.split(b"\r\n")
        source = draw(st.integers(0, len(lines) - 1))
        lines.insert(draw(st.integers(0, len(lines) - 1)), lines[source])
        if draw(st.booleans()):
            lines.pop(draw(st.integers(0, len(lines) - 1)))
        head = b"\r\n".join(lines)
    return head + body


class Spoilt(Read):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(spoilt_responses())
    @example(OK + b"Transfer-Encoding : chunked\r\n" + LENGTH + b"\r\n" + CHUNKS)
    def test_read_as_a_strict_parser_reads_it(self, sent):
        expected = strict_responses.parse(sent)
        self.assertThat(self.proxied(sent), Equals(expected), repr(sent))
