"""Steps on the log that a leader and a follower share: writes, truncation and commits."""

from transport.effects import Write

from replication import state_machine
from replication.group import entry_at, term_at

__all__ = ["advance_commit", "mark_written", "truncate", "write"]


def write(replica, now_ms, entries, inline=False):
    """Write entries, which are in the in-memory log already, to the disk."""
    replica.writes.append([entries[-1].index, entries[-1].term, False, now_ms])
    return [Write(entries, inline, replica.synced)]


def truncate(replica, index):
    """Drop the entries from `index` on, which conflict with those of a new leader."""
    del replica.log[index - replica.base_index - 1 :]
    replica.synced = min(replica.synced, index - 1)
    while replica.member_entries and replica.member_entries[-1][0] >= index:
        replica.member_entries.pop()


def mark_written(replica, index, term):
    """Record that a write is synced; `synced` advances once all earlier writes are, too."""
    for pending in replica.writes:
        if pending[0] == index and pending[1] == term:
            pending[2] = True
    while replica.writes and replica.writes[0][2]:
        last, last_term, _, _ = replica.writes.pop(0)
        if term_at(replica, last) == last_term:
            replica.synced = max(replica.synced, last)


def advance_commit(replica, commit):
    """Apply the entries up to `commit` to the state machine."""
    while replica.commit < commit:
        entry = entry_at(replica, replica.commit + 1)
        state_machine.apply_body(replica.state, entry.body, entry.index)
        replica.commit += 1
    while replica.member_entries and replica.member_entries[0][0] <= replica.commit:
        replica.member_entries.pop(0)
    return []
