"""Compaction of the log: snapshots of the state, and which entries are kept behind them."""

from transport.effects import Install

from replication import snapshot_sending
from replication.group import entry_at, snapshot_file, term_at

__all__ = ["trim"]

# Entries kept behind a snapshot, for members and followers that are a little behind.
_KEPT_ENTRIES = 256
# While a snapshot is under way; a machine has some 300 MB in all.
_RETAINED_BYTES = 16 << 20


def trim(replica):
    """Take a snapshot once enough was logged since the last, and drop what it covers."""
    least = min(max(replica.settings.keep_bytes, replica.snapshot_bytes), _RETAINED_BYTES)
    if replica.bytes_since_snapshot < least or replica.commit <= replica.snapshot_index:
        return []
    body = snapshot_file(replica)
    replica.snapshot_index, replica.bytes_since_snapshot = replica.commit, 0
    replica.snapshot_bytes = len(body)
    keep = _first_kept(replica)
    term = term_at(replica, keep)
    del replica.log[: keep - replica.base_index]
    replica.base_index, replica.base_term = keep, term
    return [Install(replica.snapshot_index, body)]


def _first_kept(replica):
    """The index after which entries are kept for peers that are a little behind; and
    for one that takes in a snapshot, those after it."""
    needed = snapshot_sending.retained_index(replica)
    size, keep = 0, replica.commit
    while keep > replica.base_index:
        size += len(entry_at(replica, keep).body)
        near = replica.commit - keep < _KEPT_ENTRIES and size <= replica.settings.keep_bytes
        wanted = needed is not None and keep > needed and size <= _RETAINED_BYTES
        if not near and not wanted:
            break
        keep -= 1
    return keep
