"""What a state machine asks of the shell around it.

Cores return lists of these; the shell (a process, or the simulator) carries
them out in order.  `Save` and `Install` are synced before anything after
them in the same list is done, so a promise is on disk before it is told.
"""

from dataclasses import dataclass, field

__all__ = [
    "Send",
    "Save",
    "Install",
    "Write",
    "Reply",
    "EngineCall",
    "Wake",
    "LogLine",
    "DumpLog",
    "Finished",
]


@dataclass(frozen=True)
class Send:
    to: str
    message: object


@dataclass(frozen=True)
class Save:
    """Write a named state file as a new version, synced."""

    name: str
    body: bytes


@dataclass(frozen=True)
class Install:
    """Replace the log: a snapshot at `index`, everything before it dropped."""

    index: int
    body: bytes
    restart: bool = False


@dataclass(frozen=True)
class Write:
    """Append entries to the log; answer with a Written event once synced."""

    entries: tuple
    inline: bool = False
    known: int = 0


@dataclass(frozen=True)
class Reply:
    """Answer a local asker (an HTTP thread, a test) waiting on `token`."""

    token: str
    outcome: object


@dataclass(frozen=True)
class EngineCall:
    """Call an engine, unless it is too late to; answer with a CallEnded event."""

    id: str
    engine: str
    url: str
    verb: str
    body: dict = field(default_factory=dict)
    timeout_ms: float = 1000.0
    not_after_ms: float = float("inf")


@dataclass(frozen=True)
class Wake:
    at_ms: float


@dataclass(frozen=True)
class LogLine:
    """A line for the ring; an urgent one is written out at once."""

    what: str
    facts: dict = field(default_factory=dict)
    urgent: bool = False


@dataclass(frozen=True)
class DumpLog:
    """Something went wrong: write the ring out."""

    why: str


@dataclass(frozen=True)
class Finished:
    """An orderly stop is complete: the process may end."""
