"""The cached summary of a peer table equals a newly computed one, whatever code changed its
cards; and reported silence follows a simple reference implementation."""

import hashlib
import math
import random
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from membership import greetings, peer_table
from transport.messages import Gossip, GroupCard, NodeInfo

GROUP = GroupCard("g", 1, 1, "10.0.0.0:1", ())
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


def expected_digest(peers):
    cards_known = sorted(
        (c.name, c.incarnation, c.address, c.identity, c.empty)
        for c in (peers.card, *peers.cards.values())
    )
    return zlib.crc32(repr(cards_known).encode())


def expected_names_digest(peers):
    return zlib.crc32(repr(sorted([*peers.cards, peers.card.name])).encode())


def expected_watched(peers):
    def weight(name):
        return hashlib.blake2b(f"{peers.card.name}>{name}".encode(), digest_size=8).digest()

    return sorted(peers.cards, key=weight)[:4]


def expected_silence(peers, now_ms, name):
    if name == peers.card.name:
        return 0
    silent_ms = max(0.0, now_ms - peers.alive_ms.get(name, -1e9))
    return min(255, math.ceil(silent_ms * 64 / peers.lost_ms))


def expected_alive_ms(peers, now_ms, names, silent):
    alive_ms = dict(peers.alive_ms)
    for name, steps in zip(names, silent):
        if name != peers.card.name:
            at_ms = now_ms - steps * LOST_MS / 64 - GOSSIP_MS / 10
            if steps == 255:
                at_ms = -1e9
            alive_ms[name] = max(at_ms, alive_ms.get(name, -1e12))
    return alive_ms


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(changes, max_size=20))
def test_a_cached_summary_equals_a_new_one(applied):
    peers = table()
    for kind, card in applied:
        if kind == "put":
            peers.cards[card.name] = card
        elif kind == "drop":
            peers.cards.pop(card.name, None)
        elif kind == "own":
            peers.card = NodeInfo(**{**vars(card), "name": OWN})
        assert peer_table.digest(peers) == expected_digest(peers)
        assert peer_table.watched(peers) == expected_watched(peers)
        assert greetings.greeting(peers, True, 5.0).names_digest == expected_names_digest(peers)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(cards, max_size=8),
    st.dictionaries(st.sampled_from(NAMES), st.floats(-1e9, 5e4)),
    st.floats(0.0, 4e4),
    st.booleans(),
)
def test_sent_silence_follows_the_reference(cards_known, alive_ms, now_ms, same_names):
    peers = table()
    peers.cards, peers.alive_ms = {card.name: card for card in cards_known}, alive_ms
    peers.digests["to"] = (1, expected_names_digest(peers) if same_names else -1)
    names = sorted([*peers.cards, OWN]) if same_names else list(peers.cards)
    silence = greetings.greeting(peers, True, now_ms, "to").silence
    assert silence == bytes(expected_silence(peers, now_ms, name) for name in names)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(cards, max_size=8),
    st.dictionaries(st.sampled_from(NAMES), st.floats(-1e9, 4e4)),
    st.floats(0.0, 4e4),
    st.data(),
)
def test_received_silence_follows_the_reference(cards_known, alive_ms, now_ms, data):
    peers = table()
    peers.cards, peers.alive_ms = {card.name: card for card in cards_known}, alive_ms
    names = sorted([*peers.cards, OWN])
    silent = bytes(
        data.draw(st.lists(st.integers(0, 255), min_size=len(names), max_size=len(names)))
    )
    expected = expected_alive_ms(peers, now_ms, names, silent)
    nobody = NodeInfo("", "counter", "z", "10.0.0.5:1", "", "a")
    greet = Gossip(nobody, False, (), GROUP, silent, 1, expected_names_digest(peers))
    peer_table.on_greet(peers, now_ms, "10.0.0.5:1", greet)
    assert peers.alive_ms == expected
