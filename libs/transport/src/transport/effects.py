"""Effects: the output of the state machines.

State machines return lists of effects; the process around them, or the simulator, carries
them out in order.  `Save` and `Install` are synced to disk before any later effect of the same
list is carried out, so that a vote, for example, is on disk before it is sent.
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
    """Send a message to the node at the address `to`; it may get lost."""

    to: str
    message: object


@dataclass(frozen=True)
class Save:
    """Replace the named state file by a new version and sync it to disk."""

    name: str
    body: bytes


@dataclass(frozen=True)
class Install:
    """Write a snapshot at log index `index` and drop the log up to it.

    `restart`: drop the entries after `index` too, since they may differ from the leader's.
    """

    index: int
    body: bytes
    restart: bool = False


@dataclass(frozen=True)
class Write:
    """Append entries to the log; a Written event follows once they are synced.

    `inline`: write before the next effect instead of in the background.  `known`: the index up
    to which the log is known to be synced, which is stored with each entry.
    """

    entries: tuple
    inline: bool = False
    known: int = 0


@dataclass(frozen=True)
class Reply:
    """Answer the LocalRequest that has the same `token`."""

    token: str
    outcome: object


@dataclass(frozen=True)
class EngineCall:
    """Call an engine unless `not_after_ms` has passed; a CallEnded event follows."""

    id: str
    engine: str
    url: str
    verb: str
    body: dict = field(default_factory=dict)
    timeout_ms: float = 1000.0
    not_after_ms: float = float("inf")


@dataclass(frozen=True)
class Wake:
    """Deliver a Tick at this time, besides the regular ones."""

    at_ms: float


@dataclass(frozen=True)
class LogLine:
    """A line for the log ring; an urgent line is also written out at once."""

    event: str
    facts: dict = field(default_factory=dict)
    urgent: bool = False


@dataclass(frozen=True)
class DumpLog:
    """Write the log ring out, because of a failure (`reason`)."""

    reason: str


@dataclass(frozen=True)
class Finished:
    """The orderly shutdown is complete: the process may exit."""
