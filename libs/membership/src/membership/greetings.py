"""Greetings, the gossip messages in which a node sends a peer what it knows of other nodes.

To keep them small, a peer that knows the same names gets only the cards learned recently, and
a peer that knows the same membership of the depots doesn't get it again.  Every greeting has
one byte for each node that tells how long the node has been silent.
"""

import math

from transport.messages import Gossip, GroupInfo

from membership import summaries

__all__ = ["LONGEST_SILENCE", "NO_GROUP", "SILENCE_STEPS", "greeting"]

NO_GROUP = GroupInfo("", 0, 0, "", ())
# Silence is sent in steps; so many make up the time after which a node counts as lost.
SILENCE_STEPS = 64
# The largest number of steps that fits into a byte.
LONGEST_SILENCE = 255
# Gossip intervals for which a card counts as recently learned.
_RECENT_INTERVALS = 40
# All cards are sent every so many turns.
_FULL_EVERY_TURNS = 50
# Turns for which a changed membership is sent to peers whose knowledge of it is unknown.
_NEW_GROUP_TURNS = 5


def greeting(peers, answer, now_ms, to=None):
    """Return the greeting for a peer at address `to`; `answer` asks it to reply.

    It has this node's card and how long each node has been silent.  A peer that knows the same
    names also gets the recently learned cards, any other peer all cards.  A peer that never
    sent a greeting is taken to know the same names: its reply, or the next greeting, brings
    what either side lacks."""
    summary = summaries.of(peers)
    own_digest, own_names_digest = summary.digest, summary.names_digest
    peer_digest, peer_names_digest = peers.digests.get(to, (0, own_names_digest))
    same_names = peer_names_digest == own_names_digest
    names = summary.names if same_names else list(peers.cards)
    cards_to_send = (
        ()
        if peer_digest == own_digest
        else _recent_names(peers, now_ms, answer)
        if same_names
        else names
    )
    return Gossip(
        peers.card,
        answer,
        tuple(peers.cards[n] for n in cards_to_send),
        peers.group if _needs_group(peers, answer, to) else NO_GROUP,
        _silence(peers, now_ms, names),
        own_digest,
        own_names_digest,
        tuple(int(min(1e12, now_ms - peers.first_seen_ms.get(n, -1e12))) for n in cards_to_send),
        summaries.group_digest(peers.group),
    )


def _needs_group(peers, answer, to):
    """Return whether the peer gets the depots' membership: if it knows a different one.

    A peer that never sent a greeting will say in its reply which one it knows.  It gets the
    membership only if this changed recently, or if no reply is requested."""
    peer_group_digest = peers.group_digests.get(to)
    if peer_group_digest is None:
        return not answer or peers.turn - peers.group_turn < _NEW_GROUP_TURNS
    return peer_group_digest != summaries.group_digest(peers.group)


def _recent_names(peers, now_ms, answer):
    """Return the names whose cards were learned recently.

    Now and then return all names, in case messages were lost, but only in a reply, since only
    then the peer's digest is up to date."""
    if not answer and peers.turn % _FULL_EVERY_TURNS == 0:
        return list(peers.cards)
    return [
        n
        for n in peers.cards
        if now_ms - peers.learned_ms.get(n, -1e12) < _RECENT_INTERVALS * peers.gossip_ms
    ]


def _silence(peers, now_ms, names):
    """Return how long each of `names` has been silent, as one byte each, in steps."""
    silence, alive_ms, lost_ms = bytearray(), peers.alive_ms, peers.lost_ms
    for name in names:
        silent_ms = 0.0 if name == peers.card.name else now_ms - alive_ms.get(name, -1e9)
        steps = math.ceil(silent_ms * SILENCE_STEPS / lost_ms) if silent_ms > 0 else 0
        silence.append(min(steps, LONGEST_SILENCE))
    return bytes(silence)
