"""Responses in chunks: what is no chunk, size or trailer by the grammar breaks them off."""

import strict_responses
from hypothesis import given, settings
from hypothesis import strategies as st
from response_harness import CHUNKED, OK, SPOILT, Read
from routing.chunked_body import ChunkedBodyCheck
from routing.response_reader import MALFORMED
from testtools.matchers import Equals


@st.composite
def chunked_bodies(draw):
    """A good chunked body."""
    body = b""
    for chunk in draw(st.lists(st.binary(min_size=1, max_size=20), max_size=3)):
        extension = draw(st.sampled_from([b"", b"", b" ", b";a=b", b" ; a"]))
        body += b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk)
    return body + b"0\r\n" + draw(st.sampled_from([b"", b"A: 1\r\n", b"A:\r\nB: 2\r\n"])) + b"\r\n"


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

    def test_broken_ones(self):
        """They break off a response whose body has been read."""
        for line in (
            b"no field\r\n",
            b": 1\r\n",
            b"A b: 1\r\n",
            b"A : 1\r\n",
            b"\x01A: 1\r\n",
            b"A: \x01\r\n",
            b"A: 1\n",
            b"A: 1\r\r\n",
            b"HTTP/1.1 200 OK\r\n",
        ):
            self.refused(OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\n" + line + b"\r\n")

    def test_data_in_the_place_of_a_trailer(self):
        """A spoilt size ends the body early, and the rest of it would be read as a trailer."""
        event = b"id: 1\ndata: x\n\n"
        self.refused(OK + CHUNKED + b"\r\n0?\r\n" + event + b"\r\n0\r\n\r\n")


class SpoiltChunks(Read):
    def test_size_lines(self):
        for size in (b"5x", b"5 5", b"5,", b"0x5", b"x5", b"+5", b"-5", b" 5", b"", b"5\x00"):
            chunk = size + b"\r\nhello\r\n0\r\n\r\n"
            self.refused(
                OK + CHUNKED + b"\r\n" + chunk,
                OK + CHUNKED + b"\r\n1\r\na\r\n" + chunk,
                OK + CHUNKED + b"\r\n5\r\nhello\r\n" + size.replace(b"5", b"0") + b"\r\n\r\n",
            )
        self.refused(
            OK + CHUNKED + b"\r\n000000005\r\nhello\r\n0\r\n\r\n",
        )

    def test_line_ends(self):
        self.refused(
            OK + CHUNKED + b"\r\n5\nhello\r\n0\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\n0\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello0\r\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\n\r\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\n\n",
            OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\n",
        )

    def test_nothing_after_the_spoilt_line_is_passed_on(self):
        """Also if it arrives in parts, on a connection that stays open."""
        sent, parts = OK + CHUNKED + b"\r\n", (b"3\r\none\r\n", b"3z\r\ntwo\r\n")
        engine = self.engine(["read", sent, *parts])
        _, body, ended = self.ask(engine)
        self.assertThat((body in (b"", b"one"), ended.code), Equals((True, 0)))
        self.assertThat(ended.cause, Equals(MALFORMED))

    def test_a_line_without_an_end(self):
        check = ChunkedBodyCheck()
        check.feed(b"5")
        for _ in range(40):
            check.feed(b" " * 1000)
        self.assertThat(check.is_malformed, Equals(True))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(chunked_bodies(), st.data())
    def test_checked_as_a_strict_parser_reads_it(self, body, data):
        """However the body is cut into parts; some of its bytes are changed."""
        for _ in range(data.draw(st.integers(0, 2))):
            at = data.draw(st.integers(0, len(body)))
            put = data.draw(st.lists(st.sampled_from([bytes([b]) for b in SPOILT]), max_size=2))
            body = body[:at] + b"".join(put) + body[at + data.draw(st.integers(0, 2)) :]
        check, at = ChunkedBodyCheck(), 0
        while at < len(body):
            end = at + data.draw(st.integers(1, 9))
            check.feed(body[at:end])
            at = end
        expected = strict_responses.parse(OK + CHUNKED + b"\r\n" + body) is not None
        self.assertThat(check.is_complete and not check.is_malformed, Equals(expected), repr(body))
