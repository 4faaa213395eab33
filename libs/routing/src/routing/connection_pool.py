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

__all__ = ["Pool", "Pipe"]

_UNTOLD_S = 0.8
_MARGIN = 0.7
_MOST = 32
# How often connections that nobody took in their time are looked for and closed.
_SWEEP_S = 5.0


class Pipe:
    """A curl handle and the multi handle whose cache holds its connection."""

    def __init__(self):
        self.curl, self.multi = pycurl.Curl(), pycurl.CurlMulti()
        self.until_s = 0.0
        self.fd = -1

    def close(self):
        self.multi.close()
        self.curl.close()


class Pool:
    """`take` and `give` are what legs use; `sweep` closes what nobody took in its time."""

    def __init__(self):
        self._idle = {}
        self._lock = threading.Lock()
        self._swept_s = time.monotonic()

    def take(self, base, fresh):
        """(pipe, whether it was kept) for an address."""
        while not fresh:
            with self._lock:
                kept = self._idle.get(base)
                pipe = kept.pop() if kept else None
            if pipe is None:
                break
            if time.monotonic() < pipe.until_s and _silent(pipe.fd):
                return pipe, True
            pipe.close()
        return Pipe(), False

    def give(self, base, pipe, fd, keep_s):
        """Keep a pipe for `keep_s` as the engine told, or a little if it told nothing."""
        pipe.until_s = time.monotonic() + (_UNTOLD_S if keep_s is None else _MARGIN * keep_s)
        pipe.fd = fd
        pipe.curl.reset()
        with self._lock:
            kept = self._idle.setdefault(base, [])
            kept.append(pipe)
            old = [kept.pop(0)] if len(kept) > _MOST else []
            old += self._expired(time.monotonic())
        for pipe in old:
            pipe.close()

    def sweep(self):
        """Close what is past its time; now and then, also while no leg gives one back."""
        with self._lock:
            old = self._expired(time.monotonic())
        for pipe in old:
            pipe.close()

    def _expired(self, now_s):
        """Take out what is past its time, of engines that have gone as well."""
        if now_s - self._swept_s < _SWEEP_S:
            return []
        self._swept_s, found = now_s, []
        for base, kept in list(self._idle.items()):
            found += [pipe for pipe in kept if pipe.until_s <= now_s]
            self._idle[base] = [pipe for pipe in kept if pipe.until_s > now_s]
            if not self._idle[base]:
                del self._idle[base]
        return found


def _silent(fd):
    """Whether nothing can be read: neither an end nor bytes that belong to nobody."""
    if fd < 0:
        return False
    try:
        poll = select.poll()
        poll.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)
    except (OSError, ValueError):
        return False
