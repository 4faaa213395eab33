"""The answers to changes, kept under the changes' ids so that a repeated change is
answered alike.  They are part of every checkpoint, so their number and bytes are bounded:
refusals are dropped first, then the oldest answers; long refusals are truncated."""

import json

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_ANSWERS",
    "MAX_TOTAL_BYTES",
    "ChangeAnswers",
    "truncated",
]

MAX_ANSWERS = 4096
MAX_TOTAL_BYTES = 512 << 10
MAX_ANSWER_BYTES = 2 << 10
_TEXT_LENGTH = 300
# The status of an accepted change.
_ACCEPTED = 200


def _size(answer):
    return len(json.dumps(answer, separators=(",", ":")))


class ChangeAnswers(dict):
    """Answers by change id, oldest first."""

    def __init__(self, found=()):
        super().__init__(found)
        self._bytes = sum(len(change) + _size(answer) for change, answer in self.items())

    def record(self, change, answer):
        """Record an answer, and drop others while the bounds are exceeded."""
        self._forget(change)
        self[change] = answer
        self._bytes += len(change) + _size(answer)
        while len(self) > MAX_ANSWERS or (self._bytes > MAX_TOTAL_BYTES and len(self) > 1):
            self._forget(self._least_needed())

    def _least_needed(self):
        """The change to drop: the oldest refused one, or the oldest if none was refused.

        A refused change that is sent again is checked and refused again; an accepted one
        could no longer be confirmed.
        """
        for change, answer in self.items():
            if isinstance(answer, dict) and answer["status"] != _ACCEPTED:
                return change
        return next(iter(self))

    def _forget(self, change):
        if change in self:
            self._bytes -= len(change) + _size(self.pop(change))


def truncated(answer):
    """A refusal with long texts cut, and of long lists as many items as fit."""
    if _size(answer) <= MAX_ANSWER_BYTES:
        return answer
    return {**answer, "told": _cut(answer["told"], MAX_ANSWER_BYTES)}


def _cut(value, room_bytes):
    if isinstance(value, str):
        return value[:_TEXT_LENGTH]
    if isinstance(value, dict):
        return {key: _cut(inner, room_bytes) for key, inner in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    found = []
    for inner in value:
        short = _cut(inner, room_bytes)
        room_bytes -= _size(short)
        if room_bytes < 0 and found:
            break
        found.append(short)
    return found
