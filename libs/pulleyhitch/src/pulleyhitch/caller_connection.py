"""One connection from a caller, from its first byte to its end."""

import socket
from dataclasses import dataclass, field

__all__ = ["CallerConnection"]


@dataclass
class CallerConnection:
    """One connection: what came of its request, and what it waits for."""

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
