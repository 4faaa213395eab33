"""An engine's answer as it is passed on to a caller: unchanged, of the length that is
really sent, and never whole to look at when it is cut."""

from werkzeug.wrappers import Response

__all__ = ["ResponseAborted", "StreamedBody", "start", "build", "is_streamed"]

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


_WITHOUT_BODY = (204, 304)


def _has_no_body(request, head):
    return request["method"] == "HEAD" or head.code in _WITHOUT_BODY


def is_streamed(request, head):
    """Whether an answer is passed on as it comes; failures are whole or not at all."""
    return request["kind"] == "stream" and head.code < 300 and not _has_no_body(request, head)


class ResponseAborted(ConnectionError):
    """Breaks the answer off, so that nothing cut looks complete."""


class _EngineResponse(Response):
    """An engine's answer: nothing is added to its head."""

    default_mimetype = None
    automatically_set_content_length = False


class StreamedBody:
    """The parts of a streamed answer; `unread` is called if it is closed before the
    first was asked for, since a generator that never began runs none of its code."""

    def __init__(self, parts, on_unread):
        self._parts, self._on_unread, self._started = parts, on_unread, False

    def __iter__(self):
        return self

    def __next__(self):
        self._started = True
        return next(self._parts)

    def close(self):
        if not self._started:
            self._started = True
            self._on_unread()
        self._parts.close()


def build(request, head, body):
    """An answer with the engine's head; the length is told of what is passed on, and not
    at all of a stream, which may be joined from several legs."""
    headers = [(n, v) for n, v in head.headers if n.lower() not in _HOP_BY_HOP]
    if not _has_no_body(request, head):
        headers = [(n, v) for n, v in headers if n.lower() != "content-length"]
        if isinstance(body, list):
            headers.append(("Content-Length", str(sum(map(len, body)))))
    return _EngineResponse(body, f"{head.code} {head.reason}", headers, direct_passthrough=True)


def start(response, environ, start_response):
    """The parts of a response on their way to a caller.  One that can't be given, as one
    whose head holds what no head may, is closed: its task is over."""
    try:
        return response(environ, start_response)
    except BaseException:
        response.close()
        raise
