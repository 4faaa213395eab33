"""Founding a group.

Three empty depots that all know each other, and hear of no group from anyone,
agree on one list and save it; each agrees once in its life.  An empty depot
alone never founds.  Later changes of the membership are `reconfiguration`'s.
"""

import hashlib
from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import BootstrapReply, BootstrapRequest, Member

from replication.group import last_index, save_promise

__all__ = ["Bootstrap", "tick", "on_ask", "on_agree"]


@dataclass
class Bootstrap:
    group: str = ""
    members: tuple = ()
    agreed: set = field(default_factory=set)
    asked_ms: float = -1e9


def _empties(replica, cards):
    found = {replica.name: Member(replica.name, replica.identity, replica.address)}
    for card in cards.values():
        if card.role == "depot" and card.empty and card.name != replica.name:
            found[card.name] = Member(card.name, card.identity, card.address)
    return tuple(found[n] for n in sorted(found))


def _name(members):
    """A group's name follows from its founders, so asking again, after a restart
    or by another of them, is asking for the same group."""
    told = "|".join(f"{m.name}={m.identity}" for m in members)
    return hashlib.blake2b(told.encode(), digest_size=8).hexdigest()


def tick(replica, bootstrap, now_ms, cards, known):
    """Ask the others to found: as the first by name of three empty depots, or
    as any that has agreed while nobody leads yet.  `known` is the group that
    was heard of, if any."""
    if replica.group and (last_index(replica) or not replica.founders or replica.leader):
        return []
    if not replica.group and not replica.times.founds:
        return []
    if not replica.group:
        empties = _empties(replica, cards)[: replica.times.depots]
        if len(empties) < replica.times.depots or empties[0].identity != replica.identity:
            return []
        if bootstrap.members != empties:
            bootstrap.group, bootstrap.members, bootstrap.agreed = _name(empties), empties, set()
        if known not in ("", bootstrap.group):
            return []
    if now_ms - bootstrap.asked_ms < replica.times.elect_ms / 2:
        return []
    bootstrap.asked_ms = now_ms
    ask = (
        BootstrapRequest(replica.group, replica.founders)
        if replica.group
        else BootstrapRequest(bootstrap.group, bootstrap.members)
    )
    return [Send(m.address, ask) for m in ask.members if m.identity != replica.identity]


def on_ask(replica, bootstrap, now_ms, sender, ask, known):
    if replica.identity not in {m.identity for m in ask.members}:
        return []
    effects = []
    if (
        not replica.group
        and replica.times.founds
        and known in ("", ask.group)
        and (len(ask.members) == replica.times.depots)
    ):
        effects = _adopt(replica, now_ms, ask.group, ask.members)
    agreed = replica.group == ask.group
    return effects + [Send(sender, BootstrapReply(ask.group, replica.identity, agreed))]


def _adopt(replica, now_ms, group, founders):
    replica.group, replica.founders = group, founders
    replica.elect_at_ms = now_ms + replica.times.elect_ms * replica.random.random()
    return [save_promise(replica), LogLine("founds", {"group": group})]


def on_agree(replica, bootstrap, now_ms, answer):
    if replica.group or answer.group != bootstrap.group:
        return []
    if answer.agreed:
        bootstrap.agreed.add(answer.identity)
    if bootstrap.agreed >= {m.identity for m in bootstrap.members} - {replica.identity}:
        return _adopt(replica, now_ms, bootstrap.group, bootstrap.members)
    return []
