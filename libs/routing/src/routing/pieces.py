"""The pieces of one stream: numbered, of one run, bound to one task.

A duplicate is dropped; a gap, a foreign task, another run or a piece after
the end cuts the stream.  Only the engine's own last piece, with the right
count, makes a stream complete.  An engine may offer, with a run's first piece,
to resume that very run from a piece number; what then comes must be of the same
run and incarnation, or the stream is cut.
"""

from dataclasses import dataclass

__all__ = ["Run", "Forward", "Drop", "Cut", "check_piece"]


@dataclass
class Run:
    task: str
    run: str = ""
    next: int = 0
    done: bool = False
    resumes: bool = False
    incarnation: str = ""


@dataclass(frozen=True)
class Forward:
    piece: dict
    last: bool


@dataclass(frozen=True)
class Drop:
    pass


@dataclass(frozen=True)
class Cut:
    cause: str


def check_piece(run, piece):
    """Judge the next piece that arrived on the leg."""
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
