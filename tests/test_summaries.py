"""What a peer table keeps of its cards is what it would make afresh, whoever has put
cards in or taken them out; and silence is told as the plain rule has it."""

import hashlib
import math
import random
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from membership import greetings, peer_table
from transport.messages import Gossip, GroupInfo, NodeInfo

GROUP = GroupInfo("g", 1, 1, "10.0.0.0:1", ())
LOST_MS, GOSSIP_MS = 3000.0, 360.0
NAMES = [f"n{number}" for number in range(8)]
OWN = "n9"

cards = st.builds(
    lambda name, life, address, empty: NodeInfo(
        name, "counter", "z", address, "10.0.0.1:2", life, "", empty
    ),
    st.sampled_from(NAMES),
    st.sampled_from("ab"),
    st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
    st.booleans(),
)
changes = st.one_of(
    st.tuples(st.just("put"), cards),
    st.tuples(st.just("drop"), cards),
    st.tuples(st.just("own"), cards),
    st.tuples(st.just("again"), cards),
)


def table():
    own = NodeInfo(OWN, "counter", "z", "10.0.0.9:1", "10.0.0.9:2", "a")
    return peer_table.PeerTable(own, (), random.Random(1), GOSSIP_MS, LOST_MS, group=GROUP)


def plain_digest(peers):
    known = sorted(
        (c.name, c.incarnation, c.address, c.identity, c.empty)
        for c in (peers.card, *peers.cards.values())
    )
    return zlib.crc32(repr(known).encode())


def plain_names(peers):
    return zlib.crc32(repr(sorted([*peers.cards, peers.card.name])).encode())


def plain_watched(peers):
    def weight(name):
        return hashlib.blake2b(f"{peers.card.name}>{name}".encode(), digest_size=8).digest()

    return sorted(peers.cards, key=weight)[:4]


def plain_silence(peers, now_ms, name):
    if name == peers.card.name:
        return 0
    silent_ms = max(0.0, now_ms - peers.alive_ms.get(name, -1e9))
    return min(255, math.ceil(silent_ms * 64 / peers.lost_ms))


def plain_heard(peers, now_ms, names, silent):
    heard = dict(peers.alive_ms)
    for name, steps in zip(names, silent):
        if name != peers.card.name:
            at_ms = now_ms - steps * LOST_MS / 64 - GOSSIP_MS / 10
            if steps == 255:
                at_ms = -1e9
            heard[name] = max(at_ms, heard.get(name, -1e12))
    return heard


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(changes, max_size=20))
def test_what_is_kept_is_what_would_be_made(made):
    peers = table()
    for kind, card in made:
        if kind == "put":
            peers.cards[card.name] = card
        elif kind == "drop":
            peers.cards.pop(card.name, None)
        elif kind == "own":
            peers.card = NodeInfo(**{**vars(card), "name": OWN})
        assert peer_table.digest(peers) == plain_digest(peers)
        assert peer_table.watched(peers) == plain_watched(peers)
        assert greetings.greeting(peers, True, 5.0).names == plain_names(peers)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(cards, max_size=8),
    st.dictionaries(st.sampled_from(NAMES), st.floats(-1e9, 5e4)),
    st.floats(0.0, 4e4),
    st.booleans(),
)
def test_silence_is_told_by_the_plain_rule(known, alive_ms, now_ms, alike):
    peers = table()
    peers.cards, peers.alive_ms = {card.name: card for card in known}, alive_ms
    peers.digests["to"] = (1, plain_names(peers) if alike else -1)
    names = sorted([*peers.cards, OWN]) if alike else list(peers.cards)
    told = greetings.greeting(peers, True, now_ms, "to").silent
    assert told == bytes(plain_silence(peers, now_ms, name) for name in names)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(cards, max_size=8),
    st.dictionaries(st.sampled_from(NAMES), st.floats(-1e9, 4e4)),
    st.floats(0.0, 4e4),
    st.data(),
)
def test_silence_is_heard_by_the_plain_rule(known, alive_ms, now_ms, data):
    peers = table()
    peers.cards, peers.alive_ms = {card.name: card for card in known}, alive_ms
    names = sorted([*peers.cards, OWN])
    silent = bytes(
        data.draw(st.lists(st.integers(0, 255), min_size=len(names), max_size=len(names)))
    )
    expected = plain_heard(peers, now_ms, names, silent)
    nobody = NodeInfo("", "counter", "z", "10.0.0.5:1", "", "a")
    greet = Gossip(nobody, False, (), GROUP, silent, 1, plain_names(peers))
    peer_table.on_greet(peers, now_ms, "10.0.0.5:1", greet)
    assert peers.alive_ms == expected
