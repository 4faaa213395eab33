"""The model checker in a small fixed share: its searches and its scripts."""

import pickle

import pytest
from simulation.model import scripts
from simulation.model.hooks import settled
from simulation.model.invariants import Violation
from simulation.model.machine import Settings
from simulation.model.report import CHECK_PLAN, SEARCHES, run_search
from simulation.model.search import search
from simulation.model.starts import STARTS, led
from simulation.model.steps import Step, take
from simulation.model.world import found


@pytest.mark.parametrize("searched", SEARCHES, ids=lambda s: f"{s.start}-{'-'.join(s.limits)}")
def test_no_order_of_events_breaks_an_invariant(searched):
    part = run_search(searched, 3, CHECK_PLAN.states, CHECK_PLAN.depth)
    assert part.broken == []
    assert part.states >= CHECK_PLAN.states or part.whole


@pytest.mark.parametrize("name", scripts.SCRIPTS)
def test_a_script_runs_to_its_end(name):
    """What once broke, or what a mutant breaks, holds in the core as it is."""
    scripts.run(name)


@pytest.mark.parametrize("replicas", (4, 5))
@pytest.mark.parametrize("name", STARTS)
def test_every_start_is_reached_with_more_replicas(name, replicas):
    settings, start = STARTS[name]
    with settled(settings(replicas)):
        world = start(settings(replicas))
    assert len(world.replicas) >= replicas


def test_a_violation_can_be_told_by_another_process():
    told = pickle.loads(pickle.dumps(Violation("log-matching", "A0 at 3")))
    assert (told.invariant, told.detail) == ("log-matching", "A0 at 3")


def test_a_search_that_ends_has_seen_every_state():
    """Two searches of the same whole space agree, and one with less trouble is smaller."""
    settings = Settings()
    with settled(settings):
        whole = [search(led(settings), {"command": 1}, 60, 50_000) for _ in range(2)]
        less = search(led(settings), {}, 60, 50_000)
    assert all(s.whole and not s.found for s in [*whole, less])
    assert whole[0].states == whole[1].states > less.states == 1


def test_states_that_differ_in_names_only_are_one():
    with settled(Settings()):
        keys = set()
        for name in "ABC":
            world = found(Settings())
            take(world, Step("timeout", name))
            keys.add(world.key())
    assert len(keys) == 1


def test_states_that_differ_are_told_apart():
    with settled(Settings()):
        one, other = found(Settings()), found(Settings())
        take(one, Step("timeout", "A"))
        take(other, Step("timeout", "A"))
        assert one.key() == other.key()
        take(other, Step("deliver", "B", next(iter(other.packets))))
        assert one.key() != other.key()


def test_a_fork_leaves_its_origin_as_it_was():
    with settled(Settings()):
        world = led(Settings())
        before = world.key()
        child = world.fork()
        take(child, Step("command", "A"))
        take(child, Step("crash", "B", ()))
        assert child.key() != before
        assert world.key() == before
