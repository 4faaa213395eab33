"""What the operators' register must look like from outside: one copy, one call at a time.

A change is taken once, on top of the edition that it names; the same change again is
confirmed and changes nothing.  A zone may be evacuated or restored at any time.
"""

import json
from dataclasses import dataclass, replace

from simulation.platform_made import patched

__all__ = ["Change", "ReadConfiguration", "ReadZones", "State", "ZoneOrder", "apply", "canonical"]

TAKEN, INVALID, STALE = 200, 400, 412


@dataclass(frozen=True)
class Change:
    """A configuration, whole or partial, that builds on the edition `expect`."""

    order: str
    expect: int
    edition: int
    body: str
    partial: bool = False
    valid: bool = True


@dataclass(frozen=True)
class ReadConfiguration:
    """Its outcome is (edition, the whole configuration)."""


@dataclass(frozen=True)
class ZoneOrder:
    """Evacuate a zone, or restore it."""

    zone: str
    evacuated: bool


@dataclass(frozen=True)
class ReadZones:
    """Its outcome is the set of the zones evacuated."""


@dataclass(frozen=True)
class State:
    edition: int = 0
    body: str = ""
    zones: frozenset = frozenset()
    taken: frozenset = frozenset()
    refused: frozenset = frozenset()


def canonical(told):
    """A configuration as text, alike for all that reads back alike."""
    return json.dumps(told, sort_keys=True)


def apply(state, action, outcome):
    """The state after an action that had this outcome; None if it can't have had it.  An
    outcome of None means an action that took effect and was never answered."""
    if isinstance(action, Change):
        return _change(state, action, outcome)
    if isinstance(action, ReadConfiguration):
        return state if outcome == (state.edition, state.body) else None
    if isinstance(action, ReadZones):
        return state if outcome == state.zones else None
    if outcome not in (None, TAKEN):
        return None
    zones = state.zones | {action.zone} if action.evacuated else state.zones - {action.zone}
    return replace(state, zones=zones)


def _change(state, change, outcome):
    if change.order in state.taken:
        return state if outcome in (None, TAKEN) else None
    if change.order in state.refused:
        # For good: what was refused must never be in force.
        return state if outcome in (None, STALE, INVALID) else None
    refused = replace(state, refused=state.refused | {change.order})
    current = change.expect == state.edition
    valid = change.valid and change.edition > state.edition
    if outcome == STALE:
        return None if current else refused
    if outcome == INVALID:
        return None if valid else refused
    if outcome not in (None, TAKEN) or not (current and valid):
        return None
    body = change.body
    if change.partial:
        body = canonical(patched(json.loads(state.body), json.loads(change.body)))
    taken = state.taken | {change.order}
    return replace(state, edition=change.edition, body=body, taken=taken)
