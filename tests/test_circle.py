"""Fellows tell one another only what is new, and agree on who is there now."""

import random

from membership import greetings, peer_table
from transport import frames
from transport.effects import Send
from transport.messages import GroupInfo, NodeInfo

GROUP = GroupInfo("g", 1, 1, "10.0.0.0:1", ())


def card(number, life="1"):
    return NodeInfo(
        f"n{number:03d}",
        "counter",
        "z",
        f"10.0.0.{number}:1",
        f"10.0.0.{number}:2",
        f"{number}.{life}",
    )


def circle_of(number, life="1", seeds=()):
    return peer_table.PeerTable(
        card(number, life), tuple(seeds), random.Random(number), 360.0, 3000.0, group=GROUP
    )


def acquainted(count, now_ms):
    found = {f"10.0.0.{n}:1": circle_of(n) for n in range(count)}
    for one in found.values():
        for n in range(count):
            if card(n) != one.card:
                one.cards[card(n).name] = card(n)
                one.met_ms[card(n).name] = now_ms - 1e6
                one.alive_ms[card(n).name] = one.heard_ms[card(n).name] = now_ms
    told = greetings.greeting(found["10.0.0.0:1"], False, now_ms)
    for one in found.values():
        one.digests = {a: (told.digest, told.names) for a in found}
    return found


def turns(found, now_ms, for_ms, cut=()):
    """Everyone's greetings, there and back, for a while; returns what was sent."""
    sent, end_ms = [], now_ms + for_ms
    while now_ms < end_ms:
        now_ms += 40.0
        post = [(a, x) for a, c in found.items() for x in peer_table.tick(c, now_ms)]
        while post:
            sender, effect = post.pop(0)
            if effect.to not in found or effect.to in cut or sender in cut:
                continue
            sent.append(effect.message)
            post += [
                (effect.to, x)
                for x in peer_table.on_greet(found[effect.to], now_ms + 1, sender, effect.message)
                if isinstance(x, Send)
            ]
    return sent


def test_no_cards_go_to_one_who_knows_them_all():
    found = acquainted(20, 1e6)
    sent = turns(found, 1e6, 4000)
    assert sent and not any(m.cards for m in sent)
    assert max(len(frames.pack(m)) for m in sent) < 200


def test_a_new_life_reaches_all_and_only_its_card_goes():
    found = acquainted(40, 1e6)
    found["10.0.0.7:1"] = circle_of(7, "2", ["10.0.0.1:1"])
    sent = turns(found, 1e6, 9000)
    assert {c.cards["n007"].incarnation for c in found.values() if "n007" in c.cards} == {"7.2"}
    newcomer = [m for m in sent if m.card.incarnation == "7.2" or len(m.cards) > 2]
    assert len(newcomer) < 0.25 * len(sent)
    later = turns(found, 1e6 + 9000, 16000)
    assert max(len(m.cards) for m in later if m.card.incarnation != "7.2") <= 1
    settled = turns(found, 1e6 + 25000, 20000)
    assert sum(bool(m.cards) for m in settled) < 0.001 * len(settled)


def test_hearsay_of_an_earlier_life_is_not_believed():
    one = circle_of(1)
    peer_table.on_greet(one, 1e6, "10.0.0.2:1", greetings.greeting(circle_of(2, "2"), False, 1e6))
    teller = circle_of(3)
    teller.cards["n002"], teller.met_ms["n002"] = card(2, "1"), 1e6 - 50000
    peer_table.on_greet(
        one, 1e6 + 9000, "10.0.0.3:1", greetings.greeting(teller, False, 1e6 + 9000)
    )
    assert one.cards["n002"].incarnation == "2.2"


def test_hearsay_of_a_later_life_is_believed_once_the_node_is_silent_here():
    one, teller = circle_of(1), circle_of(3)
    peer_table.on_greet(one, 1e6, "10.0.0.2:1", greetings.greeting(circle_of(2), False, 1e6))
    peer_table.on_greet(
        teller, 1e6 + 500, "10.0.0.2:1", greetings.greeting(circle_of(2, "2"), False, 1e6 + 500)
    )
    peer_table.on_greet(one, 1e6 + 1000, "x", greetings.greeting(teller, False, 1e6 + 1000))
    assert one.cards["n002"].incarnation == "2.1"
    peer_table.on_greet(one, 1e6 + 4000, "x", greetings.greeting(teller, False, 1e6 + 4000))
    assert one.cards["n002"].incarnation == "2.2"


def test_silence_told_is_never_shorter_than_it_is():
    teller, one = circle_of(3), circle_of(1)
    teller.cards["n001"], one.cards["n002"] = card(1), card(2)
    for silent_ms in (0, 1, 46, 47, 999, 2990, 5999, 11900, 20000, 1e8):
        teller.cards["n002"] = card(2)
        teller.alive_ms["n002"] = 1e9 - silent_ms
        one.alive_ms.clear()
        peer_table.on_greet(one, 1e9, "x", greetings.greeting(teller, False, 1e9))
        told_ms = 1e9 - one.alive_ms["n002"]
        assert told_ms >= silent_ms
        assert told_ms <= silent_ms + 100 or silent_ms > 11000


def test_a_node_that_is_gone_falls_silent_everywhere():
    found = acquainted(20, 1e6)
    turns(found, 1e6, 9000, cut=("10.0.0.5:1",))
    others = [c for a, c in found.items() if a != "10.0.0.5:1"]
    assert not any("n005" in peer_table.live(c, 1e6 + 9000) for c in others)
    assert all(len(peer_table.live(c, 1e6 + 9000)) == 18 for c in others)
