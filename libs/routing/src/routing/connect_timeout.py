"""A connect timeout that doesn't count the time in which this process was paused.

libcurl's own connect timeout compares clocks before it polls the socket: a thread that was
paused for longer than the timeout drops a connection that was established long ago.  The
pause says nothing about the engine, so the socket is polled first here: an attempt times out
only if its time was over before the poll and the poll found no established connection.
"""

import time

import pycurl

__all__ = ["TIMED_OUT", "ConnectTimeout", "has_sent_request"]

# libcurl's error code of a transfer that timed out, as `AttemptEnd.cause` has it.
TIMED_OUT = str(pycurl.E_OPERATION_TIMEDOUT)
_MIN_WAIT_S = 0.001


def has_sent_request(curl):
    """Whether at least one byte of the request was written to the socket."""
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0


class ConnectTimeout:
    """The connect timeout of one transfer.  Call `before_poll` each time before curl works on the
    transfer and `has_expired` after it."""

    def __init__(self, curl, connect_ms):
        self._curl = curl
        self._polled_s = time.monotonic()
        self._end_s = self._polled_s + connect_ms / 1000

    def before_poll(self):
        """Note the time at which curl is about to poll the socket."""
        self._polled_s = time.monotonic()

    def has_expired(self):
        """Whether the time was over before the last poll and the connection is still not
        established."""
        return self._polled_s >= self._end_s and not has_sent_request(self._curl)

    def wait_s(self, max_s):
        """How long to wait for the socket: at most until the timeout while the connection isn't
        established."""
        if has_sent_request(self._curl):
            return max_s
        return min(max_s, max(_MIN_WAIT_S, self._end_s - time.monotonic()))
