"""What leader and follower do alike with their copy of the log: writes and commits."""

from transport.effects import Write

from replication import state_machine
from replication.group import entry_at, term_at

__all__ = ["advance_commit", "mark_written", "truncate", "write"]


def write(replica, now_ms, entries, inline=False):
    """Have entries that are in the log already written to the disk."""
    replica.writes.append([entries[-1].index, entries[-1].term, False, now_ms])
    return [Write(entries, inline, replica.synced)]


def truncate(replica, index):
    """Drop the entries from `index` on, which another leader's take the place of."""
    del replica.log[index - replica.base_index - 1 :]
    replica.synced = min(replica.synced, index - 1)
    while replica.member_entries and replica.member_entries[-1][0] >= index:
        replica.member_entries.pop()


def mark_written(replica, index, term):
    """A write of ours is synced; count it once all before it are."""
    for pending in replica.writes:
        if pending[0] == index and pending[1] == term:
            pending[2] = True
    while replica.writes and replica.writes[0][2]:
        done, done_term, _, _ = replica.writes.pop(0)
        if term_at(replica, done) == done_term:
            replica.synced = max(replica.synced, done)


def advance_commit(replica, commit):
    """Apply entries up to `commit` to the state machine."""
    while replica.commit < commit:
        entry = entry_at(replica, replica.commit + 1)
        state_machine.apply_body(replica.state, entry.body, entry.index)
        replica.commit += 1
    while replica.member_entries and replica.member_entries[0][0] <= replica.commit:
        replica.member_entries.pop(0)
    return []
