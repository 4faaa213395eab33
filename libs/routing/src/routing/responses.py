"""An engine's answer as it is passed on to a caller: unchanged, of the length that is
really sent, and never whole to look at when it is cut."""

from werkzeug.wrappers import Response

__all__ = ["CutOff", "Passing", "given", "response", "streamed"]

_HOP = frozenset(
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


def _bodiless(told, head):
    return told["method"] == "HEAD" or head.code in _WITHOUT_BODY


def streamed(told, head):
    """Whether an answer is passed on as it comes; failures are whole or not at all."""
    return told["kind"] == "stream" and head.code < 300 and not _bodiless(told, head)


class CutOff(ConnectionError):
    """Breaks the answer off, so that nothing cut looks complete."""


class _Answer(Response):
    """An engine's answer: nothing is added to its head."""

    default_mimetype = None
    automatically_set_content_length = False


class Passing:
    """The parts of a streamed answer; `unread` is called if it is closed before the
    first was asked for, since a generator that never began runs none of its code."""

    def __init__(self, parts, unread):
        self._parts, self._unread, self._begun = parts, unread, False

    def __iter__(self):
        return self

    def __next__(self):
        self._begun = True
        return next(self._parts)

    def close(self):
        if not self._begun:
            self._begun = True
            self._unread()
        self._parts.close()


def response(told, head, body):
    """An answer with the engine's head; the length is told of what is passed on, and not
    at all of a stream, which may be joined from several legs."""
    headers = [(n, v) for n, v in head.headers if n.lower() not in _HOP]
    if not _bodiless(told, head):
        headers = [(n, v) for n, v in headers if n.lower() != "content-length"]
        if isinstance(body, list):
            headers.append(("Content-Length", str(sum(map(len, body)))))
    return _Answer(body, f"{head.code} {head.reason}", headers, direct_passthrough=True)


def given(made, environ, start_response):
    """The parts of a response on their way to a caller.  One that can't be given, as one
    whose head holds what no head may, is closed: its task is over."""
    try:
        return made(environ, start_response)
    except BaseException:
        made.close()
        raise
