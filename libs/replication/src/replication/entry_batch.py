"""Limits the size of messages that carry log entries."""

__all__ = ["take_up_to_bytes"]


def take_up_to_bytes(entries, limit_bytes):
    """Return the first entries with at most `limit_bytes` together, but at least one, as a
    tuple, and their total size."""
    batch: list = []
    total = 0
    for entry in entries:
        size = len(entry.body)
        if batch and total + size > limit_bytes:
            break
        batch.append(entry)
        total += size
    return tuple(batch), total
