"""Hollow fleets are made of the real cores, and their tables of what was measured."""

import json
import pathlib

import pytest
from pulleyhitch import node as nodes
from simulation.hollow import fit, plan, run, settings, table
from simulation.hollow import world as worlds

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
SMALL = settings.Size(
    nodes=12,
    engines=10,
    models=9,
    adapters=20,
    asks_per_s=60.0,
    loadsPerS=2.0,
    changes_per_s=1.0,
    window_s=4.0,
)


def kept():
    return json.loads((DOCS / "capacity.json").read_text())


def test_the_cores_are_the_real_ones():
    assert worlds.HANDLE is nodes.handle
    assert worlds.MAKE is nodes.make


@pytest.fixture(scope="module")
def small():
    return run.measure(SMALL)


def test_a_small_run_has_every_role(small):
    assert set(small.roles) == set(run.ROLES)
    assert sum(r["nodes"] for r in small.roles.values()) == SMALL.nodes
    for figures in small.roles.values():
        for measure in fit.MEASURES:
            assert figures[measure] > 0, measure


def test_a_small_run_serves_and_loads(small):
    assert small.served > 0.8 * SMALL.asks_per_s * SMALL.window_s
    assert sum(small.refused.values()) <= 0.02 * small.served
    assert small.loads >= 1


def test_changes_reach_every_node_in_time(small):
    assert len(small.delayMs) >= 3
    assert max(small.delayMs) < 15000


def test_what_is_sent_is_taken(small):
    """Over the whole fleet, but for what is on its way at either end."""
    for part in ("Count", "Bytes"):
        sent, took = (
            sum(r[f"{way}{part}"] * r["nodes"] for r in small.roles.values())
            for way in ("out", "in")
        )
        assert sent == pytest.approx(took, rel=0.02)


def test_every_node_asks_the_log_node_and_is_answered(small):
    kinds = small.roles["counter"]["kinds"]
    assert kinds["FeedRequest"]["given"][0] == pytest.approx(
        kinds["FreshnessMark"]["taken"][0], rel=0.1
    )


def test_parts_found_are_the_parts_put_in():
    parts = {f: 0.001 * (n + 1) for n, f in enumerate(plan.FEATURES)}
    runs = {
        name: {"counter": {"cpuPct": fit.cost(parts, size)}} for name, size in plan.RUNS.items()
    }
    found = fit.coefficients(runs, "counter", "cpuPct")
    assert found == pytest.approx(parts, rel=1e-3)
    assert fit.cost(found, plan.TARGET) == pytest.approx(fit.cost(parts, plan.TARGET), rel=1e-4)


def test_no_part_is_below_nothing():
    runs = {name: {"counter": {"cpuPct": 1000.0 / size.nodes}} for name, size in plan.RUNS.items()}
    assert min(fit.coefficients(runs, "counter", "cpuPct").values()) >= 0


def test_ratios_are_figures_over_allowances():
    runs = kept()
    told = table.at_target(runs, "counter")
    row = next(x for x in table.lines(runs) if x.startswith("| counter | bytes/s"))
    assert float(row.split("|")[-2]) == pytest.approx(
        (told["inBytes"] + told["outBytes"]) / 3000, abs=0.006
    )


@pytest.mark.parametrize("name", ["target", "coefficients", "checks"])
def test_the_page_holds_the_tables_of_the_runs_kept(name):
    page = (DOCS / "CAPACITY.md").read_text()
    assert "\n".join(table.marked(kept())[name]) in page


def test_every_run_kept_is_one_that_can_be_made_again():
    names = {*plan.RUNS, *plan.CHECKS}
    assert set(plan.RUNS) <= set(kept()) <= names | {f"{n}-before" for n in names}
