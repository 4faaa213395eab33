"""What a holder charges on an engine, over every order of what may happen to its orders."""

import pytest
from simulation.engine_orders.report import MUTANTS, SEARCHES, run_search, shown

# Enough for each search to have taken orders to their end; more are made by hand.
STATES = 4000


@pytest.mark.parametrize("searched", SEARCHES, ids=lambda s: s.name)
def test_nothing_is_ordered_beside_what_is_not_charged(searched):
    result = run_search(searched, STATES)
    assert [(f.invariant, f.detail, [str(s) for s in f.trace]) for f in result.found] == []
    assert result.states >= STATES or result.whole


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.name.replace(" ", "-"))
def test_a_mutant_is_shown(mutant):
    found = shown(mutant)
    assert found is not None, mutant.name
    assert found.invariant in ("room", "charged")
