"""Deliberately broken variants of the core, and the scripts that show them.

Each mutant names the checker that must see it; the same script on the code as
it is must be green.  The tests run them at the small size, the command
`mutants` at all sizes, so that no checker can be too kind to fail where it
matters.
"""

import dataclasses

from simulation import mutants_of_control, mutants_of_placement, mutants_of_requests
from simulation.mutant import Mutant
from simulation.sim import run

__all__ = ["Mutant", "MUTANTS", "simulate", "applied"]

MUTANTS = (
    *mutants_of_requests.MUTANTS,
    *mutants_of_placement.MUTANTS,
    *mutants_of_control.MUTANTS,
)


def applied(mutant):
    """Break the code in this very process; returns how to mend it again."""
    kept = [(owner, name, getattr(owner, name)) for owner, name, _ in mutant.patches()]
    for owner, name, value in mutant.patches():
        setattr(owner, name, value)

    def mend():
        for owner, name, value in reversed(kept):
            setattr(owner, name, value)

    return mend


def simulate(mutant, deployment, seed):
    deployment = dataclasses.replace(deployment, **mutant.change)
    return run.simulate(
        seed, deployment, steps=mutant.steps(deployment), span_ms=20000.0, **mutant.more
    )
