"""The responses to changes, recorded by change id so that a repeated change gets the same one.

They are part of every checkpoint of the registry, so their number and size are bounded:
refusals are dropped first, then the oldest; long refusals are truncated.
"""

import json

__all__ = [
    "MAX_RESPONSE_BYTES",
    "MAX_RESPONSES",
    "MAX_TOTAL_BYTES",
    "RecordedResponses",
    "truncated",
]

MAX_RESPONSES = 4096
MAX_TOTAL_BYTES = 512 << 10
MAX_RESPONSE_BYTES = 2 << 10
_MAX_TEXT_LENGTH = 300
# The status of an accepted change.
_ACCEPTED = 200


def _size(response):
    return len(json.dumps(response, separators=(",", ":")))


class RecordedResponses(dict):
    """Responses by change id, oldest first."""

    def __init__(self, found=()):
        super().__init__(found)
        self._bytes = sum(len(change) + _size(response) for change, response in self.items())

    def record(self, change, response):
        """Record a response, and drop others while the bounds are exceeded."""
        self._forget(change)
        self[change] = response
        self._bytes += len(change) + _size(response)
        while len(self) > MAX_RESPONSES or (self._bytes > MAX_TOTAL_BYTES and len(self) > 1):
            self._forget(self._droppable())

    def _droppable(self):
        """The change to drop: the oldest refused one, or the oldest if none was refused.

        A refused change that is sent again is checked and refused again; an accepted one
        could no longer be confirmed.
        """
        for change, response in self.items():
            if isinstance(response, dict) and response["status"] != _ACCEPTED:
                return change
        return next(iter(self))

    def _forget(self, change):
        if change in self:
            self._bytes -= len(change) + _size(self.pop(change))


def truncated(response):
    """A refusal with long texts cut off and long lists shortened to the items that fit."""
    if _size(response) <= MAX_RESPONSE_BYTES:
        return response
    return {**response, "told": _truncated_value(response["told"], MAX_RESPONSE_BYTES)}


def _truncated_value(value, max_bytes):
    if isinstance(value, str):
        return value[:_MAX_TEXT_LENGTH]
    if isinstance(value, dict):
        return {key: _truncated_value(inner, max_bytes) for key, inner in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    found = []
    for inner in value:
        short = _truncated_value(inner, max_bytes)
        max_bytes -= _size(short)
        if max_bytes < 0 and found:
            break
        found.append(short)
    return found
