"""Pipes to engines that are kept for the next leg, one leg on each at a time.

A pipe goes back only after a whole answer that bound to its own task and left
nothing behind; any doubt closes it.  One that has been idle for longer than the
engine said it keeps it, or on which anything can be read, is not used again.
A leg that must not run twice never takes a kept pipe, because a request lost
on a pipe that the engine has just closed can't be told from one that ran.
"""

import select
import threading
import time

import pycurl

__all__ = ["ConnectionPool", "Connection"]

_DEFAULT_KEEP_S = 0.8
_KEEP_FRACTION = 0.7
_MAX_IDLE = 32
# How often connections that nobody took in their time are looked for and closed.
_SWEEP_S = 5.0


class Connection:
    """A curl handle and the multi handle whose cache holds its connection."""

    def __init__(self):
        self.curl, self.multi = pycurl.Curl(), pycurl.CurlMulti()
        self.expires_s = 0.0
        self.fd = -1

    def close(self):
        self.multi.close()
        self.curl.close()


class ConnectionPool:
    """`take` and `give` are what legs use; `sweep` closes what nobody took in its time."""

    def __init__(self):
        self._idle = {}
        self._lock = threading.Lock()
        self._swept_s = time.monotonic()

    def acquire(self, base, fresh):
        """(pipe, whether it was kept) for an address."""
        while not fresh:
            with self._lock:
                kept = self._idle.get(base)
                connection = kept.pop() if kept else None
            if connection is None:
                break
            if time.monotonic() < connection.expires_s and _has_nothing_to_read(connection.fd):
                return connection, True
            connection.close()
        return Connection(), False

    def release(self, base, connection, fd, keep_s):
        """Keep a pipe for `keep_s` as the engine told, or a little if it told nothing."""
        connection.expires_s = time.monotonic() + (
            _DEFAULT_KEEP_S if keep_s is None else _KEEP_FRACTION * keep_s
        )
        connection.fd = fd
        connection.curl.reset()
        with self._lock:
            kept = self._idle.setdefault(base, [])
            kept.append(connection)
            old = [kept.pop(0)] if len(kept) > _MAX_IDLE else []
            old += self._expired(time.monotonic())
        for connection in old:
            connection.close()

    def close_expired(self):
        """Close what is past its time; now and then, also while no leg gives one back."""
        with self._lock:
            old = self._expired(time.monotonic())
        for connection in old:
            connection.close()

    def _expired(self, now_s):
        """Take out what is past its time, of engines that have gone as well."""
        if now_s - self._swept_s < _SWEEP_S:
            return []
        self._swept_s, found = now_s, []
        for base, kept in list(self._idle.items()):
            found += [connection for connection in kept if connection.expires_s <= now_s]
            self._idle[base] = [connection for connection in kept if connection.expires_s > now_s]
            if not self._idle[base]:
                del self._idle[base]
        return found


def _has_nothing_to_read(fd):
    """Whether nothing can be read: neither an end nor bytes that belong to nobody."""
    if fd < 0:
        return False
    try:
        poll = select.poll()
        poll.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)
    except (OSError, ValueError):
        return False
