"""Rounds of catching up, by which a leader judges a learner (Raft's thesis, section 4.2.1).

A round replicates what the log held when the round began; what is written meanwhile is
the next round's.  A learner is caught up once a round took less than an election: it
may never be level with a log that is written to all the time, or with a slow disk, but
as a voter it would not hold commits up for longer than an election does.
"""

from dataclasses import dataclass

__all__ = ["CatchUp", "begin", "on_acknowledged", "caught_up"]


@dataclass
class CatchUp:
    """The round under way, and how long the last whole one took."""

    target: int
    began_ms: float
    took_ms: float = float("inf")


def begin(index, now_ms):
    """The first round: up to `index`, the end of the log."""
    return CatchUp(index, now_ms)


def on_acknowledged(round_, match, index, now_ms):
    """The learner holds all up to `match`: if that ends the round, begin the next."""
    if match < round_.target:
        return
    round_.took_ms = now_ms - round_.began_ms
    round_.target, round_.began_ms = index, now_ms


def caught_up(round_, now_ms, election_timeout_ms):
    """Whether the last round was short, and the one under way is not long already."""
    return round_.took_ms < election_timeout_ms and now_ms - round_.began_ms < election_timeout_ms
