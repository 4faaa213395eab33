"""Whether the other end of a socket is still there."""

import select

__all__ = ["closed_by_peer"]

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def closed_by_peer(sock):
    """Whether the other end has closed, whatever it sent before, without waiting."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return any(events & _GONE for _, events in poll.poll(0))
    except (OSError, ValueError):
        return True
