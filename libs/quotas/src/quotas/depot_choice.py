"""Which depot a node asks for tokens: in turn, each node and tenant from another start.

A depot that hasn't answered, or may not grant, is passed over and asked now and then
whether it grants again; were all of them so, they are tried all the same.  One that had
too few tokens is left alone until it said that the next one comes.
"""

import zlib
from dataclasses import dataclass, field

__all__ = ["Depots", "Told", "answered", "candidates", "is_away", "next_ms", "pick"]
__all__ += ["note_delay", "probes_due", "set_away", "silent_ms", "start", "update"]

_PROBE_MS = 1000.0
# For how long it counts what a depot said to have left.
_REMEMBERED_MS = 1000.0
# An ask may be unanswered for so many times as long as its depot's last answer took.
_DELAYS = 1.5
_LONGEST_SILENT_MS = 750.0


@dataclass(frozen=True)
class Told:
    """What a depot said of a tenant's bucket."""

    at_ms: float
    left: float
    empty_until_ms: float


@dataclass
class Depots:
    """`away`: when to probe each depot that is passed over; `delays_ms`: how long the last
    answer of each took."""

    addresses: tuple = ()
    away: dict = field(default_factory=dict)
    delays_ms: dict = field(default_factory=dict)


def update(depots, addresses):
    """Learn the depots of the present membership."""
    found = tuple(sorted(addresses))
    if found == depots.addresses:
        return
    depots.addresses = found
    depots.away = {a: at_ms for a, at_ms in depots.away.items() if a in found}
    depots.delays_ms = {a: ms for a, ms in depots.delays_ms.items() if a in found}


def start(node, tenant, number):
    """Where a node begins with a tenant, so that the depots are drawn on evenly."""
    return zlib.crc32(f"{node}|{tenant}".encode()) % max(1, number)


def answered(depots, address, granting, now_ms):
    """A depot has answered, and said whether it grants."""
    if granting:
        depots.away.pop(address, None)
    else:
        set_away(depots, address, now_ms)


def note_delay(depots, address, delay_ms):
    """A depot's answer has taken so long."""
    depots.delays_ms[address] = delay_ms


def silent_ms(depots, address, usual_ms):
    """How long an ask may be unanswered until its depot counts as silent: longer for one
    whose last answer came late, since asking others meanwhile draws more tokens."""
    return max(usual_ms, min(_LONGEST_SILENT_MS, _DELAYS * depots.delays_ms.get(address, 0.0)))


def set_away(depots, address, now_ms):
    """Pass a depot over until it answers a probe."""
    depots.away.setdefault(address, now_ms + _PROBE_MS)


def is_away(depots):
    """Whether no depot is known to grant."""
    return not [a for a in depots.addresses if a not in depots.away]


def probes_due(depots, now_ms):
    """The depots to be asked now whether they grant again."""
    due = [a for a in depots.addresses if depots.away.get(a, now_ms + 1) <= now_ms]
    for address in due:
        depots.away[address] = now_ms + _PROBE_MS
    return due


def _empty(told, address, now_ms):
    return address in told and told[address].empty_until_ms > now_ms


def candidates(depots, told, turn, now_ms):
    """The depots that may have tokens, the next in turn first."""
    known = depots.addresses
    if not is_away(depots):
        known = tuple(a for a in known if a not in depots.away)
    at = turn % len(known) if known else 0
    return [a for a in known[at:] + known[:at] if not _empty(told, a, now_ms)]


def pick(found, told, needed, now_ms):
    """The first candidate that isn't known to have too few, or else the first."""
    for address in found:
        said = told.get(address)
        if said is None or now_ms - said.at_ms > _REMEMBERED_MS or said.left >= needed:
            return address
    return found[0]


def next_ms(depots, told, now_ms):
    """When the first of the depots that grant will have a token again."""
    ends_ms = [told[a].empty_until_ms for a in depots.addresses if _empty(told, a, now_ms)]
    return min(ends_ms, default=now_ms)
