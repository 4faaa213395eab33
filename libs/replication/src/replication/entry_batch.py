"""How many entries go in one message: one at least, and not more than some bytes."""

__all__ = ["up_to_bytes"]


def up_to_bytes(entries, most):
    """(the first of `entries` that have at most so many bytes together, their bytes)."""
    found: list = []
    total = 0
    for entry in entries:
        size = len(entry.body)
        if found and total + size > most:
            break
        found.append(entry)
        total += size
    return tuple(found), total
