"""A stream for log lines that never waits long for its reader.

Logs often go to another process.  If it doesn't read them, since it stands still or is stuck
itself, the kernel's buffer fills up, and then a write waits for ever, and the thread that logs.
"""

import os
import select

__all__ = ["LogStream"]

# How long a line waits for the reader, but for the lines that follow one that was dropped.
_PATIENCE_MS = 100
# A descriptor that is ready for writing takes this much at once.
_CHUNK_BYTES = 4096


class LogStream:
    """Writes lines to a stream, and drops those that the reader doesn't take.  `dropped` counts
    them.  A stream that has no descriptor is written to as it is."""

    def __init__(self, stream):
        self._stream, self._patience_ms, self.dropped = stream, _PATIENCE_MS, 0
        try:
            self._descriptor = stream.fileno()
        except (AttributeError, OSError, ValueError):
            self._descriptor = None
            return
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, line):
        """Write a line, or drop it or the rest of it.  Raises no error of the stream."""
        try:
            if self._descriptor is None:
                self._stream.write(line)
            else:
                self._write(line.encode("utf8", "backslashreplace"))
        except (AttributeError, OSError, ValueError):
            self.dropped += 1

    def flush(self):
        """Nothing is buffered."""

    def _write(self, data):
        for start in range(0, len(data), _CHUNK_BYTES):
            if not self._poll.poll(self._patience_ms):
                self._patience_ms = 0
                self.dropped += 1
                return
            self._patience_ms = _PATIENCE_MS
            os.write(self._descriptor, data[start : start + _CHUNK_BYTES])
