"""Memory of running processes, from the system's own tables."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "reset_peak", "usage_of"]

_KIB_PER_MB = 1024
# Written to `clear_refs`, it has the kernel begin a process's peak anew (proc(5)).
_RESET_PEAK = "5"


@dataclass(frozen=True)
class Usage:
    """Memory of a process in MB: resident now, resident at its peak, and its address space."""

    resident_mb: float
    peak_mb: float
    virtual_mb: float


def usage_of(pid):
    """The Usage of a running process."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf8")
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)

    def megabytes(name):
        return int(fields[name].split()[0]) / _KIB_PER_MB

    return Usage(megabytes("VmRSS"), megabytes("VmHWM"), megabytes("VmSize"))


def reset_peak(pid):
    """Begin the peak of a process anew at what it holds now."""
    Path(f"/proc/{pid}/clear_refs").write_text(_RESET_PEAK, encoding="utf8")
