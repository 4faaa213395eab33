"""Responses passed on from an engine to a caller.

Status and end-to-end headers stay as the engine sent them, Content-Length is that of the bytes
actually passed on, and a response that is cut off never looks complete.
"""

from werkzeug.wrappers import Response

from routing.response_framing import has_no_body

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


def is_streamed(request, head):
    """Whether a response is passed on as it arrives.  Failures are read whole first, so that they
    are passed on completely or not at all."""
    return (
        request["kind"] == "stream" and head.code < 300 and not has_no_body(request["method"], head)
    )


class ResponseAborted(ConnectionError):
    """Raised while a streamed body is being sent, to close the connection, so that a cut response
    doesn't look complete."""


class _EngineResponse(Response):
    """A response with the engine's headers only; werkzeug adds no defaults."""

    default_mimetype = None
    automatically_set_content_length = False


class StreamedBody:
    """Iterator over the chunks of a streamed body.  Calls `on_unread` if it is closed before the
    first chunk was requested, because a generator that never started doesn't run its `finally`
    blocks."""

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
    """A response with the engine's status and headers.  Content-Length is computed from the body
    that is passed on, if that is a list; otherwise it is the engine's, and omitted for a stream,
    which may be joined from several attempts."""
    headers = [(n, v) for n, v in head.headers if n.lower() not in _HOP_BY_HOP]
    if not has_no_body(request["method"], head):
        headers = [(n, v) for n, v in headers if n.lower() != "content-length"]
        if isinstance(body, list):
            headers.append(("Content-Length", str(sum(map(len, body)))))
        elif head.get("content-length") is not None and not is_streamed(request, head):
            headers.append(("Content-Length", head.get("content-length")))
    return _EngineResponse(body, f"{head.code} {head.reason}", headers, direct_passthrough=True)


def start(response, environ, start_response):
    """Start a response and return its chunks.  If that fails, for instance because a header of the
    engine is invalid, the response is closed, which ends its task."""
    try:
        return response(environ, start_response)
    except BaseException:
        response.close()
        raise
