"""Broken responses to what a node or an operator asks: orders, reports, the engine list, and
operators' commands.  None says whether an order was taken, what an engine holds, or what is in
force."""

import json
import queue

from adapter.dialect import DIALECT
from pulleyhitch import operator_commands
from pulleyhitch.engine_caller import EngineCaller
from response_harness import CHUNKED, CHUNKS, LENGTH
from routing.connection_pool import ConnectionPool
from test_response_identity import WAIT_S, Exchanges
from testtools.matchers import Equals
from transport.effects import EngineCall
from transport.events import CallEnded

ORDER = {"item": "m", "epoch": 1, "expected": 2, "size": 1, "shard": 1}
# Calls by verb: the body asked, and the body of a good response.
CALLS = {
    "load": (ORDER, {}),
    "unload": (ORDER, {}),
    "report": ({}, {"leg": "e", "parcels": [], "busy": False, "callSeq": 2}),
    "list": ({}, {"engines": [], "nextToken": None}),
}
STATUSES = (200, 202, 409, 412, 421)
# What breaks a head: a status line, or a line in it, in the place of a good one.
STATUS_LINES = (b"HTTP/1.1 000 X", b"HTTP/1.1 600 X", b"HTTP/1.1 %dX", b"http/1.1 %d X")
LINES = (
    b"Content-Length: 99999999999999999999999\r\n",
    LENGTH + b"Content-Length: 5\r\n",
    LENGTH + b": no field\r\n",
    LENGTH + b"no field\r\n",
    LENGTH + b"X A: 1\r\n",
    LENGTH + b"X-A\x01: 1\r\n",
    LENGTH + b"Transfer-Encoding : chunked\r\n",
    b"Content-Length : 5\r\n",
)


def broken_responses(status, body):
    """Responses of this status with broken heads, and one with a broken trailer."""
    told = b"Content-Length: %d\r\n" % len(body)
    for line in STATUS_LINES:
        first = line % status if b"%d" in line else line
        yield first + b"\r\n" + told + b"\r\n" + body
    for lines in LINES:
        own = lines.replace(LENGTH, told)
        yield b"HTTP/1.1 %d X\r\n" % status + own + b"\r\n" + body
    yield b"HTTP/1.1 %d X\r\n" % status + CHUNKED + b"\r\n" + CHUNKS[:-2] + b"X A: 1\r\n\r\n"


def good_response(status, body):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class OwnCalls(Exchanges):
    def ended(self, dialect, verb, sent):
        """The CallEnded of a call to an engine that sends some bytes."""
        engine, ends, errors = self.engine(["read", sent, "close"]), queue.SimpleQueue(), []
        caller = EngineCaller("n", dialect, ConnectionPool(), ends.put, errors.append)
        caller.submit(EngineCall("c", "e", engine.url, verb, CALLS[verb][0], WAIT_S * 1000))
        found = ends.get(timeout=WAIT_S)
        engine.close()
        self.assertThat(errors, Equals([]), repr(sent))
        return found

    def test_a_broken_response_is_none(self):
        for dialect, verbs in ((DIALECT, CALLS), (None, ("load", "unload", "report"))):
            for verb in verbs:
                body = json.dumps(CALLS[verb][1]).encode()
                for status in STATUSES:
                    for sent in broken_responses(status, body):
                        self.assertThat(
                            self.ended(dialect, verb, sent),
                            Equals(CallEnded("c", 0)),
                            f"{dialect is None} {verb} {sent}",
                        )

    def test_a_good_one_is_taken(self):
        for dialect, verbs in ((DIALECT, CALLS), (None, ("load", "unload", "report"))):
            for verb in verbs:
                body = json.dumps(CALLS[verb][1]).encode()
                for status in STATUSES:
                    found = self.ended(dialect, verb, good_response(status, body))
                    self.assertThat(found.code, Equals(status), verb)


class OperatorsCommands(Exchanges):
    def test_a_broken_response_is_none(self):
        body = json.dumps({"stamp": 7}).encode()
        for status in (200, 409, 503):
            for sent in broken_responses(status, body):
                engine = self.engine(["read", sent, "close"])
                node = engine.url.removeprefix("http://")
                found = operator_commands._request(node, "GET", "/operator/believes")
                self.assertThat(found, Equals((0, {})), repr(sent))
                engine.close()
            engine = self.engine(["read", good_response(status, body), "close"])
            node = engine.url.removeprefix("http://")
            found = operator_commands._request(node, "GET", "/operator/believes")
            self.assertThat(found, Equals((status, {"stamp": 7})))
