"""The circle: the cards of other nodes, learned from three seeds and spread.

Every node greets its seeds until it knows the group, and from then on a small
rendezvous-chosen set of fellows, which it watches.  Greetings carry the cards
one knows and the depots' membership; the membership of the highest term and
stamp wins and a node never goes back to an older one.  Addresses learned are
kept, so swapped seeds matter only to those who start.

Fellows that know the same names are told only of cards met lately, and how long
each node has been silent in a byte each; of two cards of one node the later met
is the present one.
"""

import hashlib
import math
import random
import zlib
from dataclasses import dataclass, field

from waybill.effects import Note, Send
from waybill.messages import Card, Greet, GroupCard

__all__ = [
    "Circle",
    "tick",
    "on_greet",
    "learn_group",
    "watched",
    "counters",
    "depot_addresses",
    "weight",
    "NO_GROUP",
    "live",
    "announce",
    "greeting",
    "lost",
]

NO_GROUP = GroupCard("", 0, 0, "", ())
_KNOWN = 4
_SETTLED = 5
_CALM = 2.0
_FRESH = 40
_WHOLE = 50
_STEPS = 64
_LONGEST = 255


@dataclass
class Circle:
    card: Card
    seeds: tuple
    random: random.Random
    gossipMs: float
    lostMs: float
    cards: dict = field(default_factory=dict)
    heardMs: dict = field(default_factory=dict)
    aliveMs: dict = field(default_factory=dict)
    group: GroupCard = NO_GROUP
    nextMs: float = 0.0
    turn: int = 0
    digests: dict = field(default_factory=dict)
    metMs: dict = field(default_factory=dict)
    learnedMs: dict = field(default_factory=dict)
    settledTurns: int = 0


def weight(watcher, name):
    return hashlib.blake2b(f"{watcher}>{name}".encode(), digest_size=8).digest()


def watched(circle):
    """The few fellows whose heartbeat this node minds."""
    names = sorted(circle.cards, key=lambda n: weight(circle.card.name, n))
    return names[:_KNOWN]


def live(circle, nowMs):
    return [n for n, atMs in circle.aliveMs.items() if nowMs - atMs < circle.lostMs]


def lost(circle, nowMs, name, life):
    """Whether a node's life is over: another began, or nobody heard of it lately."""
    card = circle.cards.get(name)
    if card is None or name == circle.card.name:
        return card is not None and life != card.incarnation
    return card.incarnation != life or (nowMs - circle.aliveMs.get(name, nowMs) > 2 * circle.lostMs)


def digest(circle):
    """What cards we know, our own included, in a few bytes."""
    known = sorted(
        (c.name, c.incarnation, c.address, c.identity, c.empty)
        for c in (circle.card, *circle.cards.values())
    )
    return zlib.crc32(repr(known).encode())


def _names(circle):
    return zlib.crc32(repr(sorted([*circle.cards, circle.card.name])).encode())


def greeting(circle, answer, nowMs, to=None):
    """Who we are and how lately each node has been heard of; to one who knows the
    same names only the cards that are new, to another all.  One we never heard is
    told no more: its answer, or our next, brings what either lacks."""
    told, named = digest(circle), _names(circle)
    theirs, theirNames = circle.digests.get(to, (0, named))
    alike = theirNames == named
    names = sorted([*circle.cards, circle.card.name]) if alike else list(circle.cards)
    known = () if theirs == told else _fresh(circle, nowMs, answer) if alike else names
    return Greet(
        circle.card,
        answer,
        tuple(circle.cards[n] for n in known),
        circle.group,
        bytes(_silence(circle, nowMs, n) for n in names),
        told,
        named,
        tuple(int(min(1e12, nowMs - circle.metMs.get(n, -1e12))) for n in known),
    )


def _fresh(circle, nowMs, answer):
    """Names whose cards we learned lately; now and then all, whatever was lost, but
    only as an answer, since only then what the other knows was told just now."""
    if not answer and circle.turn % _WHOLE == 0:
        return list(circle.cards)
    return [
        n for n in circle.cards if nowMs - circle.learnedMs.get(n, -1e12) < _FRESH * circle.gossipMs
    ]


def _silence(circle, nowMs, name):
    """In parts of the time after which a node counts as lost."""
    if name == circle.card.name:
        return 0
    silentMs = max(0.0, nowMs - circle.aliveMs.get(name, -1e9))
    return min(_LONGEST, math.ceil(silentMs * _STEPS / circle.lostMs))


