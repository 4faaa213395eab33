"""What a soak does: one seed gives every trouble, its time and whom it strikes."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["ORDERLY_STOPS", "SIZES", "Size", "SoakPlan", "Trouble", "TroubleKind", "troubles"]


class TroubleKind(Enum):
    """What is done to a process of ours or to an engine."""

    STOP = "SIGTERM, and a start once it has ended"
    STOP_TWICE = "a second SIGTERM while it stops"
    STOP_AND_RELOAD = "SIGHUP beside SIGTERM"
    STOP_AND_KILL = "SIGKILL in its grace"
    STOP_AT_START = "SIGTERM as soon as it has been started"
    RELOAD = "SIGHUP"
    KILL = "SIGKILL, and a start"
    FREEZE = "SIGSTOP for a while"
    RELOADS_AT_START = "SIGHUPs one after the other from the start until it serves"
    START_BESIDE = "SIGTERM, and a start at once, while it still stops"
    SETTINGS_AT_START = "half of its settings file, until it has been started for a while"
    ENGINE_CRASH = "an engine is gone, another one comes"
    ENGINE_LEAVES = "an engine says that it leaves, another one comes"
    ENGINE_MOVES_IN = "an engine of another service at the address of one that is gone"
    ENGINE_ANSWERS = "an engine breaks, doubles or delays its next answers"


_ENGINE_KINDS = tuple(kind for kind in TroubleKind if kind.name.startswith("ENGINE"))
# Troubles of a process that starts; they come only in the sizes that ask for them.
_START_KINDS = (
    TroubleKind.RELOADS_AT_START,
    TroubleKind.START_BESIDE,
    TroubleKind.SETTINGS_AT_START,
)
_NODE_KINDS = tuple(
    kind for kind in TroubleKind if kind not in _ENGINE_KINDS and kind not in _START_KINDS
)
ORDERLY_STOPS = (TroubleKind.STOP, TroubleKind.STOP_TWICE, TroubleKind.STOP_AND_RELOAD)
# Of all troubles, the share that strikes a depot; the others strike counters and engines.
_DEPOT_SHARE = 0.25
_ENGINE_SHARE = 0.4
_SERIES = (1, 4)
_PAUSE_S = (0.05, 0.8)


@dataclass(frozen=True)
class Size:
    """`counters` and engines by zone, callers at once, models, and series of troubles a
    minute; depots are always three.  `only_stops`: the
    only troubles are orderly stops of counters, beside which nothing excuses a lost request.
    `starts`: troubles strike processes only, half of them while these start.
    `load_ms`, `hold_ms`, `aim_ms` and `drops_models` as
    in the judge's Plan."""

    counters: int
    engines: int
    callers: int
    models: int
    series_per_minute: float
    load_ms: float = 300.0
    hold_ms: int = 8000
    aim_ms: int = 500
    drops_models: bool = False
    only_stops: bool = False
    starts: bool = False


SIZES = {
    "small": Size(3, 2, 10, 12, 20),
    "usual": Size(4, 3, 16, 24, 30),
    "biggest": Size(60, 16, 64, 150, 60),
    "waiting": Size(3, 2, 24, 16, 16, 3900.0, 20_000, 6000, only_stops=True),
    "starting": Size(4, 2, 10, 12, 40, starts=True),
    "dropping": Size(3, 2, 24, 8, 8, drops_models=True),
}


@dataclass(frozen=True)
class SoakPlan:
    """`seconds`: how long callers send; `size`: a name in SIZES."""

    seed: int
    seconds: float
    size: str = "usual"


@dataclass(frozen=True)
class Trouble:
    """One blow at `at_s`; `target` picks one of the processes or engines there are then, and
    `for_s` is how long a process stands still or is let stop."""

    at_s: float
    kind: TroubleKind
    on_depot: bool
    target: float
    for_s: float


def troubles(plan):
    """All Troubles of a plan by time.  They come in series whose blows overlap: one begins
    before the one before it is over."""
    rng = random.Random(f"troubles {plan.seed}")
    size = SIZES[plan.size]
    count = max(1, round(size.series_per_minute * plan.seconds / 60))
    found = []
    for _ in range(count):
        at_s = rng.uniform(0.5, max(1.0, plan.seconds - 2.0))
        for _ in range(rng.randint(*_SERIES)):
            found.append(_trouble_of_size(rng, at_s, size))
            at_s += rng.uniform(*_PAUSE_S)
    return sorted((t for t in found if t.at_s < plan.seconds), key=lambda t: t.at_s)


def _trouble_of_size(rng, at_s, size):
    if size.only_stops:
        return _stop(rng, at_s)
    if size.starts:
        return _trouble_of_process(rng, at_s)
    return _trouble(rng, at_s)


def _trouble_of_process(rng, at_s):
    """A trouble of a process, as often as not one that comes while it starts."""
    kind = rng.choice(rng.choice((_START_KINDS, _NODE_KINDS)))
    on_depot = rng.random() < _DEPOT_SHARE
    return Trouble(at_s, kind, on_depot, rng.random(), rng.uniform(0.2, 2.0))


def _stop(rng, at_s):
    """An orderly stop of a counter."""
    return Trouble(at_s, rng.choice(ORDERLY_STOPS), False, rng.random(), rng.uniform(0.2, 2.0))


def _trouble(rng, at_s):
    engine = rng.random() < _ENGINE_SHARE
    kind = rng.choice(_ENGINE_KINDS if engine else _NODE_KINDS)
    on_depot = not engine and rng.random() < _DEPOT_SHARE
    return Trouble(at_s, kind, on_depot, rng.random(), rng.uniform(0.2, 2.0))
