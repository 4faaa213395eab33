"""Compaction of the log: when a snapshot is taken, and which entries before it are kept."""

from transport.effects import Install

from replication import snapshot_sending
from replication.group import entry_at, snapshot_file, term_at

__all__ = ["trim"]

# Entries kept before a snapshot, for members and feed followers that are a little behind.
_KEPT_ENTRIES = 256
# Limit on the entries kept while a snapshot is being sent; a machine has some 300 MB of memory
# in all.
_RETAINED_BYTES = 16 << 20


def trim(replica):
    """Take a snapshot once enough was logged since the last one, and drop covered entries."""
    threshold = min(max(replica.settings.keep_bytes, replica.snapshot_bytes), _RETAINED_BYTES)
    if replica.bytes_since_snapshot < threshold or replica.commit <= replica.snapshot_index:
        return []
    body = snapshot_file(replica)
    replica.snapshot_index, replica.bytes_since_snapshot = replica.commit, 0
    replica.snapshot_bytes = len(body)
    index = _compaction_index(replica)
    term = term_at(replica, index)
    del replica.log[: index - replica.base_index]
    replica.base_index, replica.base_term = index, term
    return [Install(replica.snapshot_index, body)]


def _compaction_index(replica):
    """Return the index after which entries are kept: recent ones, for peers that are a little
    behind, and those after a snapshot that is being sent."""
    retained_after = snapshot_sending.retained_index(replica)
    size, index = 0, replica.commit
    while index > replica.base_index:
        size += len(entry_at(replica, index).body)
        recent = replica.commit - index < _KEPT_ENTRIES and size <= replica.settings.keep_bytes
        needed_for_transfer = (
            retained_after is not None and index > retained_after and size <= _RETAINED_BYTES
        )
        if not recent and not needed_for_transfer:
            break
        index -= 1
    return index
