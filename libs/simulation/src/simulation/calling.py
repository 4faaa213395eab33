"""Stand-in callers: one task at a time, or a mix at a deployment's rates."""

import json
import socket

__all__ = ["read_stream"]


def read_stream(http, body, timeout_s=30, heard=lambda data: None):
    """Ask for a stream over a plain socket: (ended whole, the pieces).

    Whole means the chunked body was ended *and* the event `done` came.
    `heard` is told of what comes as it comes.
    """
    host, _, port = http.rpartition(":")
    data = json.dumps(body).encode()
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        sock.sendall(
            b"POST /v1/task HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)
        )
        got = b""
        try:
            while chunk := sock.recv(65536):
                got += chunk
                heard(chunk)
        except ConnectionError:
            pass
    head, _, rest = got.partition(b"\r\n\r\n")
    if b" 200 " not in head.partition(b"\r\n")[0]:
        return False, []
    text, ended = _unchunk(rest)
    events = [e for e in text.decode().split("\n\n") if e]
    found = [json.loads(e.partition("data: ")[2]) for e in events if "event: piece" in e]
    return ended and "event: done" in (events or [""])[-1], found


def _unchunk(data):
    """(body, whether the last chunk came)."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        try:
            count = int(size, 16)
        except ValueError:
            return body, False
        if count == 0:
            return body, True
        body += data[:count]
        if len(data) < count:
            return body, False
        data = data[count + 2 :]
    return body, False
