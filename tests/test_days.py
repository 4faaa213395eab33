"""The own days of trouble are whole for each deployment."""

import sys
import tomllib
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent / "days"))

import render  # noqa: E402

POINTS = ("p1", "p2", "p3", "p4", "p5")
ENTRY_FIELDS = {
    "at", "kind", "for_s", "gap_s", "share", "count", "x", "how", "on", "zone", "service", "class",
}  # fmt: skip


def rendered(site):
    """All days of a deployment, read back."""
    deployment = render.DEPLOYMENTS[site]
    texts = [render.render(path.read_text(), deployment) for path in render.templates()]
    return [tomllib.loads(text)["day"][0] for text in texts]


@pytest.mark.parametrize("site", render.DEPLOYMENTS)
def test_each_day_reads_back_with_names_of_the_deployment(site):
    for day in rendered(site):
        for entry in day["plan"] + day["faults"]:
            assert set(entry) <= ENTRY_FIELDS, (day["name"], entry)
            assert 0 <= entry["at"] < day["length_s"], (day["name"], entry)
            assert not any("{" in str(value) for value in entry.values()), (day["name"], entry)


def test_each_point_has_several_days_of_their_own_seeds():
    days = rendered("zatacka-brno")
    for point in POINTS:
        assert sum(day["name"].startswith(point) for day in days) >= 3, point
    assert len({day["seed"] for day in days}) == len(days)
    assert len({day["name"] for day in days}) == len(days)


def test_troubles_of_grown_deployments_come_there_only():
    def kinds(site):
        return {entry["kind"] for day in rendered(site) for entry in day["faults"]}

    assert {"srv_flap", "lossy"} <= kinds("zatacka-brno-grown")
    assert "lossy" not in kinds("byggesag-nord-grown")
    assert not {"srv_flap", "srv_lying_health", "idle_race", "lossy"} & kinds("byggesag-nord")
