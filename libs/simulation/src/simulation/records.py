"""What stand-in engines wrote down, as the checkers' history.

A line a thing: a life begun, a task begun, an order answered.  The first life of
an engine counts as born at 0, as in the simulator: it was there already.
"""

import json
from types import SimpleNamespace

from simulation.sim import engines
from simulation.sim.floor import Begun

__all__ = ["read", "CHECKED", "LOAD_MS"]

LOAD_MS = 400.0
CHECKED = (
    "stream-runs-once",
    "refused-never-runs",
    "answers-whole",
    "leaving-engine",
    "evacuated-zone",
    "acked-kept",
    "one-owner",
    "room-and-store",
    "no-flood",
    "service-back",
)


def read(fleet, history):
    """Fill the history; returns what the checkers ask of engines."""
    d, lives = fleet.deployment, {}
    for name in fleet.engines:
        plain = name[0] == "p"
        core = SimpleNamespace(plain=plain, slots=64 if plain else d.slots, overRoom=0)
        lives[name] = SimpleNamespace(core=core, zone=fleet.zone(name))
        born, incarnation = None, ""
        for line in (fleet.folder / f"{name}.history").read_text().splitlines():
            told = json.loads(line)
            if told["k"] == "born":
                for load in history.loads:
                    if load.engine == name:
                        load.end_ms = min(load.end_ms, told["atMs"])
                born = 0.0 if born is None else told["atMs"]
                incarnation = told["incarnation"]
            elif told["k"] == "begun":
                history.begun.append(
                    Begun(
                        told["atMs"],
                        name,
                        fleet.zone(name),
                        told["task"].rpartition(".")[0],
                        born,
                        plain,
                        told["running"],
                        told["atMs"],
                        "",
                        0,
                    )
                )
            else:
                _order(history, core, name, incarnation, told)
    history.orders.sort()
    return lives


def _order(history, core, name, incarnation, told):
    history.orders.append(
        (
            told["atMs"],
            name,
            incarnation,
            told["shard"],
            told["epoch"],
            told["verb"],
            told["item"],
            told["code"],
            told["atMs"],
        )
    )
    core.overRoom += told["why"] == "no-room"
    if told["code"] == 202 and told["verb"] == "load":
        history.loads.append(engines.Load(told["atMs"], told["atMs"] + LOAD_MS, name, told["item"]))
