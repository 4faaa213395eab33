"""A Wing and Gong check: can a history of concurrent operations be put in one order?

Every answered operation must take effect at one moment between its call and its
answer, and have the outcome that the model gives at that moment.  An operation that
was never answered may take effect at any moment after its call, or never.
"""

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Operation", "Verdict", "check"]


@dataclass(frozen=True)
class Operation:
    """One call of one client; `outcome` is None if it was never answered."""

    client: str
    action: Any
    called_ms: float
    answered_ms: float = float("inf")
    outcome: Any = None


@dataclass(frozen=True)
class Verdict:
    """`order` is a legal order, or the longest legal beginning that was found."""

    linearizable: bool
    order: tuple[Operation, ...]
    left: tuple[Operation, ...] = field(default=())


def check(
    history: Sequence[Operation],
    initial: Hashable,
    apply: Callable[[Any, Any, Any], Any],
) -> Verdict:
    """`apply(state, action, outcome)` gives the next state, or None where that outcome is
    illegal; an outcome of None asks for the effect of a call that was never answered."""
    operations = sorted(history, key=lambda operation: operation.called_ms)
    answered = sum(1 << n for n, found in enumerate(operations) if found.outcome is not None)
    longest: list[int] = []
    seen = {(0, initial)}
    stack = [(0, initial, [])]
    while stack:
        done, state, order = stack.pop()
        if done & answered == answered:
            return Verdict(True, tuple(operations[n] for n in order))
        if len(order) > len(longest):
            longest = order
        for number in _possible_next(operations, done):
            operation = operations[number]
            following = apply(state, operation.action, operation.outcome)
            step = (done | 1 << number, following)
            if following is None or step in seen:
                continue
            seen.add(step)
            stack.append((*step, [*order, number]))
    left = tuple(found for n, found in enumerate(operations) if n not in longest)
    return Verdict(False, tuple(operations[n] for n in longest), left)


def _possible_next(operations, done):
    """Operations not yet in order that none of the others precedes."""
    undone = [n for n in range(len(operations)) if not done >> n & 1]
    now_ms = max((o.called_ms for n, o in enumerate(operations) if done >> n & 1), default=0.0)
    first_answer_ms = min(
        (operations[n].answered_ms for n in undone if operations[n].outcome is not None),
        default=float("inf"),
    )
    possible = [
        n
        for n in undone
        if operations[n].called_ms <= first_answer_ms and operations[n].answered_ms >= now_ms
    ]
    # The last pushed is tried first: the answered ones, by their answers.
    return sorted(
        possible, key=lambda n: (operations[n].outcome is not None, -operations[n].answered_ms)
    )
