"""The answers that changes got, kept under the changes' ids so that a repeated order is
answered alike.  They ride in every checkpoint, so their number and bytes are bounded:
refusals go first, then the oldest, and of a long refusal what fits is kept."""

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
_TEXT_LENGTH = 300
# The status of a change that was taken.
_DONE = 200


def _size(answer):
    return len(json.dumps(answer, separators=(",", ":")))


class RecordedResponses(dict):
    """RecordedResponses by change id, in the order in which they were given."""

    def __init__(self, found=()):
        super().__init__(found)
        self._bytes = sum(len(change) + _size(answer) for change, answer in self.items())

    def record(self, change, answer):
        """Keep an answer, and drop the least needed that there is no room for."""
        self._forget(change)
        self[change] = answer
        self._bytes += len(change) + _size(answer)
        while len(self) > MAX_RESPONSES or (self._bytes > MAX_TOTAL_BYTES and len(self) > 1):
            self._forget(self._least_needed())

    def _least_needed(self):
        """The oldest refusal; the oldest change that was taken only where there is none.
        A refused change, judged again, is refused again; a taken one wouldn't be
        confirmed."""
        for change, answer in self.items():
            if isinstance(answer, dict) and answer["status"] != _DONE:
                return change
        return next(iter(self))

    def _forget(self, change):
        if change in self:
            self._bytes -= len(change) + _size(self.pop(change))


def truncated(answer):
    """A refusal with long texts cut, and of a long list as many items as fit."""
    if _size(answer) <= MAX_RESPONSE_BYTES:
        return answer
    return {**answer, "told": _cut(answer["told"], MAX_RESPONSE_BYTES)}


def _cut(value, room):
    if isinstance(value, str):
        return value[:_TEXT_LENGTH]
    if isinstance(value, dict):
        return {key: _cut(inner, room) for key, inner in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    found = []
    for inner in value:
        short = _cut(inner, room)
        room -= _size(short)
        if room < 0 and found:
            break
        found.append(short)
    return found
