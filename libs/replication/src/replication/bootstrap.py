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

from transport.codec import to_bytes
from transport.effects import Note, Send
from transport.messages import Batch, BootstrapReply, BootstrapRequest, Member

from replication import log_replication, state_machine
from replication.group import last_index, majority, members, save_promise

__all__ = ["Bootstrap", "tick", "on_ask", "on_agree", "replace_tick"]


_GONE = 4


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
    return [save_promise(replica), Note("founds", {"group": group})]


def on_agree(replica, bootstrap, now_ms, answer):
    if replica.group or answer.group != bootstrap.group:
        return []
    if answer.agreed:
        bootstrap.agreed.add(answer.identity)
    if bootstrap.agreed >= {m.identity for m in bootstrap.members} - {replica.identity}:
        return _adopt(replica, now_ms, bootstrap.group, bootstrap.members)
    return []


def replace_tick(replica, now_ms, cards):
    """As leader, bring a new identity in; membership changes one at a time."""
    if replica.role != "leader" or replica.commit < replica.term_index or replica.member_entries:
        return []
    voters = members(replica)
    by_name = {m.name: m for m in voters.values()}
    for card in sorted(cards.values(), key=lambda c: c.name):
        if card.role != "depot" or not card.identity or card.identity in voters:
            continue
        old = by_name.get(card.name)
        full = old is None and len(voters) >= replica.times.depots
        peer = replica.progress.get(card.identity)
        if peer is None:
            return log_replication.add_learner(
                replica, now_ms, card.identity, card.name, card.address
            )
        if peer.match < replica.commit or now_ms - peer.heard_ms > replica.times.elect_ms:
            continue
        old = _silent(replica, now_ms, voters) if full else old
        if full and old is None:
            continue
        if old is not None:
            seen = replica.progress.get(old.identity)
            if old.identity == replica.identity or (
                seen and now_ms - seen.heard_ms < _GONE * replica.times.elect_ms
            ):
                continue
            rest = {i: m for i, m in voters.items() if i != old.identity}
            return _change(replica, now_ms, rest, "removes", old.name)
        peer.learner = False
        added = {**voters, card.identity: Member(card.name, card.identity, card.address)}
        return _change(replica, now_ms, added, "adds", card.name)
    return _move_addresses(replica, now_ms, cards)


def _silent(replica, now_ms, voters):
    """The member whose place one of another name may take: the longest silent."""
    silent = [
        (replica.progress[i].heard_ms, i)
        for i in voters
        if i in replica.progress
        and now_ms - replica.progress[i].heard_ms >= _GONE * replica.times.elect_ms
    ]
    return voters[min(silent)[1]] if silent else None


def _move_addresses(replica, now_ms, cards):
    """A member that came back with its disk at another address is recorded."""
    for card in cards.values():
        old = members(replica).get(card.identity)
        if old and card.identity and card.address != old.address:
            moved = {
                **members(replica),
                card.identity: Member(old.name, old.identity, card.address),
            }
            if card.identity in replica.progress:
                replica.progress[card.identity].address = card.address
            return _change(replica, now_ms, moved, "moves", old.name)
    return []


def _change(replica, now_ms, wanted, verb, name):
    section = state_machine.members_section(wanted)
    return [
        Note("member-" + verb, {"name": name, "majority": majority(replica)})
    ] + log_replication.propose(replica, now_ms, to_bytes(Batch((section,))))
