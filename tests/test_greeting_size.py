"""Greetings carry the depots' membership only for peers that don't know it yet."""

import random

from membership import greetings
from test_peer_table import make_acquainted_tables, make_table, run_turns
from transport import frames
from transport.messages import GroupCard, Member

MEMBERS = tuple(Member(f"{n:032x}", f"depot-{n}", f"10.0.1.{n}:7660") for n in range(5))
GROUP = GroupCard("g", 3, 7, "10.0.1.1:7660", MEMBERS)
NEWER = GroupCard("g", 4, 7, "10.0.1.2:7660", MEMBERS)


def settled(count):
    tables = make_acquainted_tables(count, 1e6)
    for table in tables.values():
        table.group = GROUP
    run_turns(tables, 1e6, 4000)
    return tables


def test_a_known_membership_is_not_sent_again():
    tables = settled(20)
    sent = run_turns(tables, 1e6 + 4000, 8000)
    assert sent and not any(m.group.members for m in sent)
    assert max(len(frames.pack(m)) for m in sent) < 200


def test_a_newer_membership_reaches_all_and_is_then_hardly_sent_any_more():
    """A peer that sent its last greeting before the change still gets it once."""
    tables = settled(40)
    tables["10.0.0.3:1"].group = NEWER
    run_turns(tables, 1e6 + 4000, 8000)
    assert {table.group for table in tables.values()} == {NEWER}
    sent = run_turns(tables, 1e6 + 12000, 8000)
    assert sum(bool(m.group.members) for m in sent) < 0.1 * len(sent)


def test_a_restarted_node_gets_the_membership():
    tables = settled(20)
    tables["10.0.0.7:1"] = make_table(7, "2", ["10.0.0.1:1"])
    tables["10.0.0.7:1"].group = greetings.NO_GROUP
    run_turns(tables, 1e6 + 4000, 4000)
    assert tables["10.0.0.7:1"].group == GROUP


def test_a_membership_lost_in_transit_is_sent_again():
    """Only a peer's own greetings tell whether it knows the membership."""
    tables = settled(10)
    tables["10.0.0.3:1"].group = NEWER
    rng = random.Random(1)
    disconnected = {address for address in tables if rng.random() < 0.4}
    run_turns(tables, 1e6 + 4000, 4000, disconnected)
    run_turns(tables, 1e6 + 8000, 8000)
    assert {table.group for table in tables.values()} == {NEWER}
