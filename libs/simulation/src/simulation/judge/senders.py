"""Callers that write requests in every allowed way, and note what they wrote."""

import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from simulation import platform_callers as callers
from simulation.judge.ledger import Answered, SentTry, digest, raw_fields
from simulation.judge.starvation import Asked
from simulation.platform_serving import now_ms

__all__ = ["MANNERS", "Senders", "Traffic"]

# How a caller writes: in one piece, byte by byte in parts, chunked, with more behind the
# end, only a part of it, or whole and gone before its answer.
MANNERS = ("whole", "parts", "chunked", "more", "half", "leaves")
_USUAL_SHARE = 0.75
_NAMED_SHARE = 0.1
_CHUNK_BYTES = 50
_READ_BYTES = 65_536
_MORE_PATIENCE_S = 4.0
_SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: h\r\nX-Try-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
# Fields that a caller may name in Connection though they are for the engine.
_NAMED = ("X-Parcel", "X-Prompt-Prefix", "X-Tokens", "X-Try-Id")


@dataclass(frozen=True)
class Traffic:
    """What callers ask for: routes of the configuration in force, and items of models."""

    routes: tuple
    items: tuple
    subjects: int = 12
    most_tokens: int = 24
    hold_ms: int = 8000

    @property
    def patience_s(self):
        """How long callers wait for an answer: longer than any route lets them."""
        return self.hold_ms / 1000 + _MORE_PATIENCE_S


class Senders:
    """`run` has callers send until `stop` is set; `asked` tells how each request fared."""

    def __init__(self, addresses, traffic, ledger, seed, callers_at_once):
        self._addresses, self._traffic, self._ledger = addresses, traffic, ledger
        self._seed, self._count = seed, callers_at_once
        self.asked = []

    def run(self, stop, limit):
        """Send until `stop()` or about `limit` tries, each caller one after the other."""
        with ThreadPoolExecutor(self._count) as pool:
            each = -(-limit // self._count)
            list(pool.map(lambda n: self._caller(n, stop, each), range(self._count)))

    def _caller(self, number, stop, limit):
        rng = random.Random(f"{self._seed}.{number}")
        for _ in range(limit):
            if stop():
                return
            addresses = self._addresses()
            if addresses:
                self._one(rng, rng.choice(addresses))
            else:
                time.sleep(0.1)

    def _one(self, rng, address):
        route = rng.choice(self._traffic.routes)
        request, subject, item = self._made(rng, route)
        id_ = f"{rng.getrandbits(64):016x}"
        manner = "whole" if rng.random() < _USUAL_SHARE else rng.choice(MANNERS)
        head, body = _wire(rng, id_, request, manner)
        got, whole = _exchange(rng, address, head + body, manner, self._traffic.patience_s)
        fields = dict(line.partition(": ")[::2] for line in request.headers)
        values = {name.lower(): value for name, value in fields.items()} | {"x-try-id": id_}
        self._ledger.add_sent(
            SentTry(
                id_,
                request.kind,
                frozenset(s["service"] for s in route["split"]),
                "POST",
                request.path,
                raw_fields(values),
                digest(request.body),
                whole,
                now_ms(),
            )
        )
        answer = callers.read(callers.Answer(id_), got)
        self._note(request, answer, subject, item, manner)

    def _note(self, request, answer, subject, item, manner):
        good = callers.wrong(request, answer) == ""
        if answer.status:
            told = answer.headers.get("x-try-id")
            self._ledger.add_answer(
                Answered(
                    answer.id,
                    answer.status,
                    answer.whole,
                    good,
                    "x-postmark" in answer.headers,
                    told is not None and told != answer.id,
                )
            )
        if manner not in ("half", "leaves"):
            items = (item.partition("/")[0], item) if "/" in item else (item,)
            self.asked.append(Asked(now_ms(), request.kind, subject, items if item else (), good))

    def _made(self, rng, route):
        """(request, subject, item); a stream names a model and an opening."""
        path = f"{route['pathPrefix']}{rng.getrandbits(32):08x}?q={rng.randrange(9)}"
        body = rng.randbytes(rng.choice((1, 60, 900, 20_000)))
        odd = f"X-Odd: {rng.getrandbits(24):x}"
        if route["kind"] != "stream":
            request = callers.Request(route["kind"], route["host"], path, body, (odd,))
            return request, "", ""
        item, subject = (
            rng.choice(self._traffic.items),
            f"{rng.randrange(self._traffic.subjects):x}",
        )
        shared, own = 120, rng.randrange(20, 200)
        fields = (
            odd,
            f"X-Parcel: {item}",
            f"X-Tokens: {shared + own},{self._traffic.most_tokens}",
            f"X-Prompt-Prefix: {subject}:{shared},{rng.getrandbits(40):x}:{own}",
        )
        kind = "resumable" if route.get("resumable") else "stream"
        most = self._traffic.most_tokens
        request = callers.Request(kind, route["host"], path, body, fields, most)
        return request, subject, item


def _wire(rng, id_, request, manner):
    """(head, body) as bytes."""
    lines = [f"X-Try-Id: {id_}", f"X-Deadline-Ms: {request.deadlineMs}", *request.headers]
    if rng.random() < _NAMED_SHARE:
        lines.append(f"Connection: close, {rng.choice(_NAMED)}")
    rng.shuffle(lines)
    chunked = manner == "chunked"
    length = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(request.body)}"
    head = [f"POST {request.path} HTTP/1.1", f"Host: {request.host}", *lines, length, "", ""]
    body = _chunks(request.body) if chunked else request.body
    return "\r\n".join(head).encode(), body + (_SMUGGLED if manner == "more" else b"")


def _chunks(data):
    size = max(_CHUNK_BYTES, len(data) // 4)
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def _exchange(rng, address, wire, manner, timeout_s):
    """(bytes that came back, whether the request was written whole)."""
    host, _, port = address.rpartition(":")
    end = rng.randrange(1, len(wire)) if manner == "half" else len(wire)
    got, whole = b"", False
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            step = max(1, end // 3) if manner == "parts" else end
            for at in range(0, end, step):
                sock.sendall(wire[at : min(end, at + step)])
            whole = manner != "half"
            if manner in ("half", "leaves"):
                time.sleep(0.02 * rng.random())
                return b"", whole
            while part := sock.recv(_READ_BYTES):
                got += part
    except OSError:
        pass
    return got, whole or manner != "half"
