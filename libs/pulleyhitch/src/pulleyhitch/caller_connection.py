"""State of one accepted connection in the HTTP listener."""

import socket
from dataclasses import dataclass, field

__all__ = ["CallerConnection"]


@dataclass
class CallerConnection:
    """A connection, its request, and the callbacks of a request that waits."""

    sock: socket.socket
    address: tuple
    since_s: float
    data: bytearray = field(default_factory=bytearray)
    request: object = None
    request_class: str = ""
    thread_share: str = ""
    finish: object = None
    on_disconnect: object = None
    registered: bool = False
