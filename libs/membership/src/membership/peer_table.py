"""The peer table: the cards (name, role, address) of other nodes, spread by gossip.

A node sends greetings to its seeds until it knows the depots' group, and regularly to a few
peers chosen by rendezvous hashing, which it watches.  Greetings (see `greetings`) carry cards
and the depots' membership.  The membership with the highest term and stamp (the log index of
the entry that set it) is adopted, and a node never goes back to an older one.  Learned addresses
are kept, so changed seeds matter only to nodes that start.  Of two cards of one node, the one
first seen later is the current one.
"""

import random
from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import GroupCard, NodeInfo

from membership import greetings, summaries
from membership.greetings import LONGEST_SILENCE, NO_GROUP, SILENCE_STEPS

__all__ = [
    "PeerTable",
    "tick",
    "on_greet",
    "learn_group",
    "watched",
    "counters",
    "depot_addresses",
    "live",
    "announce",
    "lost",
]

# After more than this many turns in a row in which all watched peers knew the same cards,
# greetings are sent less often: `_SETTLED_EXTRA_INTERVALS` gossip intervals are added between
# them.
_SETTLED_TURNS = 5
_SETTLED_EXTRA_INTERVALS = 2.0


@dataclass
class PeerTable:
    """What a node knows of the others, by name or, for the digests, by address.

    `last_contact_ms` is the time of the last greeting from a node itself, `alive_ms` the last
    time that any node is known to have had contact with it.  `first_seen_ms` is when a card was
    first seen by any node, `learned_ms` when this node received it.  `turn` counts the rounds of
    greetings, and `group_turn` is the turn in which a changed `group` was first noticed."""

    card: NodeInfo
    seeds: tuple
    random: random.Random
    gossip_ms: float
    lost_ms: float
    cards: dict = field(default_factory=dict)
    last_contact_ms: dict = field(default_factory=dict)
    alive_ms: dict = field(default_factory=dict)
    group: GroupCard = NO_GROUP
    next_ms: float = 0.0
    turn: int = 0
    digests: dict = field(default_factory=dict)
    group_digests: dict = field(default_factory=dict)
    turn_group: GroupCard = NO_GROUP
    group_turn: int = 0
    first_seen_ms: dict = field(default_factory=dict)
    learned_ms: dict = field(default_factory=dict)
    settled_turns: int = 0
    summary: summaries.Summary = None


def watched(peers):
    """Return the names of the few peers that this node greets regularly."""
    return list(summaries.of(peers).watched)


def live(peers, now_ms):
    """Return the names of the nodes with which some node had contact recently."""
    return [n for n, at_ms in peers.alive_ms.items() if now_ms - at_ms < peers.lost_ms]


def lost(peers, now_ms, name, incarnation):
    """Return whether a node's process counts as ended: the node restarted, or was silent for
    too long."""
    card = peers.cards.get(name)
    if card is None or name == peers.card.name:
        return card is not None and incarnation != card.incarnation
    return card.incarnation != incarnation or (
        now_ms - peers.alive_ms.get(name, now_ms) > 2 * peers.lost_ms
    )


def digest(peers):
    """Return a digest of the known cards, this node's own included."""
    return summaries.of(peers).digest


def tick(peers, now_ms):
    """Send greetings, if they are due: to watched peers, a random one, a depot, and seeds."""
    if now_ms < peers.next_ms:
        return []
    peers.next_ms = now_ms + peers.gossip_ms * (0.8 + 0.4 * peers.random.random())
    targets = {peers.cards[n].address for n in watched(peers)}
    others = sorted(peers.cards)
    if others:
        targets.add(peers.cards[others[peers.random.randrange(len(others))]].address)
    peers.turn += 1
    if peers.turn_group is not peers.group:
        peers.turn_group, peers.group_turn = peers.group, peers.turn
    if not peers.group.group or len(peers.cards) < summaries.WATCHED or peers.turn % 10 == 0:
        targets |= set(peers.seeds)
    depots = depot_addresses(peers)
    if depots:
        targets.add(depots[peers.turn % len(depots)])
    targets.discard(peers.card.address)
    own_digest = digest(peers)
    all_agree = all(
        peers.digests.get(peers.cards[n].address, (0, 0))[0] == own_digest for n in watched(peers)
    )
    peers.settled_turns = peers.settled_turns + 1 if all_agree and peers.group.group else 0
    if peers.settled_turns > _SETTLED_TURNS:
        peers.next_ms += _SETTLED_EXTRA_INTERVALS * peers.gossip_ms
    return [Send(to, greetings.greeting(peers, True, now_ms, to)) for to in sorted(targets)]


