"""How long a connection may take to stand, judged only by what we have looked at.

The HTTP library's own limit compares clocks before it looks at the socket: a thread that
stood still for longer than the limit then gives up a connection that has stood for long.
How long we looked away says nothing of the engine, so we look first: an attempt is given up
only if its connection didn't stand when we looked, and the time was over before we did.
"""

import time

import pycurl

__all__ = ["TIMED_OUT", "ConnectTimeout", "has_sent_request"]

# The HTTP library's name for a transfer whose time was over.
TIMED_OUT = str(pycurl.E_OPERATION_TIMEDOUT)
_MIN_WAIT_S = 0.001


def has_sent_request(curl):
    """Whether a byte of the request's head was handed to the system's socket."""
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0


class ConnectTimeout:
    """Of one transfer: `look` before curl works on it, then ask whether it is `over`."""

    def __init__(self, curl, connect_ms):
        self._curl = curl
        self._polled_s = time.monotonic()
        self._end_s = self._polled_s + connect_ms / 1000

    def before_poll(self):
        """Curl is about to look at the socket."""
        self._polled_s = time.monotonic()

    def has_expired(self):
        """Whether the time was over when curl looked, and the connection didn't stand."""
        return self._polled_s >= self._end_s and not has_sent_request(self._curl)

    def wait_s(self, max_s):
        """How long to wait for the socket: no longer than the limit while it matters."""
        if has_sent_request(self._curl):
            return max_s
        return min(max_s, max(_MIN_WAIT_S, self._end_s - time.monotonic()))
