"""The pieces of one stream: numbered, of one run, bound to one task.

A duplicate is dropped; a gap, a foreign task, another run or a piece after
the end cuts the stream.  Only the engine's own last piece, with the right
count, makes a stream complete.
"""

from dataclasses import dataclass

__all__ = ["Run", "Pass", "Drop", "Cut", "take"]


@dataclass
class Run:
    task: str
    run: str = ""
    next: int = 0
    done: bool = False


@dataclass(frozen=True)
class Pass:
    piece: dict
    last: bool


@dataclass(frozen=True)
class Drop:
    pass


@dataclass(frozen=True)
class Cut:
    cause: str


def take(run, piece):
    """Judge the next piece that arrived on the leg."""
    if not isinstance(piece, dict) or not isinstance(piece.get("n"), int):
        return Cut("malformed")
    if piece.get("task") != run.task:
        return Cut("foreign")
    if not run.run:
        run.run = str(piece.get("run", ""))
    if piece.get("run") != run.run:
        return Cut("another-run")
    if run.done:
        return Cut("after-end")
    if piece["n"] < run.next:
        return Drop()
    if piece["n"] > run.next:
        return Cut("gap")
    run.next += 1
    run.done = piece.get("last") is True
    return Pass(piece, run.done)