def tick(circle, nowMs):
    if nowMs < circle.nextMs:
        return []
    circle.nextMs = nowMs + circle.gossipMs * (0.8 + 0.4 * circle.random.random())
    targets = {circle.cards[n].address for n in watched(circle)}
    others = sorted(circle.cards)
    if others:
        targets.add(circle.cards[others[circle.random.randrange(len(others))]].address)
    circle.turn += 1
    if not circle.group.group or len(circle.cards) < _KNOWN or circle.turn % 10 == 0:
        targets |= set(circle.seeds)
    depots = depot_addresses(circle)
    if depots:
        targets.add(depots[circle.turn % len(depots)])
    targets.discard(circle.card.address)
    told = digest(circle)
    known = all(
        circle.digests.get(circle.cards[n].address, (0, 0))[0] == told for n in watched(circle)
    )
    circle.settledTurns = circle.settledTurns + 1 if known and circle.group.group else 0
    if circle.settledTurns > _SETTLED:
        circle.nextMs += _CALM * circle.gossipMs
    return [Send(to, greeting(circle, True, nowMs, to)) for to in sorted(targets)]


def on_greet(circle, nowMs, sender, message):
    """Learn from a greeting, and answer it if it asks for that."""
    effects = []
    if message.card.name and message.card.name != circle.card.name:
        effects += _meet(circle, nowMs, message.card, None)
    circle.digests[message.card.address] = message.digest, message.names
    for number, card in enumerate(message.cards):
        if card.name != circle.card.name:
            if number < len(message.ages):
                effects += _meet(circle, nowMs, card, nowMs - message.ages[number])
    _hear(circle, nowMs, message)
    learn_group(circle, message.group, message.card.address)
    if message.answer:
        effects.append(Send(sender, greeting(circle, False, nowMs, sender)))
    return effects


def _hear(circle, nowMs, message):
    """Take how lately others have heard of each node."""
    names = [card.name for card in message.cards]
    if len(message.silent) == len(circle.cards) + 1 and message.names == _names(circle):
        names = sorted([*circle.cards, circle.card.name])
    if len(message.silent) != len(names):
        return
    for name, steps in zip(names, message.silent):
        if name != circle.card.name:
            atMs = nowMs - steps * circle.lostMs / _STEPS - circle.gossipMs / 10
            if steps == _LONGEST:
                atMs = -1e9
            circle.aliveMs[name] = max(atMs, circle.aliveMs.get(name, -1e12))


def _meet(circle, nowMs, card, metMs):
    """A card heard directly (no `metMs`) replaces the old one; hearsay only fills
    gaps, or replaces one met before it whose node has been silent here."""
    old, before = circle.cards.get(card.name), circle.metMs.get(card.name, -1e12)
    if metMs is None:
        circle.heardMs[card.name] = circle.aliveMs[card.name] = metMs = nowMs
    elif old not in (None, card) and (
        metMs <= before or (nowMs - circle.heardMs.get(card.name, -1e12) <= circle.lostMs)
    ):
        return []
    if old == card:
        circle.metMs[card.name] = min(before, metMs)
        return []
    circle.cards[card.name], circle.metMs[card.name] = card, metMs
    circle.learnedMs[card.name] = nowMs
    return [Note("meets", {"name": card.name, "address": card.address})] if old is None else []


def announce(circle, nowMs):
    """Tell everyone known what we know, as a new leader does."""
    return [
        Send(card.address, greeting(circle, False, nowMs, card.address))
        for _, card in sorted(circle.cards.items())
    ]


def learn_group(circle, group, teller=""):
    """Take what is newer; at the same term the leader's own word counts most."""
    if not group.group or (circle.group.group and group.group != circle.group.group):
        return
    if (group.term, group.stamp, bool(group.leader)) > (
        circle.group.term,
        circle.group.stamp,
        bool(circle.group.leader),
    ) or (
        group.term == circle.group.term
        and group.leader
        and teller == group.leader
        and group.stamp >= circle.group.stamp
    ):
        circle.group = group


def counters(circle, nowMs):
    """The counters there are to share an engine's slots with, us included."""
    return tuple(
        sorted(
            [circle.card.name]
            + [n for n in live(circle, nowMs) if circle.cards[n].role == "counter"]
        )
    )


def depot_addresses(circle):
    """Every depot there is to ask when the leader is silent."""
    found = [m.address for m in circle.group.members] + [
        c.address for c in circle.cards.values() if c.role == "depot"
    ]
    return sorted(set(found) - {circle.card.address})
