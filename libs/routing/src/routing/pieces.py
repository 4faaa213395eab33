"""Checks the numbered pieces of one stream, which belong to one run of one task.

A duplicate is dropped.  A gap, a piece of another task or run, or a piece after the last cuts the
stream.  A stream is complete only with the engine's own last piece.  With the first piece of a run
an engine may offer to resume that run from a piece number; what follows must be of the same run
and incarnation, or the stream is cut.
"""

from dataclasses import dataclass

__all__ = ["Run", "Forward", "Drop", "Cut", "check_piece"]


@dataclass
class Run:
    """One run of a task at an engine; `next` is the number of the piece that is expected next,
    `resumes` the engine's offer to resume the run."""

    task: str
    run: str = ""
    next: int = 0
    done: bool = False
    resumes: bool = False
    incarnation: str = ""


@dataclass(frozen=True)
class Forward:
    """The piece is the next one and goes to the caller."""

    piece: dict
    last: bool


@dataclass(frozen=True)
class Drop:
    """The piece is a duplicate."""

    pass


@dataclass(frozen=True)
class Cut:
    """The stream can't go on; `cause` says why."""

    cause: str


def check_piece(run, piece):
    """Check the next piece that arrived: Forward, Drop or Cut."""
    if not isinstance(piece, dict) or not isinstance(piece.get("n"), int):
        return Cut("malformed")
    if piece.get("task") != run.task:
        return Cut("foreign")
    if not run.run:
        run.run = str(piece.get("run", ""))
        run.incarnation = str(piece.get("incarnation", ""))
        run.resumes = bool(piece.get("resumes") is True and run.run and run.incarnation)
    if piece.get("run") != run.run or str(piece.get("incarnation", "")) != run.incarnation:
        return Cut("another-run")
    if run.done:
        return Cut("after-end")
    if piece["n"] < run.next:
        return Drop()
    if piece["n"] > run.next:
        return Cut("gap")
    run.next += 1
    run.done = piece.get("last") is True
    return Forward(piece, run.done)
