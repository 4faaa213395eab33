"""State of one accepted connection in the HTTP listener."""

import socket
from dataclasses import dataclass, field

__all__ = ["CallerConnection"]


@dataclass
class CallerConnection:
    """A connection, its request, and the callbacks of a request that waits for its outcome.

    `data` holds the bytes received so far.  `request_class` is empty until they are a complete
    request.  `since_s` is when the connection was accepted, or when its request was complete."""

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
