"""An operator that goes on to another node as the platform's does, and times each order."""

import json
import socket
import time
from dataclasses import dataclass

from simulation.platform_serving import now_ms

__all__ = ["Order", "TimedOperator", "unanswered"]

_PATIENCE_S = 1.0
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
_CLEAR = (200, 202, 204, 400, 409, 412, 413, 422)


@dataclass(frozen=True)
class Order:
    """One order: first sent and answered, in ms; `status` 0: it never was."""

    what: str
    sent_ms: float
    answered_ms: float
    status: int
    tries: int


class TimedOperator:
    """`order` sends one order until its answer is clear; all are kept in `orders`."""

    def __init__(self, addresses, rng):
        self._addresses, self._rng, self.orders = addresses, rng, []

    def order(self, method, path, body=None, match=None, limit_s=30.0):
        """The Order, answered clearly or given up after `limit_s`."""
        data = json.dumps(body).encode() if body is not None else b""
        sent_ms, status, tries, pause_s = now_ms(), 0, 0, _FIRST_PAUSE_S
        while status not in _CLEAR and now_ms() - sent_ms < 1000 * limit_s:
            address = self._rng.choice(self._addresses())
            status, tries = _call(address, method, path, data, match), tries + 1
            if status not in _CLEAR:
                time.sleep(pause_s)
                pause_s = min(_LONGEST_PAUSE_S, 1.5 * pause_s)
        status = status if status in _CLEAR else 0
        made = Order(f"{method} {path}", sent_ms, now_ms(), status, tries)
        self.orders.append(made)
        return made


def _call(address, method, path, data, match):
    """The status of one call; 0 after a second of silence."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(data)}"]
    if data:
        lines.append("Content-Type: application/json")
    if match is not None:
        lines.append(f"If-Match: {match}")
    try:
        with socket.create_connection((host, int(port)), timeout=_PATIENCE_S) as sock:
            sock.sendall("\r\n".join([*lines, "", ""]).encode() + data)
            got = b""
            while b"\r\n" not in got:
                part = sock.recv(4096)
                if not part:
                    return 0
                got += part
            return int(got.split()[1])
    except (OSError, ValueError, IndexError):
        return 0


def unanswered(orders, unsettled, acknowledge_ms, contact_ms):
    """Orders that took longer than `acknowledge_ms` within one stretch of a settled core;
    `unsettled`: (from, to) in ms in which a core machine was down, frozen or hurt, each
    lasting for `contact_ms` more."""
    late = []
    for order in orders:
        quiet_ms = order.sent_ms
        for start_ms, end_ms in sorted(unsettled):
            if start_ms < quiet_ms + acknowledge_ms and end_ms + contact_ms > quiet_ms:
                quiet_ms = end_ms + contact_ms
        if order.answered_ms - quiet_ms > acknowledge_ms:
            late.append(order)
    return late
