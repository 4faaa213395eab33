"""Callers that keep their connection: request after request on it, until it is gone."""

import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from simulation import platform_callers as callers
from simulation.judge.ledger import Answered, SentTry, digest, raw_fields
from simulation.judge.senders import Senders
from simulation.platform_serving import now_ms

__all__ = ["Broken", "KeptCallers", "read_one"]

_PART_BYTES = 65_536
_PAUSE_S = 0.05
# Callers rest a little now and then, so that stops find their connections idle.
_REST_SHARE, _REST_S = 0.2, 0.5


class Broken(Exception):
    """A connection ended before a whole answer; `begun`: some of one had come."""

    def __init__(self, begun):
        super().__init__("connection ended")
        self.begun = begun


def read_one(receive, kept):
    """(one whole answer's bytes, what came behind it).  `receive()` gives more bytes, none at
    the end; `kept`: bytes that came before.  Raises Broken."""
    got = kept
    while b"\r\n\r\n" not in got:
        got = _more(receive, got)
    head, _, body = got.partition(b"\r\n\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in head.split(b"\r\n")[1:])
    }
    start = len(head) + 4
    if fields.get(b"transfer-encoding") == b"chunked":
        while not callers.read(callers.Answer(""), got).whole:
            got = _more(receive, got)
        return got, b""
    end = start + int(fields.get(b"content-length", b"0"))
    while len(got) < end:
        got = _more(receive, got)
    return got[:end], got[end:]


def _more(receive, got):
    part = receive()
    if not part:
        raise Broken(bool(got))
    return got + part


class KeptCallers(Senders):
    """`run` as Senders does.  `lost` lists (address, from, to, begun) in ms of requests whose
    connection ended without a whole answer."""

    def __init__(self, addresses, traffic, ledger, seed, callers_at_once):
        super().__init__(addresses, traffic, ledger, seed, callers_at_once)
        self.lost, self.kept_on = [], 0

    def run(self, stop, limit):
        with ThreadPoolExecutor(self._count) as pool:
            list(pool.map(lambda n: self._caller(n, stop, limit), range(self._count)))

    def _caller(self, number, stop, limit):
        rng = random.Random(f"kept {self._seed}.{number}")
        while not stop():
            addresses = self._addresses()
            if not addresses:
                time.sleep(_PAUSE_S)
                continue
            self._connection(rng, rng.choice(addresses), stop)

    def _connection(self, rng, address, stop):
        """Use one connection for as long as it lasts."""
        host, _, port = address.rpartition(":")
        try:
            sock = socket.create_connection((host, int(port)), timeout=self._traffic.patience_s)
        except OSError:
            time.sleep(_PAUSE_S)
            return
        with sock:
            used, more = 0, True
            while more and not stop():
                more = self._one_kept(rng, address, sock)
                used += 1
                self.kept_on += used > 1
                if rng.random() < _REST_SHARE:
                    time.sleep(rng.uniform(0, _REST_S))

    def _one_kept(self, rng, address, sock):
        """One request; whether the connection may be used again."""
        route = rng.choice(self._traffic.routes)
        request, subject, item = self._made(rng, route)
        id_, begun_ms = f"{rng.getrandbits(64):016x}", now_ms()
        whole = _write(sock, callers.sent(id_, request))
        fields = dict(line.partition(": ")[::2] for line in request.headers)
        values = {name.lower(): value for name, value in fields.items()} | {"x-try-id": id_}
        services = frozenset(s["service"] for s in route["split"])
        self._ledger.add_sent(
            SentTry(
                id_,
                request.kind,
                services,
                "POST",
                request.path,
                raw_fields(values),
                digest(request.body),
                whole,
                now_ms(),
            )
        )
        try:
            got, behind = read_one(lambda: sock.recv(_PART_BYTES), b"")
        except (Broken, OSError, ValueError) as broken:
            self.lost.append((address, begun_ms, now_ms(), getattr(broken, "begun", False)))
            return False
        if behind:
            self._ledger.add_answer(Answered(id_, 200, True, False, False, True))
            return False
        answer = callers.read(callers.Answer(id_), got)
        self._note(request, answer, subject, item, "whole")
        return answer.headers.get("connection", "").lower() != "close"


def _write(sock, data):
    """Whether all of it could be handed to the system."""
    try:
        sock.sendall(data)
    except OSError:
        return False
    return True
