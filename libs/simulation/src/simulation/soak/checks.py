"""What a soak judges beside the judge's rules: stops, ends, leaks and logs."""

import os
import re
from dataclasses import dataclass
from pathlib import Path

from simulation.judge.comparison import Difference
from simulation.soak.sockets import peer_connections

__all__ = ["Use", "abrupt_ends", "cut_by_stops", "grown", "late_stops", "tracebacks", "use_of"]

# A stop takes its grace at most; the harness's own pauses are not counted on a node.
_GRACE_S = 8.0
_SLACK_S = 1.0
# A node at rest may have this much more than one that has just started, and no more.
_MORE_FILES, _MORE_THREADS, _MORE_MB = 60, 30, 80.0
# Ends of connections that a node holds for each node, itself included: each opens one to the other.
_CONNECTIONS_PER_PEER = 2
# 0 after SIGTERM, or the number of the signal, if a process had not come to its first line.
_ENDED = (0, -15, -9)
_TRACEBACK = re.compile(r"^Traceback \(most recent call last\)|\"CoreBroke\"", re.MULTILINE)


@dataclass(frozen=True)
class Use:
    """Descriptors but for connections between nodes, threads, memory and connections between
    nodes of a process."""

    files: int
    threads: int
    memory_mb: float
    peer_connections: int = 0


def use_of(pid, peer_addresses=frozenset()):
    """A Use of a running process, from the system's own tables.  `peer_addresses`: the
    addresses (host, port) at which nodes accept connections of other nodes."""
    connections = peer_connections(pid, peer_addresses)
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf8")
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    return Use(
        len(os.listdir(f"/proc/{pid}/fd")) - connections,
        int(fields["Threads"]),
        int(fields["VmRSS"].split()[0]) / 1024,
        connections,
    )


def grown(name, before, after, nodes):
    """Differences if a node at rest holds much more than it did when it had started, or more
    connections than it needs for `nodes` nodes."""
    found = []
    most_connections = _CONNECTIONS_PER_PEER * nodes
    if after.peer_connections > most_connections:
        detail = f"peer_connections: {after.peer_connections} of {most_connections}"
        found.append(Difference("LEAK", name, detail))
    for what, most in (
        ("files", _MORE_FILES),
        ("threads", _MORE_THREADS),
        ("memory_mb", _MORE_MB),
    ):
        more = getattr(after, what) - getattr(before, what)
        if more > most:
            found.append(Difference("LEAK", name, f"{what}: {more:.0f} more"))
    return found


def abrupt_ends(ends):
    """Processes that ended though nobody had told them to, or in another way than told."""
    return [
        Difference("ENDS", end.name, f"ended with {end.code}")
        for end in ends
        if not end.asked or end.code not in _ENDED
    ]


def late_stops(ends):
    """Stops that took longer than the grace that the platform leaves."""
    return [
        Difference("GRACE", end.name, f"took {end.took_s:.1f} s")
        for end in ends
        if end.asked and end.took_s > _GRACE_S + _SLACK_S
    ]


def cut_by_stops(lost, stops, hurt):
    """Requests on kept connections that had been written before their node was told to stop,
    and got no whole answer though it was let stop in order.

    `lost`: (address, from, to, begun) in ms; `stops`: (address, from, to) of orderly stops;
    `hurt`: (from, to) in ms of all other troubles, which excuse what overlaps them."""
    found = []
    for address, from_ms, to_ms, begun in lost:
        stopped = any(
            address == where and from_ms < start_ms <= to_ms <= end_ms
            for where, start_ms, end_ms in stops
        )
        excused = any(start_ms <= to_ms and from_ms <= end_ms for start_ms, end_ms in hurt)
        if stopped and not excused:
            detail = f"{to_ms - from_ms:.0f} ms, {'cut' if begun else 'no answer'}"
            found.append(Difference("DRAIN", address, detail))
    return found


def tracebacks(folder):
    """Logs of nodes in which something broke."""
    return [
        Difference("LOG", log.name, "a traceback")
        for log in sorted(Path(folder).glob("*.log"))
        if _TRACEBACK.search(log.read_text(encoding="utf8", errors="replace"))
    ]
