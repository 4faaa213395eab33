"""Each invariant of the model checker is shown red by a broken variant of the core."""

import pytest
from simulation.model.invariants import INVARIANTS
from simulation.model.mutants import MUTANTS, seen


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.name.replace(" ", "-"))
def test_a_mutant_is_seen(mutant):
    how = seen(mutant)
    assert how is not None and how.startswith(mutant.invariant)


def test_every_invariant_has_a_mutant():
    assert {m.invariant for m in MUTANTS} == set(INVARIANTS)
