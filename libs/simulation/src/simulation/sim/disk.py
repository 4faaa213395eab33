"""A simulated data folder: what is synced survives, what is not may be lost.

Writes take time and finish in order of their own luck; a crash loses what has
not finished, or keeps some of it.  A stalled disk finishes nothing.
"""

from dataclasses import dataclass, field

from transport.effects import Install, Save

__all__ = ["SimDisk", "sync", "load", "begin_write", "end_write", "crash", "delay"]


@dataclass
class SimDisk:
    files: dict = field(default_factory=dict)
    log: list = field(default_factory=list)
    pending: dict = field(default_factory=dict)
    count: int = 0
    slowMs: float = 1.0
    stalled: bool = False


def delay(disk, rng):
    return disk.slowMs * (0.5 + rng.random())


def sync(disk, effect):
    """Save or Install, done whole."""
    if isinstance(effect, Save):
        disk.files[effect.name] = effect.body
    elif isinstance(effect, Install):
        disk.files["view"] = effect.body
        disk.log = [] if effect.restart else [(n, e) for n, e in disk.log if e.index > effect.index]


def begin_write(disk, entries):
    disk.count += 1
    disk.pending[disk.count] = entries
    return disk.count


def end_write(disk, number):
    for entry in disk.pending.pop(number):
        disk.log.append((number, entry))


def crash(disk, rng):
    """Power goes: each unfinished write is kept whole or lost; a hole cuts the rest."""
    for number in sorted(disk.pending):
        if rng.random() < 0.5:
            break
        end_write(disk, number)
    disk.pending.clear()


def load(disk, after):
    """Entries in the order they were claimed, later writings of an index winning."""
    found = {}
    for _, entry in sorted(disk.log, key=lambda x: x[0]):
        for index in [i for i in found if i >= entry.index]:
            del found[index]
        found[entry.index] = entry
    return [found[i] for i in sorted(found) if i > after]
