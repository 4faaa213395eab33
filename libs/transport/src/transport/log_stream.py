"""A stream for log lines that never waits long for its reader.

Logs often go to a pipe.  If nobody reads it, because the reader stands still or is stuck itself, a
write to it waits for ever once the pipe is full, and the thread that logs with it.
"""

import os
import select

__all__ = ["LogStream"]

# How long a line waits for the reader, but for the lines that follow one that was dropped.
_PATIENCE_MS = 100
# A pipe that is ready for writing takes this much at once.
_CHUNK_BYTES = select.PIPE_BUF


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
