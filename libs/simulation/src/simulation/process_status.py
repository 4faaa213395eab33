"""What the system tells of a running process."""

from pathlib import Path

__all__ = ["handles_signal"]


def handles_signal(pid, number):
    """Whether a process handles or ignores a signal; False if there is no such process."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="utf8")
    except (FileNotFoundError, ProcessLookupError):
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines() if line.startswith("Sig"))
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled >> (number - 1) & 1)
