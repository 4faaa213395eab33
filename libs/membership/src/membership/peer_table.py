"""The peer table: the cards of other nodes, learned from three seeds and spread.

Every node greets its seeds until it knows the group, and from then on a small
rendezvous-chosen set of peers, which it watches.  Greetings carry the cards
one knows and the depots' membership; the membership of the highest term and
stamp wins and a node never goes back to an older one.  Addresses learned are
kept, so swapped seeds matter only to those who start.

Peers that know the same names are told only of cards met lately, those that know the
same membership nothing of it, and all how long each node has been silent in a byte each;
of two cards of one node the later met is the present one.
"""

import math
import random
from dataclasses import dataclass, field

from transport.effects import Note, Send
from transport.messages import Card, Greet, GroupCard

from membership import summaries

__all__ = [
    "PeerTable",
    "tick",
    "on_greet",
    "learn_group",
    "watched",
    "counters",
    "depot_addresses",
    "NO_GROUP",
    "live",
    "announce",
    "greeting",
    "lost",
]

NO_GROUP = GroupCard("", 0, 0, "", ())
_SETTLED = 5
_CALM = 2.0
_FRESH = 40
_WHOLE = 50
_STEPS = 64
_LONGEST = 255
# For so many turns another membership counts as new to all who were never heard.
_GROUP_IS_NEW = 5


@dataclass
class PeerTable:
    card: Card
    seeds: tuple
    random: random.Random
    gossip_ms: float
    lost_ms: float
    cards: dict = field(default_factory=dict)
    heard_ms: dict = field(default_factory=dict)
    alive_ms: dict = field(default_factory=dict)
    group: GroupCard = NO_GROUP
    next_ms: float = 0.0
    turn: int = 0
    digests: dict = field(default_factory=dict)
    group_digests: dict = field(default_factory=dict)
    turn_group: GroupCard = NO_GROUP
    group_turn: int = 0
    met_ms: dict = field(default_factory=dict)
    learned_ms: dict = field(default_factory=dict)
    settled_turns: int = 0
    summary: summaries.Summary = None


def watched(peers):
    """The few peers whose heartbeat this node minds."""
    return list(_summary(peers).watched)


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
    return _summary(peers).digest


def _summary(peers):
    """Cards that are the same objects compare in no time, so this asks for no care
    of whoever puts one into the table."""
    made = peers.summary
    if made is None or made.card != peers.card or made.cards != peers.cards:
        made = peers.summary = summaries.made(peers.card, peers.cards)
    return made


def greeting(peers, answer, now_ms, to=None):
    """Who we are and how lately each node has been heard of; to one who knows the
    same names only the cards that are new, to another all.  One we never heard is
    told no more: its answer, or our next, brings what either lacks."""
    made = _summary(peers)
    told, named = made.digest, made.names_digest
    theirs, their_names = peers.digests.get(to, (0, named))
    alike = their_names == named
    names = made.names if alike else list(peers.cards)
    known = () if theirs == told else _fresh(peers, now_ms, answer) if alike else names
    return Greet(
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
        silent_ms = now_ms - alive_ms.get(name, -1e9)
        steps = math.ceil(silent_ms * _STEPS / lost_ms) if silent_ms > 0 else 0
        told.append(0 if name == peers.card.name else steps if steps < _LONGEST else _LONGEST)
    return bytes(told)


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
    return [Send(to, greeting(peers, True, now_ms, to)) for to in sorted(targets)]


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
        effects.append(Send(sender, greeting(peers, False, now_ms, sender)))
    return effects


def _hear(peers, now_ms, message):
    """Take how lately others have heard of each node."""
    names, alive_ms = [card.name for card in message.cards], peers.alive_ms
    if len(message.silent) == len(peers.cards) + 1:
        made = _summary(peers)
        if message.names == made.names_digest:
            names = made.names
    if len(message.silent) != len(names):
        return
    for name, steps in zip(names, message.silent):
        if name != peers.card.name:
            at_ms = now_ms - steps * peers.lost_ms / _STEPS - peers.gossip_ms / 10
            if steps == _LONGEST:
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
    return [Note("meets", {"name": card.name, "address": card.address})] if old is None else []


def announce(peers, now_ms):
    """Tell everyone known what we know, as a new leader does."""
    return [
        Send(card.address, greeting(peers, False, now_ms, card.address))
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
