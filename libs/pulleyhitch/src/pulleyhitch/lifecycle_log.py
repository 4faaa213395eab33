"""Lines of JSON that tell the causes of a process's starts and ends apart.

A line on stdout tells that the process serves, and how its last run ended if its disk knows that.
The last line on stderr tells why it ends.
"""

import json
import platform
import sys
import time

from transport import failures
from transport.log_stream import LogStream

__all__ = [
    "EXIT_CANNOT_START",
    "EXIT_FAILURE",
    "EXIT_ORDERLY",
    "EXIT_SETTINGS",
    "LifecycleLog",
    "report_failure",
]

EXIT_ORDERLY, EXIT_SETTINGS, EXIT_CANNOT_START, EXIT_FAILURE = 0, 2, 3, 4


def report_failure(failure):
    """Print a failure to stderr as one line of JSON."""
    _print(failures.as_json(failure), sys.stderr)


def _print(line, stream):
    LogStream(stream).write(json.dumps(line) + "\n")


class LifecycleLog:
    """Writes the lines of one process.  `start_s`: monotonic time of its start in seconds; `name`:
    the node's name, "" if it isn't known."""

    def __init__(self, start_s, name=""):
        self._start_s, self._name = start_s, name

    def _age_ms(self):
        return round(1000 * (time.monotonic() - self._start_s))

    def serving(self, config, previous_end):
        """The process serves.  `previous_end`: the cause of the last end, "running" if the process
        was killed or the machine lost power, "" if it is unknown."""
        line = {
            "up": config.name,
            "role": config.role,
            "address": config.address,
            "http": config.http,
            "python": platform.python_version(),
            "machine": platform.machine(),
            "memoryMb": config.memoryMb,
            "startMs": self._age_ms(),
            "previousEnd": previous_end,
        }
        _print(line, sys.stdout)

    def stopped(self, signal_name):
        """The process ends in order, since it got a signal of this name."""
        self._ends(EXIT_ORDERLY, {"signal": signal_name})

    def failed(self, code, failure):
        """The process ends with this exit code after a typed failure."""
        self._ends(code, failures.as_json(failure))

    def _ends(self, code, cause):
        line = {**cause, "ends": self._name, "exit": code, "upMs": self._age_ms()}
        _print(line, sys.stderr)
