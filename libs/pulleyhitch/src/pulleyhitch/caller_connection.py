"""State of one accepted connection in the HTTP listener."""

import socket
from dataclasses import dataclass, field

from routing import byte_budget

__all__ = ["CallerConnection"]


@dataclass
class CallerConnection:
    """A connection, its request, and the callbacks of a request that waits for its outcome.

    `data` holds the bytes received so far.  `request_class` is empty until they are a complete
    request.  `since_s` is when the connection was accepted, or when its request was complete.
    `reservation` is what the request holds of the process's byte budget.  `discards`: the request
    was refused before it was complete, and the rest of it is read and dropped."""

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
    reservation: byte_budget.Reservation = field(default_factory=byte_budget.unbounded)
    discards: bool = False
