"""Search of every order of steps, breadth first: the first trace found is a shortest."""

import time
from dataclasses import dataclass, field

from simulation.model.choices import choices
from simulation.model.invariants import Violation
from simulation.model.steps import Skipped, take

__all__ = ["Found", "Moves", "Search", "search"]


@dataclass
class Found:
    """A broken invariant and the steps that brought it about."""

    invariant: str
    detail: str
    trace: list


@dataclass
class Search:
    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = False
    seconds: float = 0.0
    found: list = field(default_factory=list)


@dataclass(frozen=True)
class Moves:
    """What may happen to a state: `choices(state, limits)` and `take(state, step)`."""

    choices: object
    take: object


REPLICATION = Moves(choices, take)


def search(
    start,
    limits,
    depth,
    states,
    stop_at_first=True,
    at_state=None,
    seconds=1e9,
    moves=REPLICATION,
):
    """Explore from `start`; `at_state` is asked about each new state as well."""
    began, result = time.monotonic(), Search()
    seen, parents = {start.key()}, [(None, None)]
    frontier, reported = [(start, 0)], set()
    result.states = 1

    def report(broken, parent, step):
        if broken.invariant not in reported:
            reported.add(broken.invariant)
            result.found.append(
                Found(broken.invariant, broken.detail, _trace(parents, parent) + [step])
            )

    while frontier and result.depth < depth:
        following = []
        for world, number in frontier:
            for step in moves.choices(world, limits):
                child = world.fork()
                result.steps += 1
                try:
                    moves.take(child, step)
                    key = child.key()
                    if key in seen:
                        continue
                    if at_state is not None:
                        at_state(child, step)
                except Skipped:
                    continue
                except Violation as broken:
                    report(broken, number, step)
                    if stop_at_first:
                        result.depth += 1
                        result.seconds = time.monotonic() - began
                        return result
                    continue
                seen.add(key)
                parents.append((number, step))
                following.append((child, len(parents) - 1))
                result.states += 1
            if result.states >= states or time.monotonic() - began > seconds:
                result.seconds = time.monotonic() - began
                return result
        frontier = following
        result.depth += 1
    result.whole = not frontier
    result.seconds = time.monotonic() - began
    return result


def _trace(parents, number):
    steps = []
    while number:
        number, step = parents[number]
        steps.append(step)
    return steps[::-1]
