"""Catch-up rounds: how a leader decides that a learner may become a voter.

See section 4.2.1 of Ongaro's Raft thesis.  A round replicates the entries that the log
held when the round began; entries written meanwhile belong to the next round.  A learner is
caught up once a round took less than an election timeout.  Under steady writes, or with a
slow disk, it may never reach the end of the log, but as a voter it would not delay commits
for longer than an election does.
"""

from dataclasses import dataclass

__all__ = ["CatchUp", "begin", "on_acknowledged", "caught_up"]


@dataclass
class CatchUp:
    """The current round, and the duration of the last complete one."""

    target: int
    started_ms: float
    duration_ms: float = float("inf")


def begin(index, now_ms):
    """Start the first round, which ends once the learner holds `index`, the end of the log."""
    return CatchUp(index, now_ms)


def on_acknowledged(round_, match, index, now_ms):
    """Record that the learner holds the log up to `match`; a completed round starts the next."""
    if match < round_.target:
        return
    round_.duration_ms = now_ms - round_.started_ms
    round_.target, round_.started_ms = index, now_ms


def caught_up(round_, now_ms, election_ms):
    """Return whether the last round was short enough and the current one isn't too long yet."""
    return round_.duration_ms < election_ms and now_ms - round_.started_ms < election_ms
