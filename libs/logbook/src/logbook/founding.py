"""Founding a group, and replacing a lost member of it.

Three empty depots that all know each other, and hear of no group from anyone,
agree on one list and save it; each agrees once in its life.  An empty depot
alone never founds.  Later, a new identity under a lost member's name is
brought up to date as a learner, then the old member is removed and the new
one added: two records, one change at a time, so majorities always overlap.  A
newcomer of another name is brought up to date too, and takes the place of the
member that has been silent longest, once that is silent for long enough.
"""

import hashlib
from dataclasses import dataclass, field

from waybill.codec import to_bytes
from waybill.effects import Note, Send
from waybill.messages import Batch, FoundAgree, FoundAsk, Member

from logbook import book as books
from logbook import copying
from logbook.group import last_index, majority, members, save_promise

__all__ = ["Founding", "tick", "on_ask", "on_agree", "replace_tick"]


_GONE = 4


@dataclass
class Founding:
    group: str = ""
    members: tuple = ()
    agreed: set = field(default_factory=set)
    askedMs: float = -1e9


def _empties(g, cards):
    found = {g.name: Member(g.name, g.identity, g.address)}
    for card in cards.values():
        if card.role == "depot" and card.empty and card.name != g.name:
            found[card.name] = Member(card.name, card.identity, card.address)
    return tuple(found[n] for n in sorted(found))


def _name(members):
    """A group's name follows from its founders, so asking again, after a restart
    or by another of them, is asking for the same group."""
    told = "|".join(f"{m.name}={m.identity}" for m in members)
    return hashlib.blake2b(told.encode(), digest_size=8).hexdigest()


def tick(g, f, nowMs, cards, known):
    """Ask the others to found: as the first by name of three empty depots, or
    as any that has agreed while nobody leads yet.  `known` is the group that
    was heard of, if any."""
    if g.group and (last_index(g) or not g.founders or g.leader):
        return []
    if not g.group and not g.times.founds:
        return []
    if not g.group:
        empties = _empties(g, cards)[: g.times.depots]
        if len(empties) < g.times.depots or empties[0].identity != g.identity:
            return []
        if f.members != empties:
            f.group, f.members, f.agreed = _name(empties), empties, set()
        if known not in ("", f.group):
            return []
    if nowMs - f.askedMs < g.times.electMs / 2:
        return []
    f.askedMs = nowMs
    ask = FoundAsk(g.group, g.founders) if g.group else FoundAsk(f.group, f.members)
    return [Send(m.address, ask) for m in ask.members if m.identity != g.identity]


def on_ask(g, f, nowMs, sender, ask, known):
    if g.identity not in {m.identity for m in ask.members}:
        return []
    effects = []
    if (
        not g.group
        and g.times.founds
        and known in ("", ask.group)
        and (len(ask.members) == g.times.depots)
    ):
        effects = _adopt(g, nowMs, ask.group, ask.members)
    agreed = g.group == ask.group
    return effects + [Send(sender, FoundAgree(ask.group, g.identity, agreed))]


def _adopt(g, nowMs, group, founders):
    g.group, g.founders = group, founders
    g.electAtMs = nowMs + g.times.electMs * g.random.random()
    return [save_promise(g), Note("founds", {"group": group})]


def on_agree(g, f, nowMs, answer):
    if g.group or answer.group != f.group:
        return []
    if answer.agreed:
        f.agreed.add(answer.identity)
    if f.agreed >= {m.identity for m in f.members} - {g.identity}:
        return _adopt(g, nowMs, f.group, f.members)
    return []


def replace_tick(g, nowMs, cards):
    """As leader, bring a new identity in; membership changes one at a time."""
    if g.role != "leader" or g.commit < g.termIndex or g.memberEntries:
        return []
    voters = members(g)
    by_name = {m.name: m for m in voters.values()}
    for card in sorted(cards.values(), key=lambda c: c.name):
        if card.role != "depot" or not card.identity or card.identity in voters:
            continue
        old = by_name.get(card.name)
        full = old is None and len(voters) >= g.times.depots
        other = g.others.get(card.identity)
        if other is None:
            return copying.add_learner(g, nowMs, card.identity, card.name, card.address)
        if other.match < g.commit or nowMs - other.heardMs > g.times.electMs:
            continue
        old = _silent(g, nowMs, voters) if full else old
        if full and old is None:
            continue
        if old is not None:
            seen = g.others.get(old.identity)
            if old.identity == g.identity or (
                seen and nowMs - seen.heardMs < _GONE * g.times.electMs
            ):
                continue
            rest = {i: m for i, m in voters.items() if i != old.identity}
            return _change(g, nowMs, rest, "removes", old.name)
        other.learner = False
        added = {**voters, card.identity: Member(card.name, card.identity, card.address)}
        return _change(g, nowMs, added, "adds", card.name)
    return _move_addresses(g, nowMs, cards)


def _silent(g, nowMs, voters):
    """The member whose place one of another name may take: the longest silent."""
    silent = [
        (g.others[i].heardMs, i)
        for i in voters
        if i in g.others and nowMs - g.others[i].heardMs >= _GONE * g.times.electMs
    ]
    return voters[min(silent)[1]] if silent else None


def _move_addresses(g, nowMs, cards):
    """A member that came back with its disk at another address is recorded."""
    for card in cards.values():
        old = members(g).get(card.identity)
        if old and card.identity and card.address != old.address:
            moved = {**members(g), card.identity: Member(old.name, old.identity, card.address)}
            if card.identity in g.others:
                g.others[card.identity].address = card.address
            return _change(g, nowMs, moved, "moves", old.name)
    return []


def _change(g, nowMs, wanted, verb, name):
    section = books.members_section(wanted)
    return [Note("member-" + verb, {"name": name, "majority": majority(g)})] + copying.propose(
        g, nowMs, to_bytes(Batch((section,)))
    )
