"""Peer tables spread only new cards by gossip, and agree on which nodes are alive."""

import random

from membership import greetings, peer_table
from transport import frames
from transport.effects import Send
from transport.messages import GroupCard, NodeInfo

GROUP = GroupCard("g", 1, 1, "10.0.0.0:1", ())


def card(number, incarnation="1"):
    return NodeInfo(
        f"n{number:03d}",
        "counter",
        "z",
        f"10.0.0.{number}:1",
        f"10.0.0.{number}:2",
        f"{number}.{incarnation}",
    )


def make_table(number, incarnation="1", seeds=()):
    return peer_table.PeerTable(
        card(number, incarnation), tuple(seeds), random.Random(number), 360.0, 3000.0, group=GROUP
    )


def make_acquainted_tables(count, now_ms):
    tables = {f"10.0.0.{n}:1": make_table(n) for n in range(count)}
    for table in tables.values():
        for n in range(count):
            if card(n) != table.card:
                table.cards[card(n).name] = card(n)
                table.first_seen_ms[card(n).name] = now_ms - 1e6
                table.alive_ms[card(n).name] = table.last_contact_ms[card(n).name] = now_ms
    greeting = greetings.greeting(tables["10.0.0.0:1"], False, now_ms)
    for table in tables.values():
        table.digests = {address: (greeting.digest, greeting.names_digest) for address in tables}
    return tables


def run_turns(tables, now_ms, for_ms, disconnected=()):
    """Exchange greetings and their replies for a while; returns the messages sent."""
    sent, end_ms = [], now_ms + for_ms
    while now_ms < end_ms:
        now_ms += 40.0
        queue = [
            (address, greeting)
            for address, table in tables.items()
            for greeting in peer_table.tick(table, now_ms)
        ]
        while queue:
            sender, effect = queue.pop(0)
            if effect.to not in tables or effect.to in disconnected or sender in disconnected:
                continue
            sent.append(effect.message)
            queue += [
                (effect.to, reply)
                for reply in peer_table.on_greet(
                    tables[effect.to], now_ms + 1, sender, effect.message
                )
                if isinstance(reply, Send)
            ]
    return sent


def test_no_cards_are_sent_to_a_peer_that_knows_them_all():
    tables = make_acquainted_tables(20, 1e6)
    sent = run_turns(tables, 1e6, 4000)
    assert sent and not any(m.nodes for m in sent)
    assert max(len(frames.pack(m)) for m in sent) < 200


def test_the_card_of_a_restarted_node_reaches_all_and_no_other_is_sent():
    tables = make_acquainted_tables(40, 1e6)
    tables["10.0.0.7:1"] = make_table(7, "2", ["10.0.0.1:1"])
    sent = run_turns(tables, 1e6, 9000)
    assert {
        table.cards["n007"].incarnation for table in tables.values() if "n007" in table.cards
    } == {"7.2"}
    newcomer = [m for m in sent if m.sender.incarnation == "7.2" or len(m.nodes) > 2]
    assert len(newcomer) < 0.25 * len(sent)
    later = run_turns(tables, 1e6 + 9000, 16000)
    assert max(len(m.nodes) for m in later if m.sender.incarnation != "7.2") <= 1
    settled = run_turns(tables, 1e6 + 25000, 20000)
    assert sum(bool(m.nodes) for m in settled) < 0.001 * len(settled)


def test_an_older_card_from_another_node_is_ignored():
    table = make_table(1)
    peer_table.on_greet(
        table, 1e6, "10.0.0.2:1", greetings.greeting(make_table(2, "2"), False, 1e6)
    )
    informant = make_table(3)
    informant.cards["n002"], informant.first_seen_ms["n002"] = card(2, "1"), 1e6 - 50000
    peer_table.on_greet(
        table, 1e6 + 9000, "10.0.0.3:1", greetings.greeting(informant, False, 1e6 + 9000)
    )
    assert table.cards["n002"].incarnation == "2.2"


def test_a_newer_card_from_another_node_is_taken_once_its_node_is_silent_here():
    table, informant = make_table(1), make_table(3)
    peer_table.on_greet(table, 1e6, "10.0.0.2:1", greetings.greeting(make_table(2), False, 1e6))
    peer_table.on_greet(
        informant, 1e6 + 500, "10.0.0.2:1", greetings.greeting(make_table(2, "2"), False, 1e6 + 500)
    )
    peer_table.on_greet(table, 1e6 + 1000, "x", greetings.greeting(informant, False, 1e6 + 1000))
    assert table.cards["n002"].incarnation == "2.1"
    peer_table.on_greet(table, 1e6 + 4000, "x", greetings.greeting(informant, False, 1e6 + 4000))
    assert table.cards["n002"].incarnation == "2.2"


def test_reported_silence_is_never_shorter_than_the_real_one():
    informant, table = make_table(3), make_table(1)
    informant.cards["n001"], table.cards["n002"] = card(1), card(2)
    for silent_ms in (0, 1, 46, 47, 999, 2990, 5999, 11900, 20000, 1e8):
        informant.cards["n002"] = card(2)
        informant.alive_ms["n002"] = 1e9 - silent_ms
        table.alive_ms.clear()
        peer_table.on_greet(table, 1e9, "x", greetings.greeting(informant, False, 1e9))
        reported_ms = 1e9 - table.alive_ms["n002"]
        assert reported_ms >= silent_ms
        assert reported_ms <= silent_ms + 100 or silent_ms > 11000


def test_a_lost_node_is_no_longer_live_anywhere():
    tables = make_acquainted_tables(20, 1e6)
    run_turns(tables, 1e6, 9000, disconnected=("10.0.0.5:1",))
    others = [table for address, table in tables.items() if address != "10.0.0.5:1"]
    assert not any("n005" in peer_table.live(table, 1e6 + 9000) for table in others)
    assert all(len(peer_table.live(table, 1e6 + 9000)) == 18 for table in others)
