"""Single lines of a response's head that are broken, and heads in which anything is changed."""

import strict_responses
from hypothesis import example, given, settings
from hypothesis import strategies as st
from response_harness import CHUNKS, LENGTH, OK, SPOILT, Read
from testtools.matchers import Equals


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
        seen = None if expected is None else (expected.code, expected.body)
        self.assertThat(self.called(sent), Equals(seen), repr(sent))
