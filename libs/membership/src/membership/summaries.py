"""Summaries of a peer table's cards: digests, the sorted names and the watched peers.

Every greeting needs them, while cards change only when a node starts, so a table caches its
summary for as long as its cards stay the same.
"""

import functools
import hashlib
import zlib
from dataclasses import dataclass

from transport.messages import NodeInfo

__all__ = ["Summary", "group_digest", "make", "of", "weight", "WATCHED"]

WATCHED = 4
"""The number of peers that a node watches."""


@dataclass(frozen=True)
class Summary:
    """Values derived from a node's own card and its peers' cards.

    `digest` covers all cards and `names_digest` their names, the node's own included; `names`
    is sorted; `watched` has the names of the peers that the node watches."""

    card: NodeInfo
    cards: dict
    digest: int
    names_digest: int
    names: tuple
    watched: tuple


def make(card, cards):
    """Compute the summary of a node's own card and its peers' cards."""
    described = sorted(
        (c.name, c.incarnation, c.address, c.identity, c.empty) for c in (card, *cards.values())
    )
    names = sorted([*cards, card.name])
    by_weight = sorted(cards, key=lambda n: weight(card.name, n))
    return Summary(
        card, dict(cards), _crc(described), _crc(names), tuple(names), tuple(by_weight[:WATCHED])
    )


def of(peers):
    """Return the summary of a peer table's current cards, from its cache if they are unchanged.

    Code that changes the table need not invalidate the cache: the cards are compared at each
    call, which is fast, since identical objects compare at once."""
    summary = peers.summary
    if summary is None or summary.card != peers.card or summary.cards != peers.cards:
        summary = peers.summary = make(peers.card, peers.cards)
    return summary


@functools.lru_cache(maxsize=64)
def group_digest(group):
    """Return a digest of a membership; never 0, which stands for an unknown membership."""
    return _crc(group) or 1


def weight(watcher, name):
    """Return the rendezvous weight of a peer; a node watches those with the lowest weights."""
    return hashlib.blake2b(f"{watcher}>{name}".encode(), digest_size=8).digest()


def _crc(value):
    return zlib.crc32(repr(value).encode())
