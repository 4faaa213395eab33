"""How the product reads the bytes of one response, which a raw stand-in sends before it closes the
connection."""

import strict_responses
from routing import engine_calls
from routing.engine_api import EngineRequest
from test_response_identity import WAIT_S, Exchanges
from testtools.matchers import Equals

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


# Bytes that spoil a response if they are put somewhere.
SPOILT = b"\0\t\n\r\x0b :;,-+0159afAT\x7f\x80\xff"


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

    def called(self, sent):
        """(status, body) that `engine_calls.call` reads, or None."""
        engine = self.engine(["read", sent, "close"])
        request = EngineRequest("GET", engine.url + "/x", b"")
        ended = engine_calls.call(request, WAIT_S * 1000, 5000)
        engine.close()
        return (ended.code, ended.data) if ended.code else None

    def streamed(self, sent):
        """(status, body) of a stream that `engine_calls.stream` reads, or None."""
        engine = self.engine(["read", sent, "close"])
        request = EngineRequest("GET", engine.url + "/x", b"")
        events = list(engine_calls.stream(request, WAIT_S * 1000, 5000))
        engine.close()
        body = b"".join(value for kind, value in events if kind == "data")
        code = events[-1][1].code
        return (code, body) if code else None

    def refused(self, *responses):
        for sent in responses:
            self.assertThat(strict_responses.parse(sent), Equals(None), repr(sent))
            for read in (self.proxied, self.called, self.streamed):
                self.assertThat(read(sent), Equals(None), f"{read.__name__} {sent}")
