"""Mutants of routing: requests, answers, retries, warming up and final answers."""

from placement import load_queue
from routing import choice, pieces, retry_budget, router
from transport import failures

from simulation import breaking
from simulation.mutant import Mutant
from simulation.mutant_scripts import dark, down, foreign, plain_crowd, restarted, step

__all__ = ["MUTANTS"]

MUTANTS = (
    Mutant(
        "unknown legs tried again",
        "stream-runs-once",
        foreign,
        lambda: [(router, "ended", breaking.eager(router.ended))],
    ),
    Mutant(
        "unknown told as refused",
        "refused-never-runs",
        foreign,
        lambda: [(failures, "OutcomeUnknown", lambda cause: failures.Overloaded(1000, cause))],
    ),
    Mutant(
        "pieces not judged",
        "answers-whole",
        foreign,
        lambda: [(pieces, "check_piece", breaking.trusting)],
    ),
    Mutant(
        "a broken stream run anew",
        "answers-whole",
        lambda d: [
            step(2000 + 100 * i, "engine-snapping", f"e{i}", 9000) for i in range(d.engines)
        ],
        lambda: [(pieces, "check_piece", breaking.any_run)],
    ),
    Mutant(
        "every counter its own ramp",
        "no-flood",
        restarted,
        lambda: [(choice, "limit", breaking.own_floor)],
        seeds=(3,),
        size="zatacka",
    ),
    Mutant(
        "no ramp",
        "no-flood",
        lambda d: restarted(d) + plain_crowd(d),
        lambda: [(choice, "limit", lambda *a: 1000)],
    ),
    Mutant(
        "no retry budget",
        "few-retries",
        lambda d: down(d) + [step(2000 + 200 * i, "hot-crowd") for i in range(6)],
        lambda: [(retry_budget, "may_retry", lambda *a: True)],
    ),
    Mutant(
        "nobody gives up",
        "final-answers",
        dark,
        lambda: [
            (router, "tick", lambda r, now_ms, floor: []),
            (router, "retry_waiting", lambda *a: []),
        ],
    ),
    Mutant(
        "held back towards the deadline",
        "final-answers",
        lambda d: (
            [step(1000, "engines-all", "", 500)] + [step(1600 + 300 * i, "burst") for i in range(4)]
        ),
        lambda: [
            (load_queue, "reject_unservable", lambda *a: None),
            (load_queue, "estimate_wait", lambda *a: None),
        ],
        seeds=(2,),
        size="byggesag",
    ),
)
