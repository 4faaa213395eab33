"""The log ring: the last lines in memory, written out when something fails.

Lines are kept as plain dictionaries and only become JSON, through
python-json-logger, when a dump is asked for or when a line is urgent.
"""

import collections
import logging
import sys
import threading
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["LogRing"]


class LogRing:
    """`note` is the one public method; `why` makes it write the ring out."""

    def __init__(self, node, size=2000, stream=None):
        self._lines = collections.deque(maxlen=size)
        self._lock = threading.Lock()
        self._logger = logging.Logger("pulleyhitch")
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(JsonFormatter())
        self._logger.addHandler(handler)
        self._node = node

    def note(self, what, facts=None, why=None, urgent=False):
        line = {
            "atMs": round(time.monotonic() * 1000),
            "node": self._node,
            "what": what,
            **(facts or {}),
        }
        with self._lock:
            self._lines.append(line)
            if why is None:
                if urgent:
                    self._logger.info("%s", what, extra={"facts": line})
                return
            lines, head = list(self._lines), {"why": why, "lines": len(self._lines)}
            self._lines.clear()
        self._logger.error("ring", extra={"dump": head})
        for old in lines:
            self._logger.info(old["what"], extra={"facts": old})
