"""A pool of idle connections to engines, each used by one attempt at a time.

A connection is released to the pool only after a complete response to its own request, with
no bytes left over; otherwise it is closed.  It isn't used again once it has been idle for longer
than the engine keeps it, or if anything can be read from it.  A request that must not run twice
never uses a pooled connection, because a request lost on a connection that the engine has just
closed can't be told from one that ran.
"""

import select
import threading
import time

import pycurl

__all__ = ["ConnectionPool", "Connection"]

# How long an idle connection is kept if the engine announces no timeout.
_DEFAULT_KEEP_S = 0.8
# The fraction of the announced timeout for which a connection is used again.
_KEEP_FRACTION = 0.7
# Idle connections for each address.
_MAX_IDLE = 32
# How often expired connections are closed.
_SWEEP_S = 5.0


class Connection:
    """A curl handle, and the multi handle whose cache holds its connection."""

    def __init__(self):
        self.curl, self.multi = pycurl.Curl(), pycurl.CurlMulti()
        self.expires_s = 0.0
        self.fd = -1

    def close(self):
        self.multi.close()
        self.curl.close()


class ConnectionPool:
    """Thread-safe pool by address: attempts `acquire` and `release` connections."""

    def __init__(self):
        self._idle = {}
        self._lock = threading.Lock()
        self._swept_s = time.monotonic()

    def acquire(self, base, fresh):
        """(connection, whether it comes from the pool) for the address `base`; always new with
        `fresh`."""
        while not fresh:
            with self._lock:
                idle = self._idle.get(base)
                connection = idle.pop() if idle else None
            if connection is None:
                break
            if time.monotonic() < connection.expires_s and _has_nothing_to_read(connection.fd):
                return connection, True
            connection.close()
        return Connection(), False

    def release(self, base, connection, fd, keep_s):
        """Keep a connection for `keep_s` seconds as the engine announced, or briefly if that is
        None."""
        connection.expires_s = time.monotonic() + (
            _DEFAULT_KEEP_S if keep_s is None else _KEEP_FRACTION * keep_s
        )
        connection.fd = fd
        connection.curl.reset()
        with self._lock:
            idle = self._idle.setdefault(base, [])
            idle.append(connection)
            to_close = [idle.pop(0)] if len(idle) > _MAX_IDLE else []
            to_close += self._expired(time.monotonic())
        for connection in to_close:
            connection.close()

    def close_expired(self):
        """Close expired connections, at most once in `_SWEEP_S` seconds."""
        with self._lock:
            to_close = self._expired(time.monotonic())
        for connection in to_close:
            connection.close()

    def _expired(self, now_s):
        """Remove and return the expired connections of all addresses, also of engines that are
        gone."""
        if now_s - self._swept_s < _SWEEP_S:
            return []
        self._swept_s, found = now_s, []
        for base, idle in list(self._idle.items()):
            found += [connection for connection in idle if connection.expires_s <= now_s]
            self._idle[base] = [connection for connection in idle if connection.expires_s > now_s]
            if not self._idle[base]:
                del self._idle[base]
        return found


def _has_nothing_to_read(fd):
    """Whether neither unexpected bytes nor the end of the connection can be read."""
    if fd < 0:
        return False
    try:
        poll = select.poll()
        poll.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)
    except (OSError, ValueError):
        return False
