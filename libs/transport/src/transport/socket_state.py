"""Detects sockets whose other end has closed the connection."""

import select

__all__ = ["closed_by_peer"]

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def closed_by_peer(sock):
    """Whether the peer has closed the connection, even if unread data remains; doesn't block."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return any(events & _GONE for _, events in poll.poll(0))
    except (OSError, ValueError):
        return True
