"""What callers sent, what engines ran and what callers were told, as it happened."""

import hashlib
import threading
from dataclasses import dataclass, field

__all__ = ["COMPARED", "Answered", "Ledger", "Run", "SentTry", "digest", "raw_fields"]

# Header fields that an engine must read as the caller wrote them.
COMPARED = ("x-try-id", "x-parcel", "x-tokens", "x-prompt-prefix", "content-type", "x-odd")


def digest(body):
    """A short name of a body's bytes."""
    return f"{len(body)}.{hashlib.blake2b(body, digest_size=8).hexdigest()}"


def raw_fields(values):
    """The compared fields of `values`, {name in small letters: value}, without blanks
    around them; a missing one is empty."""
    return tuple((values.get(name) or "").strip(" \t") for name in COMPARED)


@dataclass(frozen=True)
class SentTry:
    """One try of a caller.  `whole`: its last byte was written.  `services`: those that
    its route allows.  `subject`: what starvation is counted for, by kind of thing."""

    id: str
    kind: str
    services: frozenset
    method: str
    target: str
    fields: tuple
    body: str
    whole: bool
    at_ms: float
    subject: tuple = ()

    @property
    def repeatable(self):
        return self.kind in ("safe", "resumable")


@dataclass(frozen=True)
class Run:
    """One request that an engine began to work on; `after` is its Last-Event-Id."""

    engine: str
    service: str
    id: str
    method: str
    target: str
    fields: tuple
    body: str
    after: int
    at_ms: float


@dataclass(frozen=True)
class Answered:
    """What a caller read.  `good`: the body is the one that its engine makes of it."""

    id: str
    status: int
    whole: bool
    good: bool
    stamped: bool
    others: bool = False


@dataclass
class Ledger:
    """`sent`, `ran` and `answered` may be added to by any thread."""

    sent: list = field(default_factory=list)
    ran: list = field(default_factory=list)
    answered: list = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add_sent(self, sent_try):
        with self._lock:
            self.sent.append(sent_try)

    def add_run(self, run):
        with self._lock:
            self.ran.append(run)

    def add_answer(self, answered):
        with self._lock:
            self.answered.append(answered)