def on_greet(peers, now_ms, sender, message):
    """Learn from a greeting, and reply if a reply is requested."""
    effects = []
    if message.sender.name and message.sender.name != peers.card.name:
        effects += _learn_card(peers, now_ms, message.sender, None)
    peers.digests[message.sender.address] = message.digest, message.names_digest
    peers.group_digests[message.sender.address] = message.group_digest
    for index, card in enumerate(message.nodes):
        if card.name != peers.card.name:
            if index < len(message.ages):
                effects += _learn_card(peers, now_ms, card, now_ms - message.ages[index])
    _merge_silence(peers, now_ms, message)
    learn_group(peers, message.group, message.sender.address)
    if message.wants_reply:
        effects.append(Send(sender, greetings.greeting(peers, False, now_ms, sender)))
    return effects


def _merge_silence(peers, now_ms, message):
    """Update `alive_ms` from the silence of each node that a greeting reports."""
    names, alive_ms = [card.name for card in message.nodes], peers.alive_ms
    if len(message.silence) == len(peers.cards) + 1:
        summary = summaries.of(peers)
        if message.names_digest == summary.names_digest:
            names = summary.names
    if len(message.silence) != len(names):
        return
    for name, steps in zip(names, message.silence):
        if name != peers.card.name:
            at_ms = now_ms - steps * peers.lost_ms / SILENCE_STEPS - peers.gossip_ms / 10
            if steps == LONGEST_SILENCE:
                at_ms = -1e9
            if at_ms > alive_ms.get(name, -1e12):
                alive_ms[name] = at_ms


def _learn_card(peers, now_ms, card, first_seen_ms):
    """Learn a card, from its own node (`first_seen_ms` is None) or from another one.

    A card from its own node replaces the known one.  A card from another node is adopted only if
    none is known, or if it was first seen later and this node had no recent greeting from the
    card's own node."""
    known_card, known_since_ms = (
        peers.cards.get(card.name),
        peers.first_seen_ms.get(card.name, -1e12),
    )
    if first_seen_ms is None:
        peers.last_contact_ms[card.name] = peers.alive_ms[card.name] = first_seen_ms = now_ms
    elif known_card not in (None, card) and (
        first_seen_ms <= known_since_ms
        or (now_ms - peers.last_contact_ms.get(card.name, -1e12) <= peers.lost_ms)
    ):
        return []
    if known_card == card:
        peers.first_seen_ms[card.name] = min(known_since_ms, first_seen_ms)
        return []
    peers.cards[card.name], peers.first_seen_ms[card.name] = card, first_seen_ms
    peers.learned_ms[card.name] = now_ms
    return (
        [LogLine("meets", {"name": card.name, "address": card.address})]
        if known_card is None
        else []
    )


def announce(peers, now_ms):
    """Send a greeting to every known node, as a new leader does."""
    return [
        Send(card.address, greetings.greeting(peers, False, now_ms, card.address))
        for _, card in sorted(peers.cards.items())
    ]


def learn_group(peers, group, sender=""):
    """Adopt a newer membership; within a term, the leader's own greeting takes precedence."""
    if not group.group or (peers.group.group and group.group != peers.group.group):
        return
    if (group.term, group.stamp, bool(group.leader)) > (
        peers.group.term,
        peers.group.stamp,
        bool(peers.group.leader),
    ) or (
        group.term == peers.group.term
        and group.leader
        and sender == group.leader
        and group.stamp >= peers.group.stamp
    ):
        peers.group = group


def counters(peers, now_ms):
    """Return the names of the live counters (nodes that route requests), this node included.

    They share the slots of the engines."""
    return tuple(
        sorted(
            [peers.card.name]
            + [
                name
                for name, at_ms in peers.alive_ms.items()
                if now_ms - at_ms < peers.lost_ms and peers.cards[name].role == "counter"
            ]
        )
    )


def depot_addresses(peers):
    """Return the addresses of all known depots, which a node can contact if the leader is
    silent."""
    addresses = [m.address for m in peers.group.members] + [
        c.address for c in peers.cards.values() if c.role == "depot"
    ]
    return sorted(set(addresses) - {peers.card.address})
