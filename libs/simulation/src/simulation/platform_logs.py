"""What the nodes of a fleet wrote to their logs."""

__all__ = ["lines_of"]


def lines_of(folder, what):
    """The lines of one kind, node by node."""
    found = []
    for log in sorted(folder.glob("*.log")):
        text = log.read_text(encoding="utf8", errors="replace")
        found += [line for line in text.splitlines() if f'"what": "{what}"' in line]
    return found
