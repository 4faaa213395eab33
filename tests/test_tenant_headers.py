"""Only this node tells an engine the tenant of a request, and engines never get a client's key."""

import random
import socket

from adapter import callers
from hypothesis import given, settings
from hypothesis import strategies as st
from pulleyhitch.caller_connection import CallerConnection
from pulleyhitch.http_handler import RequestHandler, ServerContext
from pulleyhitch.request_framing import Complete, parse_request
from routing.tasks import Attempt
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures
from werkzeug.wrappers import Request

KEY = b"k-5e3c0de5"
FORGED = ("X-Sender", "X-Credential")
ATTEMPT = Attempt("e1", "http://e1", 1000.0, 3)
CASES = (str, str.upper, str.lower, str.swapcase)


def facts_of(lines):
    """The facts that the adapter reads from a request with these header lines, as received."""
    head = b"\r\n".join([b"POST /a/b HTTP/1.1", b"Host: h.example", *lines, b"", b""])
    request = parse_request(head, 10)
    assert isinstance(request, Complete), request
    server, client = socket.socketpair()
    with server, client:
        front = ServerContext(("h", 1), None, None)
        handler = RequestHandler(
            CallerConnection(server, ("c", 1), 0.0, request=request), ("c", 1), front
        )
        return callers.read_caller(Request(handler.wsgi_environ), handler.target)


def sent_to_engine(facts, attempt):
    """[(name, value)] of the header lines of an attempt, names in lower case."""
    lines = [line.partition(":") for line in callers.attempt_headers(facts, attempt, 0)]
    return [(name.strip(";").lower(), value.strip()) for name, _, value in lines]


def tenant_lines(facts, attempt):
    forged = {name.lower() for name in FORGED}
    return [pair for pair in sent_to_engine(facts, attempt) if pair[0] in forged]


class TenantHeaders(TestCase):
    # Guards against UNASKED: a tenant's name that the client sent is passed on to the engine.
    def test_a_clients_own_tenant_fields_are_dropped(self):
        for tenant in (None, "acme"):
            attempt = Attempt("e1", "http://e1", 1000.0, 3, tenant=tenant)
            expected = [("x-sender", tenant)] if tenant else []
            for name in FORGED:
                for case in CASES:
                    line = f"{case(name)}: forged".encode()
                    for lines in ([line], [line, line], [line, b"Connection: " + name.encode()]):
                        found = tenant_lines(facts_of(lines), attempt)
                        self.assertThat(found, Equals(expected), f"{lines}")

    # Guards against UNASKED: a header hidden in a folded line of another one.
    def test_folded_lines_are_refused(self):
        for lines in (b"X-Odd: a\r\n X-Sender: forged", b"X-Odd: a\rX-Sender: forged"):
            head = b"POST /a/b HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n\r\n"
            self.assertThat(parse_request(head, 10).status, Equals(400))

    # Guards against UNASKED: any combination of the headers, in any case and order.
    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((*FORGED, "Connection", "X-Odd")),
                st.sampled_from(CASES),
                st.sampled_from(("forged", "", "X-Sender", "x-credential, close", "k-5e3c0de5")),
            ),
            max_size=6,
        ),
        st.sampled_from((None, "acme")),
    )
    def test_any_mix_of_headers(self, fields, tenant):
        lines = [f"{case(name)}: {value}".encode() for name, case, value in fields]
        attempt = Attempt("e1", "http://e1", 1000.0, 3, tenant=tenant)
        expected = [("x-sender", tenant)] if tenant else []
        self.assertThat(tenant_lines(facts_of(lines), attempt), Equals(expected))

    def test_a_name_is_sent_as_its_utf8_bytes(self):
        attempt = Attempt("e1", "http://e1", 1000.0, 3, tenant="č-åß")
        (line,) = [
            h for h in callers.attempt_headers(facts_of([]), attempt, 0) if h.startswith("X-Sender")
        ]
        self.assertThat(line.encode("latin1"), Equals("X-Sender: č-åß".encode()))


class KeyRead(TestCase):
    def test_a_single_key_is_read(self):
        for line in (b"X-Credential: %s", b"x-credential:%s", b"X-CREDENTIAL:\t %s \t"):
            self.assertThat(facts_of([line % KEY])["key"], Equals(KEY))
        odd = bytes(range(0x80, 0x100)) + b"\x0b\x0c\x1c"
        self.assertThat(
            facts_of([b"X-Credential: a" + odd + b"z"])["key"], Equals(b"a" + odd + b"z")
        )

    # Guards against UNASKED: a request with two keys belongs to no tenant.
    def test_a_repeated_key_header_holds_no_key(self):
        line = b"X-Credential: " + KEY
        for lines in ([line, line], [line, b"x-credential: other"], [line, b"X-CREDENTIAL:"]):
            rng = random.Random(1)
            for _ in range(3):
                rng.shuffle(lines)
                self.assertThat(facts_of(lines)["key"], Equals(b""))

    def test_missing_and_empty_keys(self):
        for lines in ([], [b"X-Credential:"], [b"X-Credential: \t"], [b"X_Credential: k"]):
            self.assertThat(facts_of(lines)["key"], Equals(b""))

    def test_a_key_named_in_connection_is_still_read(self):
        lines = [b"X-Credential: " + KEY, b"Connection: x-credential"]
        self.assertThat(facts_of(lines)["key"], Equals(KEY))


class Refused(TestCase):
    def test_status_and_no_key(self):
        failure = failures.Unauthorized("ab12cd34")
        status, headers, body = callers.refusal(failure)
        self.assertThat((status, "Retry-After" in headers), Equals((401, False)))
        self.assertThat(KEY.decode() in body, Equals(False))
