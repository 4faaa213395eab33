"""What a process waits for while it starts.

The previous process of the same node may still be ending: until then it has the node's addresses
and the lock on its data folder.  The settings file may be in the middle of a change.  Both pass, so
the start waits for them instead of failing into a series of restarts.
"""

import errno
import time

from transport import failures

from pulleyhitch.lifecycle_log import report_failure

__all__ = [
    "CannotStart",
    "StartRetry",
    "StopRequested",
    "call_once",
    "cannot_listen",
    "read_when_whole",
]

_RETRY_S = 0.05
# The previous process may use its whole grace period (this one if the settings have none), and its
# addresses may be released a little later.
_DEFAULT_GRACE_S = 8.0
_RELEASE_S = 2.0
# How long a settings file may take to be written.
_SETTINGS_WAIT_S = 2.0
_PASSING_LISTEN_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


class CannotStart(Exception):
    """The process can't start; `failure` is the typed cause, which may pass by itself if
    `passing`."""

    def __init__(self, failure, passing=False):
        super().__init__(failure.tag)
        self.failure, self.passing = failure, passing


class StopRequested(Exception):
    """The process was asked to stop while it started."""


def cannot_listen(address, error):
    """The CannotStart for an OSError on listening at an address."""
    passing = error.errno in _PASSING_LISTEN_ERRORS
    if error.errno == errno.EADDRINUSE:
        return CannotStart(failures.AddressTaken(address), passing)
    return CannotStart(failures.AddressUnusable(address, str(error.strerror)), passing)


def call_once(open_resource):
    """Opens a resource without waiting for it."""
    return open_resource()


class StartRetry:
    """Opens resources, and waits for those that the previous process still uses, as long as that
    may take from its own making on."""

    def __init__(self, config, signals, clock=time):
        self._signals, self._clock = signals, clock
        grace_s = config.bounds.graceMs / 1000 or _DEFAULT_GRACE_S
        self._end_s = clock.monotonic() + grace_s + _RELEASE_S

    def __call__(self, open_resource):
        """What `open_resource()` returns.  Raises StopRequested, or its CannotStart once that
        doesn't pass or has lasted too long."""
        announced = False
        while True:
            try:
                return open_resource()
            except CannotStart as error:
                if not error.passing or self._clock.monotonic() >= self._end_s:
                    raise
                failure = error.failure
            if not announced:
                report_failure(failure)
                announced = True
            self._signals.wait(_RETRY_S)
            if self._signals.stop_signal:
                raise StopRequested


def read_when_whole(read, clock=time):
    """The settings, or the failure, that `read()` returns; it is called again for a while if the
    file can't be read, since it may be in the middle of a change."""
    end_s = clock.monotonic() + _SETTINGS_WAIT_S
    found = read()
    if _is_unreadable(found):
        report_failure(found)
    while _is_unreadable(found) and clock.monotonic() < end_s:
        clock.sleep(_RETRY_S)
        found = read()
    return found


def _is_unreadable(found):
    return isinstance(found, failures.ConfigWrong) and found.field == failures.WHOLE_FILE
