"""One connection from a caller, from its first byte to its end."""

import socket
from dataclasses import dataclass, field

__all__ = ["Caller"]


@dataclass
class Caller:
    """One connection: what came of its request, and what it waits for."""

    sock: socket.socket
    address: tuple
    since_s: float
    data: bytearray = field(default_factory=bytearray)
    request: object = None
    kind: str = ""
    part: str = ""
    finish: object = None
    left: object = None
    watched: bool = False
