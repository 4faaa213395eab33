"""The whole check as one report: searches, walks and mutants, side by side in processes.

Every part has a fixed size and seed, so a report can be made again; the time it took is
told, and nothing depends on it.
"""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from simulation.model.endings import after_a_loss
from simulation.model.hooks import settled
from simulation.model.invariants import INVARIANTS
from simulation.model.mutants import MUTANTS, seen
from simulation.model.search import search
from simulation.model.starts import STARTS
from simulation.model.walks import settings_of, shortened, walk

__all__ = ["Plan", "Part", "SEARCHES", "CHECK_PLAN", "run_search", "report"]

# Seconds for which the trace of a walk that broke something is shortened.
_SHORTEN_S = 60.0
_WALKS_PER_PART = 10


@dataclass(frozen=True)
class Searched:
    """From where a search begins, and how often each kind of trouble may come."""

    start: str
    limits: dict


@dataclass(frozen=True)
class Plan:
    """How much is checked; the same plan sees the same states."""

    replicas: tuple = (3, 4, 5)
    states: int = 20_000
    depth: int = 40
    walks: int = 400
    steps: int = 1500
    seed: int = 1
    mutants: bool = True


@dataclass
class Part:
    """What one part of the check has seen."""

    name: str
    kind: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = False
    commands: int = 0
    seconds: float = 0.0
    broken: list = field(default_factory=list)


SEARCHES = (
    Searched("empty", {"ask": 2, "timeout": 1, "crash": 1, "restart": 1, "lose-disk": 1}),
    Searched("founded", {"timeout": 2, "silence": 2, "command": 1, "crash": 1, "restart": 1}),
    Searched("led", {"timeout": 1, "silence": 2, "command": 2, "crash": 1, "restart": 1}),
    Searched("led", {"timeout": 1, "silence": 2, "leave": 1, "unheard": 1, "duplicate": 1}),
    Searched("led", {"command": 1, "stall": 1, "timeout": 1, "silence": 1, "read": 1}),
    Searched("led", {"lose-disk": 1, "restart": 2, "gone": 1, "heartbeat": 1, "crash": 1}),
    Searched("replacing", {"gone": 2, "heartbeat": 2, "crash": 1, "restart": 1}),
    Searched("spare", {"gone": 2, "heartbeat": 2, "lose-disk": 1, "command": 1}),
    Searched("joining", {"gone": 1, "heartbeat": 1, "crash": 1, "lose-disk": 1, "timeout": 1}),
    Searched("joining", {"heartbeat": 1, "leave": 1, "silence": 1, "timeout": 1, "crash": 1}),
    Searched("successor", {"leave": 1, "heartbeat": 2, "crash": 1, "command": 1}),
    Searched("successor", {"leave": 1, "heartbeat": 1, "lose-disk": 1, "timeout": 1}),
    Searched("late", {"command": 1, "duplicate": 1}),
    Searched("late", {"crash": 1, "restart": 1, "torn": 1, "timeout": 1, "silence": 1}),
)
CHECK_PLAN = Plan(replicas=(3,), states=1500, walks=24, steps=400)


def run_search(searched, replicas, states, depth):
    """One search; its part of the report."""
    part = Part(f"{searched.start} {_limits(searched)} ({replicas} replicas)", "search")
    settings, start = STARTS[searched.start]
    settings = settings(replicas)
    with settled(settings):
        result = search(start(settings), searched.limits, depth, states, at_state=after_a_loss)
    part.states, part.steps, part.depth = result.states, result.steps, result.depth
    part.whole, part.seconds = result.whole, result.seconds
    part.broken = [(f.invariant, f.detail, [str(s) for s in f.trace]) for f in result.found]
    return part


def _limits(searched):
    return ",".join(f"{kind}:{most}" for kind, most in searched.limits.items())


def _run_walks(first, count, length):
    part = Part(f"walks from seed {first} to {first + count - 1}", "walk")
    for seed in range(first, first + count):
        made = walk(seed, length)
        part.steps += made.steps
        part.states += made.steps
        part.commands += made.committed
        part.depth = max(part.depth, made.steps)
        part.seconds += made.seconds
        for found in made.found:
            trace = shortened(settings_of(seed), found.trace, found.invariant, _SHORTEN_S)
            told = f"seed {seed}: {found.detail}"
            part.broken.append((found.invariant, told, [str(s) for s in trace]))
    return part


def _run_mutant(number):
    mutant, began = MUTANTS[number], time.monotonic()
    part = Part(f"{mutant.invariant}: {mutant.name}", "mutant")
    how = seen(mutant)
    part.seconds = time.monotonic() - began
    part.broken = [] if how is None else [(mutant.invariant, how, [])]
    return part


def _parts(plan):
    for replicas in plan.replicas:
        for searched in SEARCHES:
            yield run_search, (searched, replicas, plan.states, plan.depth)
    for first in range(plan.seed, plan.seed + plan.walks, _WALKS_PER_PART):
        count = min(_WALKS_PER_PART, plan.seed + plan.walks - first)
        yield _run_walks, (first, count, plan.steps)
    if plan.mutants:
        for number in range(len(MUTANTS)):
            yield _run_mutant, (number,)


def report(plan, workers, tell):
    """Run a plan and tell each part; how many parts are not as they should be."""
    began = time.monotonic()
    with ProcessPoolExecutor(workers) as pool:
        waiting = [pool.submit(run, *args) for run, args in _parts(plan)]
        parts = [_told(each.result(), tell) for each in waiting]
    wrong = [p for p in parts if bool(p.broken) == (p.kind != "mutant")]
    shown = {p.broken[0][0] for p in parts if p.kind == "mutant" and p.broken}
    searches = [p for p in parts if p.kind == "search"]
    walks = [p for p in parts if p.kind == "walk"]
    tell(
        f"searches: {len(searches)}, {sum(p.states for p in searches)} states, "
        f"{sum(p.steps for p in searches)} steps, depth {_depths(searches)}, "
        f"{sum(p.whole for p in searches)} of them whole"
    )
    tell(
        f"walks: {plan.walks} from seed {plan.seed}, {sum(p.steps for p in walks)} steps, "
        f"{sum(p.commands for p in walks)} entries committed"
    )
    if plan.mutants:
        missed = sorted(set(INVARIANTS) - shown)
        tell(
            f"mutants: {sum(bool(p.broken) for p in parts if p.kind == 'mutant')} of "
            f"{len(MUTANTS)} seen, {len(shown)} of {len(INVARIANTS)} invariants shown red"
            + (f", not: {', '.join(missed)}" if missed else "")
        )
    tell(f"{len(wrong)} parts wrong, {time.monotonic() - began:.0f} s with {workers} processes")
    return len(wrong)


def _depths(searches):
    depths = [p.depth for p in searches]
    return f"{min(depths)} to {max(depths)}" if depths else "0"


def _told(part, tell):
    if part.kind == "mutant":
        tell(f"{part.name}: {part.broken[0][1] if part.broken else 'NOT SEEN'}")
        return part
    whole = ", whole" if part.whole else ""
    tell(
        f"{part.name}: {part.states} states, {part.steps} steps, depth {part.depth}{whole}, "
        f"{part.seconds:.1f} s"
    )
    for invariant, detail, trace in part.broken:
        tell(f"  BROKEN {invariant} ({INVARIANTS[invariant]}): {detail}")
        for step in trace:
            tell(f"    {step}")
    return part
