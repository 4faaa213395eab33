"""What follows from the cards that a node knows, and from nothing else.

Every greeting tells or asks for it, and cards change only when a node starts, so
a table keeps what was made for as long as its cards stay the same.
"""

import functools
import hashlib
import zlib
from dataclasses import dataclass

from transport.messages import NodeInfo

__all__ = ["Summary", "group_digest", "made", "of", "weight", "WATCHED"]

WATCHED = 4
"""How many peers a node watches."""


@dataclass(frozen=True)
class Summary:
    """`digest` is of all cards, the node's own included, `names_digest` of their
    names; `names` are in order; `watched` are the peers whom the node minds."""

    card: NodeInfo
    cards: dict
    digest: int
    names_digest: int
    names: tuple
    watched: tuple


def made(card, cards):
    known = sorted(
        (c.name, c.incarnation, c.address, c.identity, c.empty) for c in (card, *cards.values())
    )
    names = sorted([*cards, card.name])
    near = sorted(cards, key=lambda n: weight(card.name, n))
    return Summary(card, dict(cards), _crc(known), _crc(names), tuple(names), tuple(near[:WATCHED]))


def of(peers):
    """The summary of a peer table's present cards.

    Cards that are the same objects compare in no time, so this asks for no care of whoever
    puts one into the table."""
    known = peers.summary
    if known is None or known.card != peers.card or known.cards != peers.cards:
        known = peers.summary = made(peers.card, peers.cards)
    return known


@functools.lru_cache(maxsize=64)
def group_digest(group):
    """A number that differs for memberships that differ; never 0, which tells none."""
    return _crc(group) or 1


def weight(watcher, name):
    return hashlib.blake2b(f"{watcher}>{name}".encode(), digest_size=8).digest()


def _crc(value):
    return zlib.crc32(repr(value).encode())
