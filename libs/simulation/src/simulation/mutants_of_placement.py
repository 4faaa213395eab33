"""Mutants of placement: engine states, room, the weight store and partners' shares."""

from placement import engine_reports, ledger, orders, placement, registry_view

from simulation import breaking
from simulation.mutant import Mutant
from simulation.mutant_scripts import silent, step

__all__ = ["MUTANTS"]

MUTANTS = (
    Mutant(
        "engine states not looked at",
        "leaving-engine",
        lambda d: [step(2000, "engine-leaving", f"e{i}", 9000) for i in range(3)],
        lambda: [(registry_view, "usable", lambda reg, e: e["zone"] not in reg.zones)],
    ),
    Mutant(
        "zones not looked at",
        "evacuated-zone",
        lambda d: [step(2000, "evacuate", d.zones[0], 9000)],
        lambda: [(registry_view, "usable", lambda reg, e: e["state"] == "join")],
    ),
    Mutant(
        "loads not counted",
        "room-and-store",
        silent,
        lambda: [(orders, "store_allows", lambda *a: True)],
    ),
    Mutant(
        "loads of engines called gone forgotten",
        "room-and-store",
        lambda d: (
            [step(100, "engines-all", "", 300)]
            + [
                step(700 + 400 * i, "engine-struck-off", f"e{i % d.engines}", 1500)
                for i in range(4 * d.engines)
            ]
        ),
        lambda: [(ledger, "is_open_load", breaking.never_lingers)],
        change={"loadMs": 4000.0},
    ),
    Mutant(
        "what was found stays without size",
        "room-and-store",
        lambda d: [step(1000, "burst"), step(4000, "engine-emptied", "e1", 2000)],
        lambda: [
            (
                engine_reports,
                "_item_facts",
                lambda reg, e, items: {
                    i: {"state": "loaded", "mb": 0, "places": 0, "sized": True} for i in items
                },
            ),
            (
                registry_view,
                "entry_charge",
                lambda reg, item, entry: (entry["mb"], entry["places"]),
            ),
        ],
        seeds=(2, 8),
    ),
    Mutant(
        "shares not looked at",
        "partners",
        lambda d: [step(1000, "race")],
        lambda: [(placement, "place", breaking.shareless(placement.place))],
        seeds=(2,),
        size="zatacka",
    ),
    Mutant(
        "unmet wishes not told",
        "partners",
        lambda d: [step(1000, "race")],
        lambda: [(orders, "_log_unmet", lambda *a: None)],
        seeds=(2,),
        size="zatacka",
    ),
)
