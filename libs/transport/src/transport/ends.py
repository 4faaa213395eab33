"""Whether the other end of a socket is still there."""

import select
import socket

__all__ = ["hung_up"]


def hung_up(sock):
    """Whether the other end has closed, without waiting or taking what it sent."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0)) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
