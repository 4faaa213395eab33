"""Greetings: `Gossip` messages in which a node sends a peer what it knows of other nodes.

To keep greetings small, a peer that knows the same names gets only the cards (`NodeInfo`)
learned recently, and a peer that knows the same membership of the depots doesn't get it again.
Every greeting has one byte for each node: how long the node has been silent.
"""

import math

from transport.messages import Gossip, GroupCard

from membership import summaries

__all__ = ["LONGEST_SILENCE", "NO_GROUP", "SILENCE_STEPS", "greeting"]

NO_GROUP = GroupCard("", 0, 0, "", ())
# Silence is sent in steps.  This many are the time after which a node counts as lost (`lost_ms`).
SILENCE_STEPS = 64
# The largest number of steps that fits into a byte.
LONGEST_SILENCE = 255
# Gossip intervals for which a card counts as recently learned.
_RECENT_INTERVALS = 40
# In every turn whose number is a multiple of this, replies carry all cards.
_FULL_EVERY_TURNS = 50
# Turns for which a changed membership is sent to peers that haven't sent a digest of theirs.
_NEW_GROUP_TURNS = 5


def greeting(peers, wants_reply, now_ms, to=None):
    """Return the greeting for a peer at address `to`; `wants_reply` requests a reply.

    It has this node's card and how long each node has been silent.  A peer that knows the same
    names but other cards also gets the recently learned cards; one that knows other names gets
    all cards.  A peer that never sent a greeting is assumed to know the same names: with its
    reply, or the next greeting, each side gets what it lacks."""
    summary = summaries.of(peers)
    own_digest, own_names_digest = summary.digest, summary.names_digest
    peer_digest, peer_names_digest = peers.digests.get(to, (0, own_names_digest))
    same_names = peer_names_digest == own_names_digest
    names = summary.names if same_names else list(peers.cards)
    cards_to_send = (
        ()
        if peer_digest == own_digest
        else _recent_names(peers, now_ms, wants_reply)
        if same_names
        else names
    )
    return Gossip(
        peers.card,
        wants_reply,
        tuple(peers.cards[n] for n in cards_to_send),
        peers.group if _needs_group(peers, wants_reply, to) else NO_GROUP,
        _silence(peers, now_ms, names),
        own_digest,
        own_names_digest,
        tuple(int(min(1e12, now_ms - peers.first_seen_ms.get(n, -1e12))) for n in cards_to_send),
        summaries.group_digest(peers.group),
    )


def _needs_group(peers, wants_reply, to):
    """Return whether the peer needs the depots' membership, since it knows a different one.

    The reply of a peer that never sent a greeting will have the digest of the membership that
    it knows.  Such a peer gets the membership now only if the membership changed recently, or
    if no reply is requested."""
    peer_group_digest = peers.group_digests.get(to)
    if peer_group_digest is None:
        return not wants_reply or peers.turn - peers.group_turn < _NEW_GROUP_TURNS
    return peer_group_digest != summaries.group_digest(peers.group)


def _recent_names(peers, now_ms, wants_reply):
    """Return the names whose cards were learned recently.

    In every `_FULL_EVERY_TURNS`-th turn all names are returned, in case messages were lost, but
    only for a reply, since only then is the peer's digest up to date."""
    if not wants_reply and peers.turn % _FULL_EVERY_TURNS == 0:
        return list(peers.cards)
    return [
        n
        for n in peers.cards
        if now_ms - peers.learned_ms.get(n, -1e12) < _RECENT_INTERVALS * peers.gossip_ms
    ]


def _silence(peers, now_ms, names):
    """Return how long each of `names` has been silent: one byte each, in steps, rounded up."""
    silence, alive_ms, lost_ms = bytearray(), peers.alive_ms, peers.lost_ms
    for name in names:
        silent_ms = 0.0 if name == peers.card.name else now_ms - alive_ms.get(name, -1e9)
        steps = math.ceil(silent_ms * SILENCE_STEPS / lost_ms) if silent_ms > 0 else 0
        silence.append(min(steps, LONGEST_SILENCE))
    return bytes(silence)
