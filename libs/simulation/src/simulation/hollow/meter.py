"""What one hollow node sends, takes and spends, counted by kind.

A kind is a message's type, or the event's own where no message came.  Time is
the process's own around the core's function and the packing of what it sends.
"""

import sys
from dataclasses import dataclass, field
from types import BuiltinFunctionType, FunctionType, ModuleType

__all__ = ["Meter", "Tally", "took", "sent", "spent", "total", "sized"]

_SHARED = (type, FunctionType, BuiltinFunctionType, ModuleType)


@dataclass
class Tally:
    count: int = 0
    bytes: int = 0
    cpuS: float = 0.0


@dataclass
class Meter:
    taken: dict = field(default_factory=dict)
    given: dict = field(default_factory=dict)
    worked: dict = field(default_factory=dict)


def _add(tallies, kind, count, size, cpuS):
    tally = tallies.setdefault(kind, Tally())
    tally.count += count
    tally.bytes += size
    tally.cpuS += cpuS


def took(meter, kind, size):
    _add(meter.taken, kind, 1, size, 0.0)


def sent(meter, kind, size):
    _add(meter.given, kind, 1, size, 0.0)


def spent(meter, kind, cpuS):
    _add(meter.worked, kind, 1, 0, cpuS)


def total(tallies, what):
    return sum(getattr(tally, what) for tally in tallies.values())


def sized(thing):
    """Bytes of a node's state, everything it alone refers to walked once."""
    seen, todo, size = set(), [thing], 0
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, _SHARED):
            continue
        seen.add(id(one))
        size += sys.getsizeof(one)
        if isinstance(one, dict):
            todo += one.keys()
            todo += one.values()
        elif isinstance(one, (str, bytes, int, float)):
            continue
        elif hasattr(one, "__dict__"):
            todo.append(vars(one))
        elif hasattr(one, "__iter__"):
            todo += one
    return size
