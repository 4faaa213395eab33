"""Deliberately broken variants of the core's functions, one for each invariant at least.

Each names the one invariant that must show it; only that one is judged, so that no
invariant is covered by another that happens to be looked at first.
"""

from dataclasses import dataclass

from replication import (
    batch_writer,
    bootstrap,
    election,
    leaving,
    log_compaction,
    log_following,
    log_replication,
)
from replication import disk as disks
from replication import group as groups

from simulation.model import scripts, variants
from simulation.model.hooks import patched
from simulation.model.invariants import Violation
from simulation.model.walks import walk

__all__ = ["Mutant", "MUTANTS", "seen"]


@dataclass(frozen=True)
class Mutant:
    """What is broken, which invariant shows it, and the change of attributes."""

    name: str
    invariant: str
    changes: list
    script: str = ""


MUTANTS = (
    Mutant(
        "a vote told before it is saved",
        "votes-kept",
        [(election, "on_vote_request", variants.unsaved(election.on_vote_request))],
    ),
    Mutant(
        "a vote forgotten at a restart",
        "votes-kept",
        [(groups, "open_replica", variants.votes_forgotten)],
    ),
    Mutant(
        "a vote for each who asks",
        "election-safety",
        [(election, "on_vote_request", variants.forgets_vote)],
    ),
    Mutant(
        "half is enough to lead",
        "majority-elects",
        [(election, "majority", lambda g: max(1, len(groups.members(g)) // 2))],
    ),
    Mutant(
        "a vote without comparing logs",
        "leader-completeness",
        [(election, "on_vote_request", variants.any_log)],
    ),
    Mutant(
        "entries of older terms committed by count",
        "leader-completeness",
        [(log_replication, "count", variants.older_terms)],
        script="older_term",
    ),
    Mutant(
        "entries taken after others than the leader's",
        "log-matching",
        [(log_following, "on_entries", variants.any_previous)],
        script="differing_logs",
    ),
    Mutant(
        "a follower commits what was not compared",
        "state-machine-safety",
        [(log_following, "on_entries", variants.commits_unverified)],
        script="differing_logs",
    ),
    Mutant(
        "one replica is a majority",
        "majority-commits",
        [(log_replication, "count", variants.alone)],
    ),
    Mutant(
        "entries acknowledged before they are synced",
        "acknowledged-kept",
        [(log_following, "_ack", variants.acks_unsynced)],
    ),
    Mutant(
        "a snapshot drops what lies past it",
        "acknowledged-kept",
        [(log_following, "on_snapshot", variants.drops_suffix)],
        script="late_snapshot",
    ),
    Mutant(
        "an older snapshot taken",
        "commit-forward",
        [(*variants.SNAPSHOT_HANDLER, variants.older_views)],
        script="older_snapshot",
    ),
    Mutant(
        "a snapshot keeps what does not follow it",
        "terms-ordered",
        [(log_following, "on_snapshot", variants.keeps_all)],
        script="differing_snapshot",
    ),
    Mutant(
        "two changes of membership at once",
        "one-change",
        [(log_replication, "propose", variants.swaps)],
    ),
    Mutant(
        "whoever asks may leave",
        "leaver-free",
        [(leaving, "_can_spare", lambda *args: True)],
        script="leaver_needed",
    ),
    Mutant(
        "an empty machine founds at any time",
        "one-group",
        [
            (bootstrap, "tick", variants.founds(bootstrap.tick)),
            (bootstrap, "on_request", variants.founds(bootstrap.on_request)),
        ],
        script="two_groups",
    ),
    Mutant(
        "durable told before it is",
        "answers-kept",
        [(batch_writer, "report_durable", variants.settles_early)],
    ),
    Mutant(
        "reads not confirmed by a majority",
        "reads-current",
        [(log_replication, "confirmed_round", lambda g: g.round)],
        script="deposed_read",
    ),
    Mutant(
        "the last entry not read back", "disk-kept", [(disks, "load_entries", variants.drops_last)]
    ),
    Mutant(
        "the log cut behind an older snapshot",
        "disk-trusted",
        [(log_compaction, "trim", variants.removes_too_much)],
    ),
    Mutant(
        "no election after the first", "serves-again", [(election, "tick", variants.no_election)]
    ),
    Mutant(
        "an acknowledgement of one removed",
        "core-runs",
        [(log_replication, "on_ack", variants.strict_others)],
        script="removed_member",
    ),
)


def seen(mutant, seeds=range(60), length=700):
    """How the mutant shows: what its script breaks, or the first walk that breaks its
    invariant; None if nothing does."""
    judged = [mutant.invariant]
    with patched(mutant.changes):
        if mutant.script:
            return _by_script(mutant, judged)
        for seed in seeds:
            made = walk(seed, length, judged=judged)
            if made.found:
                return f"{made.found[0].invariant} by seed {seed} in {made.steps} steps"
    return None


def _by_script(mutant, judged):
    try:
        scripts.run(mutant.script, judged)
    except Violation as broken:
        return f"{broken.invariant} by script {mutant.script}"
    return None
