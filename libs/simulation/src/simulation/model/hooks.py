"""What the core is run with here: small numbers, and decoding remembered."""

import contextlib
import functools

from replication import disk as disks
from replication import group as groups
from replication import log_compaction, log_replication, state_machine
from transport import codec

from simulation.model.invariants import INVARIANTS, JUDGED

__all__ = ["settled", "patched"]

# Entries decoded alike again and again along a search.
_REMEMBERED = 200_000


@contextlib.contextmanager
def patched(changes):
    """Replace attributes of modules for a while."""
    kept = [(owner, name, getattr(owner, name)) for owner, name, _ in changes]
    for owner, name, value in changes:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in reversed(kept):
            setattr(owner, name, value)


@contextlib.contextmanager
def settled(settings, judged=None):
    """The core with the settings' small numbers, and bodies decoded once; of the
    invariants, only those `judged` if any are named."""
    decode = functools.lru_cache(maxsize=_REMEMBERED)(codec.from_bytes)
    JUDGED.append(frozenset(judged or INVARIANTS))
    changes = [
        (disks, "sync_file", lambda path: None),
        (log_compaction, "_KEPT_ENTRIES", settings.keep_entries),
        (log_replication, "_PER_SEND", settings.per_send),
        (state_machine, "from_bytes", decode),
        (groups, "from_bytes", decode),
    ]
    try:
        with patched(changes):
            yield
    finally:
        JUDGED.pop()
