"""Stand-in callers of the platform: requests with ids and deadlines over plain
sockets, tried again as the platform's clients may, and what is wrong with answers."""

import random
import socket
import time
from dataclasses import dataclass, field

__all__ = ["Request", "Answer", "send", "sent", "read", "ask", "made", "wrong"]

_PROMISES = (408, 421, 429, 503)
_PATIENCE_S = 1.5


@dataclass(frozen=True)
class Request:
    kind: str
    host: str
    path: str
    body: bytes = b""
    headers: tuple = ()
    events: int = 0
    deadlineMs: int = 20000
    key: str = ""


@dataclass
class Answer:
    """`whole`: it ended in order.  Status 0: there was none."""

    id: str
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


def made(rng, route, parcel="", most=40):
    """A request on a route of the configuration; a stream names its model."""
    path = f"{route['pathPrefix']}{rng.getrandbits(32):08x}?q={rng.randrange(9)}"
    body = rng.randbytes(rng.randrange(1, 200))
    if route["kind"] != "stream":
        return Request(route["kind"], route["host"], path, body)
    shared, own = rng.randrange(50, 300), rng.randrange(20, 200)
    parts = f"{rng.randrange(4):x}:{shared},{rng.getrandbits(40):x}:{own}"
    return Request(
        "stream" if not route.get("resumable") else "resumable",
        route["host"],
        path,
        body,
        (f"X-Parcel: {parcel}", f"X-Tokens: {shared + own},{most}", f"X-Prompt-Prefix: {parts}"),
        most,
    )


def send(address, request, timeout_s=20.0):
    """One try on a connection of its own; the body has a length, or comes in chunks."""
    answer = Answer(f"{random.SystemRandom().getrandbits(64):016x}")
    host, _, port = address.rpartition(":")
    got = b""
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.sendall(sent(answer.id, request))
            while part := sock.recv(65536):
                got += part
    except OSError:
        pass
    return read(answer, got)


def sent(id_, request):
    """The bytes of a try with an id of its own."""
    head = [
        f"POST {request.path} HTTP/1.1",
        f"Host: {request.host}",
        f"X-Try-Id: {id_}",
        f"X-Deadline-Ms: {request.deadlineMs}",
        *([f"X-Credential: {request.key}"] if request.key else []),
        *request.headers,
    ]
    return "\r\n".join(head).encode() + _body(request.body)


def _body(data):
    """The last of the head, and the body: every other one in chunks."""
    if len(data) % 2:
        return b"\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)
    parts = [data[at : at + 50] for at in range(0, len(data), 50)]
    return (
        b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        + b"0\r\n\r\n"
    )


def read(answer, got):
    """The answer, filled in from all the bytes that came."""
    head, found, rest = got.partition(b"\r\n\r\n")
    if not found:
        return answer
    lines = head.decode("latin1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    answer.headers = {
        n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])
    }
    if answer.headers.get("transfer-encoding", "") == "chunked":
        answer.body, answer.whole = _unchunked(rest)
    else:
        answer.body = rest
        answer.whole = len(rest) == int(answer.headers.get("content-length", -1))
    return answer


def _unchunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16) if size else -1
        if count == 0:
            return body, data == b"\r\n"
        if count < 0 or len(data) < count:
            return body + data[: max(0, count)], False
        body, data = body + data[:count], data[count + 2 :]
    return body, False


def ask(addresses, request, limit_s=30.0, rng=random):
    """All tries of one request until one is answered: the answers, the last one last.
    What may not be repeated is tried again only after a promise."""
    end_s, tries = time.monotonic() + limit_s, []
    while True:
        answer = send(rng.choice(addresses()), request)
        tries.append(answer)
        if (
            answer.status
            and answer.status < 500
            and answer.status not in _PROMISES
            and answer.whole
        ):
            return tries
        again = answer.status in _PROMISES or request.kind in ("safe", "resumable")
        if not again or time.monotonic() > end_s:
            return tries
        wait_s = float(answer.headers.get("retry-after", 0.05))
        time.sleep(min(wait_s, _PATIENCE_S))


def wrong(request, answer):
    """What is wrong with a success, or an empty text."""
    if answer.status != 200 or not answer.whole:
        return "no success"
    if answer.headers.get("x-try-id") != answer.id or not answer.headers.get("x-postmark"):
        return "not our answer"
    if request.kind in ("safe", "unsafe"):
        told = f"{answer.id} POST {request.path} {request.body.hex()}".encode()
        return "" if answer.body == told else "not our body"
    events = [e for e in answer.body.decode().split("\n\n") if e]
    count = int(events[0].rpartition(":")[2]) if events else 0
    want = [f"id: {n}\ndata: {answer.id}:{n}:{count}" for n in range(1, count + 1)]
    return "" if events == want and count else "not its events"
