"""Chooses the depot (log node) that a node asks for tokens.

Depots take turns, and each node and tenant starts at another one.  A depot that hasn't answered,
or may not grant, is passed over and probed from time to time; if none may grant, all are tried
nevertheless.  A depot that had too few tokens isn't asked again until its next token is due.
"""

import zlib
from dataclasses import dataclass, field

__all__ = [
    "Depots",
    "DepotReport",
    "note_answer",
    "candidates",
    "none_grants",
    "next_token_ms",
    "pick",
]
__all__ += ["note_delay", "probes_due", "pass_over", "answer_timeout_ms", "start", "update"]

_PROBE_INTERVAL_MS = 1000.0
# How long a depot's report of its remaining tokens is used.
_REPORT_VALID_MS = 1000.0
# A request times out after this multiple of the time that the depot's last answer took, if that
# is longer than the usual timeout.
_TIMEOUT_PER_DELAY = 1.5
_MAX_ANSWER_TIMEOUT_MS = 750.0


@dataclass(frozen=True)
class DepotReport:
    """What a depot reported about a tenant's bucket."""

    at_ms: float
    tokens_left: float
    empty_until_ms: float


@dataclass
class Depots:
    """The known depots.  `probe_at_ms`: when to probe each depot that is passed over; `delays_ms`:
    how long the last answer of each took."""

    addresses: tuple = ()
    probe_at_ms: dict = field(default_factory=dict)
    delays_ms: dict = field(default_factory=dict)


def update(depots, addresses):
    """Set the known depots to those of the current membership."""
    current = tuple(sorted(addresses))
    if current == depots.addresses:
        return
    depots.addresses = current
    depots.probe_at_ms = {a: at_ms for a, at_ms in depots.probe_at_ms.items() if a in current}
    depots.delays_ms = {a: ms for a, ms in depots.delays_ms.items() if a in current}


def start(node, tenant, number):
    """The index of the depot at which a node starts for a tenant, so that all depots are used
    evenly."""
    return zlib.crc32(f"{node}|{tenant}".encode()) % max(1, number)


def note_answer(depots, address, granting, now_ms):
    """Note whether a depot that has answered grants tokens."""
    if granting:
        depots.probe_at_ms.pop(address, None)
    else:
        pass_over(depots, address, now_ms)


def note_delay(depots, address, delay_ms):
    """Note how long a depot's answer took."""
    depots.delays_ms[address] = delay_ms


def answer_timeout_ms(depots, address, usual_ms):
    """How long to wait for a depot's answer.  A depot whose last answer was slow gets longer,
    since asking others meanwhile would draw more tokens."""
    return max(
        usual_ms,
        min(_MAX_ANSWER_TIMEOUT_MS, _TIMEOUT_PER_DELAY * depots.delays_ms.get(address, 0.0)),
    )


def pass_over(depots, address, now_ms):
    """Pass a depot over until it answers a probe."""
    depots.probe_at_ms.setdefault(address, now_ms + _PROBE_INTERVAL_MS)


def none_grants(depots):
    """Whether no depot is known to grant tokens."""
    return not [a for a in depots.addresses if a not in depots.probe_at_ms]


def probes_due(depots, now_ms):
    """The depots to probe now."""
    due = [a for a in depots.addresses if depots.probe_at_ms.get(a, now_ms + 1) <= now_ms]
    for address in due:
        depots.probe_at_ms[address] = now_ms + _PROBE_INTERVAL_MS
    return due


def _is_empty(reports, address, now_ms):
    """Whether a depot reported that its next token is still to come."""
    return address in reports and reports[address].empty_until_ms > now_ms


def candidates(depots, reports, turn, now_ms):
    """The depots that may have tokens, the next in turn first.  Depots that are passed over are
    left out, unless all are."""
    addresses = depots.addresses
    if not none_grants(depots):
        addresses = tuple(a for a in addresses if a not in depots.probe_at_ms)
    start_at = turn % len(addresses) if addresses else 0
    return [
        a for a in addresses[start_at:] + addresses[:start_at] if not _is_empty(reports, a, now_ms)
    ]


def pick(available, reports, needed, now_ms):
    """The first candidate that isn't known to have too few tokens; if all have, the first one."""
    for address in available:
        report = reports.get(address)
        if (
            report is None
            or now_ms - report.at_ms > _REPORT_VALID_MS
            or report.tokens_left >= needed
        ):
            return address
    return available[0]


def next_token_ms(depots, reports, now_ms):
    """When the first of the granting depots will have a token again."""
    ends_ms = [reports[a].empty_until_ms for a in depots.addresses if _is_empty(reports, a, now_ms)]
    return min(ends_ms, default=now_ms)
