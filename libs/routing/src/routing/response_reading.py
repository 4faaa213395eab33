"""Reads an engine's response before it is passed on.

A response that isn't a stream is read whole first, so that a request that may be repeated can go
to another engine if it is cut off.  One that is longer than a limit, or for which the process's
byte budget has no room, is passed on as it arrives.
"""

from dataclasses import dataclass, field

from routing import attempts, responses
from routing.response_head import ResponseHead

__all__ = ["MAX_HELD_BYTES", "EngineResponse", "read"]

# The most that is held of one response.
MAX_HELD_BYTES = 8 << 20


@dataclass(frozen=True)
class EngineResponse:
    """The engine's own response: its head and the first of its body, in `chunks`.  `arrives`: the
    rest of it is still to be read from the engine."""

    head: ResponseHead
    chunks: list = field(default_factory=list)
    arrives: bool = False


def read(request, head, source, ends_attempts, has_left):
    """(EngineResponse or None, proof) after the head of the engine's response has come.  The bytes
    of a response are reserved in `request["reservation"]`; those of none are given back."""
    if responses.is_streamed(request, head):
        return EngineResponse(head, arrives=True), "unknown"
    reservation = request["reservation"]
    held_bytes = reservation.held_bytes
    response, proof = _read_whole(reservation, head, source, ends_attempts, has_left)
    if response is None:
        reservation.resize(held_bytes)
    return response, proof


def _read_whole(reservation, head, source, ends_attempts, has_left):
    chunks, size = [], 0
    for kind, value in source:
        if kind == "data":
            chunks.append(value)
            size += len(value)
            if size > MAX_HELD_BYTES or not reservation.grow(len(value)):
                return EngineResponse(head, chunks, arrives=True), "unknown"
        elif kind == "idle" and ends_attempts():
            return None, attempts.ABANDONED
        elif kind == "idle" and has_left():
            return None, "gone"
        elif kind == "end":
            if value.code:
                return EngineResponse(head, chunks), "unknown"
            return None, attempts.failed_attempt_proof(value)
    return None, "unknown"
