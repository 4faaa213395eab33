"""The largest input against real processes: the peak memory of each role and of each process."""

import collections
import random
import threading
import time
from dataclasses import dataclass, field

from simulation.judge.trial import Plan, Trial
from simulation.memory import loads
from simulation.memory.usage import reset_peak, usage_of
from simulation.platform_settings import MEMORY_MB

__all__ = ["LOADS", "MemoryReport", "measure"]

_REST_S = 3.0
_MODELS = 24
_OPERATORS = 8
_ROUTES = 9_696


@dataclass
class MemoryReport:
    """What a load did.  MB of each process by name; `broken` is empty if all stayed within the
    limit of their settings and none ended."""

    load: str
    seed: int
    statuses: dict = field(default_factory=dict)
    before_mb: dict = field(default_factory=dict)
    peak_mb: dict = field(default_factory=dict)
    rest_mb: dict = field(default_factory=dict)
    virtual_mb: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)


@dataclass(frozen=True)
class _Load:
    """`make(trial, seed)` makes what sends `count` requests.  `lost_disk`: a depot starts again
    with an empty folder meanwhile."""

    make: object
    count: int
    lost_disk: bool = False


def _bodies(at_once, body_bytes=loads.LARGEST_BODY_BYTES, **options):
    return lambda trial, seed: loads.WholeBodies(trial, seed, at_once, body_bytes, **options)


def _configurations(routes):
    return lambda trial, seed: loads.Configurations(trial, seed, _OPERATORS, routes)


LOADS = {
    "one-by-one": _Load(_bodies(1, only_held=True), 180),
    "models-to-load": _Load(_bodies(1), 60),
    "three-at-once": _Load(_bodies(3), 90),
    "at-once": _Load(_bodies(60), 240),
    "small-at-once": _Load(_bodies(200, 100_001), 1200),
    "stalled": _Load(lambda trial, seed: loads.StalledBodies(trial, seed, 120), 120),
    "responses": _Load(lambda trial, seed: loads.Responses(trial, seed, 40), 80),
    "configurations": _Load(_configurations(_ROUTES), 60),
    "lost-disk": _Load(_configurations(_ROUTES), 60, lost_disk=True),
}


def measure(name, seed, count=None, counters=3):
    """Run a load of LOADS, with `count` requests in place of its own number; a MemoryReport."""
    load = LOADS[name]
    trial = Trial(Plan(seed, 0, 0, models=_MODELS, counters=counters, engines_by_zone=4))
    try:
        trial.start()
        return _measured(trial, name, load, seed, count or load.count)
    finally:
        trial.fleet.stop_all()


def _measured(trial, name, load, seed, count):
    fleet, report = trial.fleet, MemoryReport(name, seed)
    for node, process in fleet.running.items():
        reset_peak(process.pid)
        report.before_mb[node] = round(usage_of(process.pid).resident_mb)
    sender = load.make(trial, seed)
    trouble = threading.Thread(target=_lose_disks, args=(fleet, seed, load.lost_disk))
    trouble.start()
    sender.run(count)
    trouble.join()
    time.sleep(_REST_S)
    report.statuses = dict(collections.Counter(sender.statuses))
    for node, process in fleet.running.items():
        _judge(report, node, process, fleet)
    return report


def _lose_disks(fleet, seed, wanted):
    """Kill each depot in turn and start it with an empty folder."""
    rng = random.Random(seed)
    for name in rng.sample(fleet.depots, len(fleet.depots) if wanted else 0):
        time.sleep(_REST_S)
        fleet.kill(name)
        fleet.empty(name)
        fleet.start(name)
        fleet.until(lambda: fleet.leader() is not None)
        time.sleep(_REST_S)


def _judge(report, node, process, fleet):
    if process.poll() is not None:
        report.broken.append(f"{node} ended with {process.returncode}")
        return
    usage = usage_of(process.pid)
    report.peak_mb[node] = round(usage.peak_mb)
    report.rest_mb[node] = round(usage.resident_mb)
    report.virtual_mb[node] = round(usage.virtual_mb)
    limit_mb = MEMORY_MB["depot" if node in fleet.depots else "counter"]
    if usage.peak_mb > limit_mb:
        report.broken.append(f"{node} took {usage.peak_mb:.0f} MB of {limit_mb}")
