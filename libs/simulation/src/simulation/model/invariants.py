"""The invariants by name, and the small judgements that they are made of."""

import functools
from dataclasses import dataclass

from replication import group as groups
from replication import state_machine

from simulation.model.storage import Untrusted

__all__ = [
    "INVARIANTS",
    "JUDGED",
    "Violation",
    "Before",
    "EMPTY_STATE",
    "applied",
    "records_in",
    "state_bytes",
    "committed_entry",
    "two_changes",
    "counts",
    "holds",
    "is_needed",
    "kept_without",
]

INVARIANTS = {
    "election-safety": "one leader a term",
    "votes-kept": "a vote is on the disk before it is told, and given once a term",
    "majority-elects": "a leader has the saved votes of a majority of the newest membership",
    "log-matching": "entries of one index and term are equal, and all before them",
    "terms-ordered": "terms in a log never go down",
    "leader-completeness": "what is committed is in the log of every later leader",
    "state-machine-safety": "one index, one entry applied; the state is what they make",
    "majority-commits": "what a leader commits is synced at a majority of the newest membership",
    "acknowledged-kept": "an acknowledged position is synced when told, and not given back",
    "commit-forward": "a replica's commit never goes back while it runs",
    "one-group": "only one group ever has a leader or a log",
    "one-change": "the memberships of neighbouring configurations share a majority",
    "answers-kept": "what a client was told durable is committed as it was sent",
    "reads-current": "a confirmed read sees all that was committed when it began",
    "disk-kept": "a folder read back holds all that was synced",
    "disk-trusted": "a folder is read back after any loss of power",
    "leaver-free": "whoever is let go is needed for nothing that is committed",
    "serves-again": "once trouble ends a majority serves, and each running member catches up",
    "core-runs": "the core raises no error",
}


class Violation(Exception):
    """A broken invariant."""

    def __init__(self, invariant, detail):
        super().__init__(f"{invariant}: {detail}")
        self.invariant, self.detail = invariant, detail

    def __reduce__(self):
        return Violation, (self.invariant, self.detail)


# What new worlds judge: all, or a mutant's own invariant alone.
JUDGED = [frozenset(INVARIANTS)]


@dataclass(frozen=True)
class Before:
    """A replica before the event that it is handling."""

    identity: str
    commit: int
    base: int
    log: tuple
    led: int


EMPTY_STATE = state_machine.snapshot(state_machine.StateMachine())


@functools.lru_cache(maxsize=4096)
def applied(before, body, index):
    """The state after one more entry."""
    state = state_machine.restore(before)
    state_machine.apply_body(state, body, index)
    return state_machine.snapshot(state)


def state_bytes(state):
    """The state written out, without shards that nothing was ever written to: a leader
    that looks for a shard's holder makes an empty one."""
    empty = state_machine.ShardState()
    used = {number: shard for number, shard in state.shards.items() if shard != empty}
    return state_machine.snapshot(
        state_machine.StateMachine(used, state.members, state.members_stamp)
    )


@functools.lru_cache(maxsize=256)
def records_in(state):
    part = state_machine.restore(state).shards.get(0)
    return tuple(part.records) if part else ()


def committed_entry(group, was, index):
    """An entry just committed, though it may be trimmed already."""
    if index > group.base_index:
        return groups.entry_at(group, index)
    return was.log[index - was.base - 1]


def two_changes(group):
    """What is wrong where memberships under way differ by more than one member from the
    one before, or more than one is under way; nothing if all is well."""
    before = set(group.state.members) or {m.identity for m in group.founders}
    for _, members in group.member_entries:
        after = set(members)
        if before and len(before ^ after) > 1:
            return f"from {sorted(before)} to {sorted(after)}"
        before = after
    if group.commit >= group.term_index and len(group.member_entries) > 1:
        return "a change before the last is committed"
    return ""


def counts(replica, index, term):
    """Whether a running replica still counts the entry as its own and synced, or has it in
    the snapshot on its disk."""
    if replica.core is None:
        return True
    group = replica.core.group
    return index <= max(group.base_index, group.snapshot_index) or (
        group.synced >= index and groups.term_at(group, index) == term
    )


def holds(replica, index, term):
    """Whether the disk has the entry, whatever under way is lost now."""
    storage = replica.storage
    if index <= storage.view_index():
        return True
    try:
        kept = storage.durable()
    except Untrusted as refused:
        raise Violation("disk-trusted", f"{replica.identity}: {refused}") from refused
    place = index - storage.view_index() - 1
    return place < len(kept) and (term < 0 or kept[place].term == term)


def kept_without(others, in_force, committed):
    """Whether the disks of some have all that is committed, and are a majority of the
    committed membership or of a newer one that a leader has."""
    last, term = len(committed), committed[-1][0]
    having = {r.identity for r in others if holds(r, last, term)}
    return any(len(having & set(members)) > len(members) // 2 for members in in_force)


def is_needed(replica, replicas, in_force, committed):
    """Whether a majority has all that is committed with a replica, and none without it."""
    if not committed:
        return False
    others = [r for r in replicas if r is not replica]
    with_it = kept_without(replicas, in_force, committed)
    return with_it and not kept_without(others, in_force, committed)
