"""Greetings say who the depots are only to those who don't know it yet."""

import random

from membership import greetings
from test_circle import acquainted, circle_of, turns
from transport import frames
from transport.messages import GroupInfo, Member

MEMBERS = tuple(Member(f"{n:032x}", f"depot-{n}", f"10.0.1.{n}:7660") for n in range(5))
GROUP = GroupInfo("g", 3, 7, "10.0.1.1:7660", MEMBERS)
NEWER = GroupInfo("g", 4, 7, "10.0.1.2:7660", MEMBERS)


def settled(count):
    found = acquainted(count, 1e6)
    for one in found.values():
        one.group = GROUP
    turns(found, 1e6, 4000)
    return found


def test_a_settled_group_is_not_told_again():
    found = settled(20)
    sent = turns(found, 1e6 + 4000, 8000)
    assert sent and not any(m.group.members for m in sent)
    assert max(len(frames.pack(m)) for m in sent) < 200


def test_a_newer_group_reaches_all_and_is_then_hardly_told_any_more():
    """One that was heard before the change, and not since, is told once."""
    found = settled(40)
    found["10.0.0.3:1"].group = NEWER
    turns(found, 1e6 + 4000, 8000)
    assert {one.group for one in found.values()} == {NEWER}
    sent = turns(found, 1e6 + 12000, 8000)
    assert sum(bool(m.group.members) for m in sent) < 0.1 * len(sent)


def test_a_new_life_is_told_of_the_group():
    found = settled(20)
    found["10.0.0.7:1"] = circle_of(7, "2", ["10.0.0.1:1"])
    found["10.0.0.7:1"].group = greetings.NO_GROUP
    turns(found, 1e6 + 4000, 4000)
    assert found["10.0.0.7:1"].group == GROUP


def test_what_was_lost_on_the_way_is_told_again():
    """Whether another knows the group is taken from its own greetings alone."""
    found = settled(10)
    found["10.0.0.3:1"].group = NEWER
    rng = random.Random(1)
    cut = {address for address in found if rng.random() < 0.4}
    turns(found, 1e6 + 4000, 4000, cut)
    turns(found, 1e6 + 8000, 8000)
    assert {one.group for one in found.values()} == {NEWER}
