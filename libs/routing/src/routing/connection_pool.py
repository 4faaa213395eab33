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

__all__ = ["ConnectionPool", "Connection", "OutOfDescriptors"]

# How long an idle connection is kept if the engine announces no timeout.
_DEFAULT_KEEP_S = 0.8
# The fraction of the announced timeout for which a connection is used again.
_KEEP_FRACTION = 0.7
# Idle connections for each address, and for all of them: each takes three descriptors and
# some 75 KB.
_MAX_IDLE = 32
_MAX_IDLE_TOTAL = 256
# How often expired connections are closed.
_SWEEP_S = 5.0


class OutOfDescriptors(Exception):
    """This process can open no connection: it has no descriptor left."""


class Connection:
    """A curl handle, and the multi handle whose cache holds its connection.  Raises
    OutOfDescriptors if there are none for it."""

    def __init__(self):
        self.curl = pycurl.Curl()
        try:
            self.multi = pycurl.CurlMulti()
        except pycurl.error as error:
            self.curl.close()
            raise OutOfDescriptors(str(error)) from error
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
        `fresh`.  Raises OutOfDescriptors."""
        while not fresh:
            with self._lock:
                idle = self._idle.get(base)
                connection = idle.pop() if idle else None
            if connection is None:
                break
            if time.monotonic() < connection.expires_s and _has_nothing_to_read(connection.fd):
                return connection, True
            connection.close()
        return self.open(), False

    def open(self):
        """A new connection; idle ones are closed if there are no descriptors for it."""
        try:
            return Connection()
        except OutOfDescriptors:
            self._close_idle()
            return Connection()

    def _close_idle(self):
        with self._lock:
            to_close = [connection for idle in self._idle.values() for connection in idle]
            self._idle.clear()
        for connection in to_close:
            connection.close()

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
            to_close += self._expired(time.monotonic()) + self._excess()
        for connection in to_close:
            connection.close()

    def close_expired(self):
        """Close expired connections, at most once in `_SWEEP_S` seconds."""
        with self._lock:
            to_close = self._expired(time.monotonic())
        for connection in to_close:
            connection.close()

    def _excess(self):
        """Remove and return connections beyond the limit of all addresses, those first that expire
        first."""
        count = sum(map(len, self._idle.values())) - _MAX_IDLE_TOTAL
        if count <= 0:
            return []
        excess = sorted(
            (connection for idle in self._idle.values() for connection in idle),
            key=lambda connection: connection.expires_s,
        )[:count]
        for base, idle in self._idle.items():
            self._idle[base] = [connection for connection in idle if connection not in excess]
        return excess

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
