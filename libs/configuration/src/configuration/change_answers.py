"""The answers to changes, kept under the changes' ids: a repeated change gets the same answer.

The answers are part of every checkpoint, so their number and size are bounded: refusals are
dropped first, then the oldest answers; long refusals are truncated.
"""

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
        """Record an answer; drop other answers while their number or size exceeds its bound."""
        self._forget(change)
        self[change] = answer
        self._bytes += len(change) + _size(answer)
        while len(self) > MAX_ANSWERS or (self._bytes > MAX_TOTAL_BYTES and len(self) > 1):
            self._forget(self._least_needed())

    def _least_needed(self):
        """The change to drop: the oldest refused one, or the oldest if none was refused.

        Without its answer, a refused change that is repeated is validated again, but a repeated
        accepted change could no longer be confirmed.
        """
        for change, answer in self.items():
            if isinstance(answer, dict) and answer["status"] != _ACCEPTED:
                return change
        return next(iter(self))

    def _forget(self, change):
        if change in self:
            self._bytes -= len(change) + _size(self.pop(change))


def truncated(answer):
    """A refusal with long texts truncated and long lists reduced to the first items that fit."""
    if _size(answer) <= MAX_ANSWER_BYTES:
        return answer
    return {**answer, "told": _truncate_value(answer["told"], MAX_ANSWER_BYTES)}


def _truncate_value(value, remaining_bytes):
    if isinstance(value, str):
        return value[:_TEXT_LENGTH]
    if isinstance(value, dict):
        return {key: _truncate_value(inner, remaining_bytes) for key, inner in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    found = []
    for inner in value:
        short = _truncate_value(inner, remaining_bytes)
        remaining_bytes -= _size(short)
        if remaining_bytes < 0 and found:
            break
        found.append(short)
    return found
