"""The log ring: the latest log lines in memory, written out when something fails.

Lines are kept as plain dictionaries.  They are turned into JSON by python-json-logger when
the ring is dumped, or at once if a line is urgent.
"""

import collections
import logging
import sys
import threading
import time

from pythonjsonlogger.json import JsonFormatter

from transport.log_stream import LogStream

__all__ = ["LogRing"]


class LogRing:
    """Holds the last `size` lines of a node and writes them to `stream`, by default stderr."""

    def __init__(self, node, size=2000, stream=None):
        self._lines = collections.deque(maxlen=size)
        self._lock = threading.Lock()
        self._logger = logging.Logger("pulleyhitch")
        handler = logging.StreamHandler(LogStream(stream or sys.stderr))
        handler.setFormatter(JsonFormatter())
        self._logger.addHandler(handler)
        self._node = node

    def log(self, event, facts=None, dump_reason=None, urgent=False):
        """Add a line; write it out if it is urgent, or the whole ring for a `dump_reason`."""
        line = {
            "atMs": round(time.monotonic() * 1000),
            "node": self._node,
            "what": event,
            **(facts or {}),
        }
        with self._lock:
            self._lines.append(line)
            if dump_reason is None:
                if urgent:
                    self._logger.info("%s", event, extra={"facts": line})
                return
            lines, head = list(self._lines), {"why": dump_reason, "lines": len(self._lines)}
            self._lines.clear()
        self._logger.error("ring", extra={"dump": head})
        for ring_line in lines:
            self._logger.info(ring_line["what"], extra={"facts": ring_line})
