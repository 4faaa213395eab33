"""Long random walks from seeds, for what the search can't reach.

A walk goes on through hundreds of commands with crashes, losses of power and of disks,
cuts in one or both directions, freezes, snapshots, late and duplicated messages and
changes of membership; then trouble ends, and the group must serve again.
"""

import random
import time
from dataclasses import dataclass, field

from simulation.model import endings
from simulation.model.choices import choices
from simulation.model.hooks import settled
from simulation.model.invariants import Violation
from simulation.model.machine import Settings
from simulation.model.search import Found
from simulation.model.steps import Skipped, Step, take
from simulation.model.world import found

__all__ = ["Walk", "walk", "shortened", "replayed", "settings_of"]

# How often each kind of step is taken, of those possible: mostly work, ...
_WORK = {
    "deliver": 60.0,
    "synced": 30.0,
    "command": 8.0,
    "heartbeat": 6.0,
    "timeout": 0.6,
    "restart": 3.0,
    "crash": 0.4,
    "duplicate": 3.0,
    "silence": 1.0,
    "read": 2.0,
    "lose-disk": 0.15,
    "leave": 0.1,
    "unheard": 0.1,
    "gone": 0.5,
    "stall": 0.05,
    "torn-before": 0.2,
    "torn-none": 0.4,
    "torn-first": 0.2,
    "torn-last": 0.2,
    "ask": 2.0,
    "add": 0.05,
}
# ... mostly elections, ...
_STORM = {
    **_WORK,
    "timeout": 6.0,
    "silence": 20.0,
    "crash": 2.0,
    "restart": 8.0,
    "unheard": 1.0,
    "leave": 1.0,
    "command": 4.0,
    "deliver": 50.0,
    "read": 4.0,
}
# ... mostly late and repeated messages.
_LATE = {
    **_WORK,
    "duplicate": 40.0,
    "deliver": 30.0,
    "command": 16.0,
    "timeout": 2.0,
    "silence": 6.0,
}
_KINDS = (_WORK, _STORM, _STORM, _LATE)
_MUCH = {kind.partition("-")[0] if kind.startswith("torn") else kind: 1_000_000 for kind in _WORK}
# How many walks begin with empty machines that found a group first.
_UNFOUNDED = 0.15
_TROUBLE_EACH, _TROUBLE_STEPS = 100, 120


@dataclass
class Walk:
    seed: int
    steps: int = 0
    commands: int = 0
    committed: int = 0
    snapshots: int = 0
    seconds: float = 0.0
    found: list = field(default_factory=list)


def settings_of(seed):
    """Three to five replicas; with snapshots soon, rarely or never."""
    chance = random.Random(seed * 7919 + 1)
    keep_bytes = chance.choice([1, 300, 2000, 1 << 30])
    return Settings(
        chance.choice([3, 3, 4, 5]),
        keep_bytes,
        chance.choice([1, 4, 256]),
        founded=chance.random() > _UNFOUNDED,
        packets=chance.choice([8, 12, 40]),
        per_send=chance.choice([1, 2, 64]),
    )


def walk(seed, length=1500, liveness=True, judged=None):
    """One walk; with a shortened trace where it broke an invariant."""
    began, chance = time.monotonic(), random.Random(seed)
    settings, weights = settings_of(seed), _KINDS[seed % len(_KINDS)]
    result, trace, muted = Walk(seed), [], {}
    with settled(settings, judged):
        world = found(settings)
        try:
            for number in range(length):
                step = _next(world, chance, muted, number, weights)
                if step is None:
                    continue
                trace.append(step)
                _taken(world, step)
                result.steps += 1
            if liveness:
                _end(world, chance, trace)
        except Violation as broken:
            result.found.append(Found(broken.invariant, broken.detail, trace))
    result.commands = world.history.commands
    result.committed = len(world.history.committed)
    result.seconds = time.monotonic() - began
    return result


def _taken(world, step):
    try:
        take(world, step)
    except Skipped:
        pass


def _end(world, chance, trace):
    """Those that are down stay down if the rest is enough, else they start again."""
    stopped = [r.name for r in world.replicas.values() if r.core is None and not r.broken]
    chance.shuffle(stopped)
    while not endings.within_tolerance(world) and stopped:
        step = Step("restart", stopped.pop())
        trace.append(step)
        _taken(world, step)
    if endings.within_tolerance(world):
        endings.serves_again(world)


def _next(world, chance, muted, number, weights):
    if number % _TROUBLE_EACH == _TROUBLE_EACH // 2:
        _trouble(world, chance, muted, number)
    for key in [k for k, until in muted.items() if until < number]:
        del muted[key]
    by_kind = {}
    for step in choices(world, _MUCH):
        if not _is_muted(step, muted):
            by_kind.setdefault(step.kind, []).append(step)
    if not by_kind:
        return None
    kinds = list(by_kind)
    kind = chance.choices(kinds, [weights[k] for k in kinds])[0]
    return chance.choice(by_kind[kind])


def _trouble(world, chance, muted, number):
    """Cut some replica off, one way or both, or freeze it, for a while."""
    name = chance.choice(list(world.replicas))
    until = number + chance.randrange(_TROUBLE_STEPS)
    how = chance.choice(["in", "out", "both", "freeze", "none"])
    if how == "freeze":
        muted[name] = until
    for other in world.replicas:
        if how in ("in", "both"):
            muted[other, name] = until
        if how in ("out", "both"):
            muted[name, other] = until


def _is_muted(step, muted):
    if step.name in muted:
        return True
    sender = getattr(step.detail, "sender", None)
    return (sender, step.name) in muted


def replayed(settings, trace):
    """Take the steps of a trace that can be taken; the violation met, if any."""
    with settled(settings):
        world = found(settings)
        try:
            for step in trace:
                _taken(world, step)
            if endings.within_tolerance(world):
                endings.serves_again(world)
        except Violation as broken:
            return broken
    return None


def shortened(settings, trace, invariant, seconds=60.0):
    """Leave out whatever the violation doesn't need."""
    until, size = time.monotonic() + seconds, max(1, len(trace) // 2)
    while time.monotonic() < until:
        at, before = 0, len(trace)
        while at < len(trace) and time.monotonic() < until:
            shorter = trace[:at] + trace[at + size :]
            broken = replayed(settings, shorter)
            if broken is not None and broken.invariant == invariant:
                trace = shorter
            else:
                at += size
        if size == 1 and len(trace) == before:
            break
        size = max(1, size // 2)
    return trace
