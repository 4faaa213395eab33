"""Events: the only input of the state machines.

The process around a state machine, or the simulator, turns messages, timers, requests and
results of I/O into events.
"""

from dataclasses import dataclass, field

__all__ = ["Received", "Tick", "Written", "CallEnded", "LocalRequest", "Shutdown"]


@dataclass(frozen=True)
class Received:
    """A message arrived from the node at the address `sender`."""

    sender: str
    message: object


@dataclass(frozen=True)
class Tick:
    """Time has passed: timers may be due."""

    pass


@dataclass(frozen=True)
class Written:
    """Log entries up to `index`, of `term`, are synced to disk; the write took `took_ms`."""

    index: int
    term: int
    took_ms: float


@dataclass(frozen=True)
class CallEnded:
    """An engine call ended; `code` is the HTTP status, 0 if there was no response.

    `request_sent`: bytes of the request were sent, so that the engine may have acted on it.
    `reused_connection`: the connection had been used for earlier calls.
    """

    id: str
    code: int
    body: dict = field(default_factory=dict)
    request_sent: bool = True
    reused_connection: bool = False


@dataclass(frozen=True)
class LocalRequest:
    """A request from another thread of the process, such as one that serves HTTP.

    It is answered by a Reply with the same `token`.
    """

    token: str
    verb: str
    body: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Shutdown:
    """Shut down in an orderly way; the state machine returns Finished once that is complete."""

    pass
