"""The model checker's random walks and its folder in memory, in a small fixed share."""

import random

import pytest
from simulation.model.hooks import settled
from simulation.model.machine import Settings
from simulation.model.report import CHECK_PLAN
from simulation.model.storage import Storage, read, reread
from simulation.model.walks import replayed, settings_of, walk
from transport.messages import Entry


@pytest.mark.parametrize("seed", range(CHECK_PLAN.seed, CHECK_PLAN.seed + CHECK_PLAN.walks))
def test_a_walk_breaks_no_invariant(seed):
    made = walk(seed, CHECK_PLAN.steps)
    assert [(f.invariant, f.detail) for f in made.found] == []


def test_a_walk_is_the_same_again():
    first, second = walk(3, 300), walk(3, 300)
    assert (first.steps, first.commands, first.committed) == (
        second.steps,
        second.commands,
        second.committed,
    )
    assert first.committed > 0


def test_hundreds_of_commands_with_snapshots_are_committed():
    """Seed 27 has three replicas, works mostly, and takes snapshots at once."""
    made = walk(27, 4000)
    assert made.found == []


def test_a_folder_is_read_back_as_the_product_reads_it():
    """Writes synced, lost and kept in any order; the two readers agree on each rest."""
    for seed in range(300):
        chance = random.Random(seed)
        storage, last, term = Storage(), 0, 1
        for _ in range(12):
            if last and chance.random() < 0.3:
                last, term = last - chance.randrange(1, min(last, 3) + 1), term + 1
            count = chance.randrange(1, 3)
            entries = tuple(Entry(last + n, term, b"x") for n in range(1, count + 1))
            storage.claim(entries, 0)
            last += count
            if chance.random() < 0.7:
                storage.sync(chance.choice(storage.pending()).number)
        kept = {s.number for s in storage.pending() if chance.random() < 0.5}
        storage.power_loss(kept)
        with settled(Settings()):
            assert reread(storage.slots, 0) == read(storage.slots, 0), f"seed {seed}"


def test_an_empty_trace_breaks_nothing():
    assert replayed(settings_of(4), []) is None


# Long walks that once ended without a leader: two leavers that each counted on the other, a
# leaver removed by a leader that had heard of nobody, a learner that left made a member, and
# the lead handed from one leaver to the next.
LONG_WALKS = (18, 156, 326, 402, 590, 1028, 1077, 1381)


@pytest.mark.parametrize("seed", LONG_WALKS)
def test_a_long_walk_ends_with_a_leader(seed):
    assert [(f.invariant, f.detail) for f in walk(seed, 1200).found] == []
