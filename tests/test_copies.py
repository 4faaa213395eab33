"""How many copies popular models get: more than their demand fills, while there is room."""

from types import SimpleNamespace

import pytest
from placement import making_room
from placement.ledger import Ledger

SLOTS, RUN_S = 24, 0.6


def view(rates, places):
    """As many engines as places, each with one model; `rates`: askings a second by model."""
    engines = {f"e{n}": object() for n in range(places)}
    ledger = Ledger(engines={name: {f"m{name}": {}, f"m{name}/a1": {}} for name in engines})
    found = SimpleNamespace(
        rates=rates,
        engines=engines,
        service={"slots": SLOTS},
        placer=SimpleNamespace(ledger=ledger, demand=SimpleNamespace(run_s=RUN_S)),
    )
    found.busy_part = making_room.busy_part(found)
    return found


def copies(rates, places):
    found = view(rates, places)
    return {model: making_room.needed_copies(found, model) for model in rates}


def test_popular_ones_have_copies_for_bursts_while_there_is_room():
    assert copies({"hot": 50.0, "rare": 0.2}, 90) == {"hot": 5, "rare": 1}


def test_with_few_places_they_have_what_their_demand_fills():
    assert copies({"hot": 50.0, "rare": 0.2}, 9) == {"hot": 3, "rare": 1}


@pytest.mark.parametrize("places", range(3, 120, 3))
def test_never_fewer_than_demand_fills_and_never_more_than_the_share(places):
    rates = {f"hot{n}": 8.0 * (n + 1) for n in range(6)}
    least = sum(-(-rate * RUN_S // (0.5 * SLOTS)) for rate in rates.values())
    total = sum(copies(rates, places).values())
    assert total >= least
    assert total == least or total <= 0.4 * places


def test_more_places_never_mean_fewer_copies():
    rates = {"hot": 50.0, "warm": 20.0, "rare": 0.2}
    found = [sum(copies(rates, places).values()) for places in range(1, 60)]
    assert found == sorted(found)
