"""The connections of a node with its peers, and the sockets under them."""

import socket
import struct
from dataclasses import dataclass, field

from transport import frames

__all__ = ["Incoming", "Outgoing", "dialled_address", "host_and_port", "open_socket"]


def host_and_port(address):
    """The host and port of an address such as 10.0.0.5:7400 or [::1]:7400."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def dialled_address(address):
    """The address as a socket's `connect` takes it."""
    host, port = host_and_port(address)
    return host.strip("[]"), port


def open_socket(to, stall_s):
    """A socket that doesn't block, for a connection to the address `to`.  What is sent and not
    acknowledged for twice `stall_s` breaks it.  Raises OSError."""
    sock = socket.socket(socket.AF_INET6 if "[" in to else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(2000 * stall_s))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        sock.close()
        raise
    return sock


@dataclass
class Outgoing:
    """A connection that this node dials.

    `progress_s`: when bytes were last sent; `redial_s`: the earliest time of the next attempt
    to connect, after the connection was lost.
    """

    to: str
    sock: socket.socket = None
    opened: bool = False
    unsent: bytearray = field(default_factory=bytearray)
    progress_s: float = 0.0
    redial_s: float = 0.0


@dataclass
class Incoming:
    """A connection that another node dialled; `sender` is its address, from its first message."""

    sock: socket.socket
    buffer: frames.FrameBuffer = field(default_factory=frames.FrameBuffer)
    sender: str = ""
