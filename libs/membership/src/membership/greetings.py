"""Greetings: what a node tells a peer of the nodes and the membership that it knows.

Peers that know the same names are told only of cards met lately, those that know the
same membership nothing of it, and all how long each node has been silent in a byte each.
"""

import math

from transport.messages import Gossip, GroupInfo

from membership import summaries

__all__ = ["LONGEST_SILENCE", "NO_GROUP", "SILENCE_STEPS", "greeting"]

NO_GROUP = GroupInfo("", 0, 0, "", ())
# Steps of silence in the time after which a node counts as lost, and the most of them.
SILENCE_STEPS = 64
LONGEST_SILENCE = 255
# For so many gossip intervals a card counts as new.
_FRESH = 40
# Every so many turns all cards are told.
_WHOLE = 50
# For so many turns another membership counts as new to all who were never heard.
_GROUP_IS_NEW = 5


def greeting(peers, answer, now_ms, to=None):
    """Who we are and how lately each node has been heard of; to one who knows the
    same names only the cards that are new, to another all.  One we never heard is
    told no more: its answer, or our next, brings what either lacks."""
    made = summaries.of(peers)
    told, named = made.digest, made.names_digest
    theirs, their_names = peers.digests.get(to, (0, named))
    alike = their_names == named
    names = made.names if alike else list(peers.cards)
    known = () if theirs == told else _fresh(peers, now_ms, answer) if alike else names
    return Gossip(
        peers.card,
        answer,
        tuple(peers.cards[n] for n in known),
        peers.group if _lacks_group(peers, answer, to) else NO_GROUP,
        _silence(peers, now_ms, names),
        told,
        named,
        tuple(int(min(1e12, now_ms - peers.met_ms.get(n, -1e12))) for n in known),
        summaries.group_digest(peers.group),
    )


def _lacks_group(peers, answer, to):
    """Whether a node is told of the depots' membership: if it knows another one than we do.
    One that we never heard tells in its answer what it knows, so it is told only what is
    new, or when it isn't asked for an answer."""
    theirs = peers.group_digests.get(to)
    if theirs is None:
        return not answer or peers.turn - peers.group_turn < _GROUP_IS_NEW
    return theirs != summaries.group_digest(peers.group)


def _fresh(peers, now_ms, answer):
    """Names whose cards we learned lately; now and then all, whatever was lost, but
    only as an answer, since only then what the other knows was told just now."""
    if not answer and peers.turn % _WHOLE == 0:
        return list(peers.cards)
    return [
        n for n in peers.cards if now_ms - peers.learned_ms.get(n, -1e12) < _FRESH * peers.gossip_ms
    ]


def _silence(peers, now_ms, names):
    """How long each of `names` has been silent, a byte each, in parts of the time
    after which a node counts as lost."""
    told, alive_ms, lost_ms = bytearray(), peers.alive_ms, peers.lost_ms
    for name in names:
        silent_ms = 0.0 if name == peers.card.name else now_ms - alive_ms.get(name, -1e9)
        steps = math.ceil(silent_ms * SILENCE_STEPS / lost_ms) if silent_ms > 0 else 0
        told.append(min(steps, LONGEST_SILENCE))
    return bytes(told)
