"""How the product reads the bytes of one response, which a raw stand-in sends before it closes the
connection."""

import strict_responses
from test_response_identity import Exchanges
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

    def refused(self, *responses):
        for sent in responses:
            self.assertThat(strict_responses.parse(sent), Equals(None), repr(sent))
            self.assertThat(self.proxied(sent), Equals(None), repr(sent))
