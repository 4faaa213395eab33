"""The peer table: the cards of other nodes, learned from three seeds and spread.

Every node greets its seeds until it knows the group, and from then on a small
rendezvous-chosen set of peers, which it watches.  Greetings carry the cards
one knows and the depots' membership; the membership of the highest term and
stamp wins and a node never goes back to an older one.  Addresses learned are
kept, so swapped seeds matter only to those who start.

What is told is in `greetings`.  Of two cards of one node the later met is the present one.
"""

import random
from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import GroupInfo, NodeInfo

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

# After so many turns in which all peers knew what we know, greetings come more seldom.
_SETTLED = 5
_CALM = 2.0


@dataclass
class PeerTable:
    card: NodeInfo
    seeds: tuple
    random: random.Random
    gossip_ms: float
    lost_ms: float
    cards: dict = field(default_factory=dict)
    heard_ms: dict = field(default_factory=dict)
    alive_ms: dict = field(default_factory=dict)
    group: GroupInfo = NO_GROUP
    next_ms: float = 0.0
    turn: int = 0
    digests: dict = field(default_factory=dict)
    group_digests: dict = field(default_factory=dict)
    turn_group: GroupInfo = NO_GROUP
    group_turn: int = 0
    met_ms: dict = field(default_factory=dict)
    learned_ms: dict = field(default_factory=dict)
    settled_turns: int = 0
    summary: summaries.Summary = None


def watched(peers):
    """The few peers whose heartbeat this node minds."""
    return list(summaries.of(peers).watched)


def live(peers, now_ms):
    return [n for n, at_ms in peers.alive_ms.items() if now_ms - at_ms < peers.lost_ms]


def lost(peers, now_ms, name, life):
    """Whether a node's life is over: another began, or nobody heard of it lately."""
    card = peers.cards.get(name)
    if card is None or name == peers.card.name:
        return card is not None and life != card.incarnation
    return card.incarnation != life or (
        now_ms - peers.alive_ms.get(name, now_ms) > 2 * peers.lost_ms
    )


def digest(peers):
    """What cards we know, our own included, in a few bytes."""
    return summaries.of(peers).digest


def tick(peers, now_ms):
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
    told = digest(peers)
    known = all(
        peers.digests.get(peers.cards[n].address, (0, 0))[0] == told for n in watched(peers)
    )
    peers.settled_turns = peers.settled_turns + 1 if known and peers.group.group else 0
    if peers.settled_turns > _SETTLED:
        peers.next_ms += _CALM * peers.gossip_ms
    return [Send(to, greetings.greeting(peers, True, now_ms, to)) for to in sorted(targets)]


def on_greet(peers, now_ms, sender, message):
    """Learn from a greeting, and answer it if it asks for that."""
    effects = []
    if message.card.name and message.card.name != peers.card.name:
        effects += _meet(peers, now_ms, message.card, None)
    peers.digests[message.card.address] = message.digest, message.names
    peers.group_digests[message.card.address] = message.group_digest
    for number, card in enumerate(message.cards):
        if card.name != peers.card.name:
            if number < len(message.ages):
                effects += _meet(peers, now_ms, card, now_ms - message.ages[number])
    _hear(peers, now_ms, message)
    learn_group(peers, message.group, message.card.address)
    if message.answer:
        effects.append(Send(sender, greetings.greeting(peers, False, now_ms, sender)))
    return effects


def _hear(peers, now_ms, message):
    """Take how lately others have heard of each node."""
    names, alive_ms = [card.name for card in message.cards], peers.alive_ms
    if len(message.silent) == len(peers.cards) + 1:
        made = summaries.of(peers)
        if message.names == made.names_digest:
            names = made.names
    if len(message.silent) != len(names):
        return
    for name, steps in zip(names, message.silent):
        if name != peers.card.name:
            at_ms = now_ms - steps * peers.lost_ms / SILENCE_STEPS - peers.gossip_ms / 10
            if steps == LONGEST_SILENCE:
                at_ms = -1e9
            if at_ms > alive_ms.get(name, -1e12):
                alive_ms[name] = at_ms


def _meet(peers, now_ms, card, met_ms):
    """A card heard directly (no `met_ms`) replaces the old one; hearsay only fills
    gaps, or replaces one met before it whose node has been silent here."""
    old, before = peers.cards.get(card.name), peers.met_ms.get(card.name, -1e12)
    if met_ms is None:
        peers.heard_ms[card.name] = peers.alive_ms[card.name] = met_ms = now_ms
    elif old not in (None, card) and (
        met_ms <= before or (now_ms - peers.heard_ms.get(card.name, -1e12) <= peers.lost_ms)
    ):
        return []
    if old == card:
        peers.met_ms[card.name] = min(before, met_ms)
        return []
    peers.cards[card.name], peers.met_ms[card.name] = card, met_ms
    peers.learned_ms[card.name] = now_ms
    return [LogLine("meets", {"name": card.name, "address": card.address})] if old is None else []


def announce(peers, now_ms):
    """Tell everyone known what we know, as a new leader does."""
    return [
        Send(card.address, greetings.greeting(peers, False, now_ms, card.address))
        for _, card in sorted(peers.cards.items())
    ]


def learn_group(peers, group, teller=""):
    """Take what is newer; at the same term the leader's own word counts most."""
    if not group.group or (peers.group.group and group.group != peers.group.group):
        return
    if (group.term, group.stamp, bool(group.leader)) > (
        peers.group.term,
        peers.group.stamp,
        bool(peers.group.leader),
    ) or (
        group.term == peers.group.term
        and group.leader
        and teller == group.leader
        and group.stamp >= peers.group.stamp
    ):
        peers.group = group


def counters(peers, now_ms):
    """The counters there are to share an engine's slots with, us included."""
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
    """Every depot there is to ask when the leader is silent."""
    found = [m.address for m in peers.group.members] + [
        c.address for c in peers.cards.values() if c.role == "depot"
    ]
    return sorted(set(found) - {peers.card.address})
