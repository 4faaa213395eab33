"""What a shell tells a state machine: the only way in."""

from dataclasses import dataclass, field

__all__ = ["Received", "Tick", "Written", "CallEnded", "LocalRequest", "Shutdown"]


@dataclass(frozen=True)
class Received:
    sender: str
    message: object


@dataclass(frozen=True)
class Tick:
    pass


@dataclass(frozen=True)
class Written:
    """Every entry up to `index` of `term` is synced here; the write took took_ms."""

    index: int
    term: int
    took_ms: float


@dataclass(frozen=True)
class CallEnded:
    """An engine call ended: `code` 0 means no answer, `begun` that bytes left, `kept` that
    the connection had carried other calls before."""

    id: str
    code: int
    body: dict = field(default_factory=dict)
    begun: bool = True
    kept: bool = False


@dataclass(frozen=True)
class LocalRequest:
    """A local asker wants something; it waits on `token`."""

    token: str
    verb: str
    body: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Shutdown:
    pass
