"""Bootstrap: empty depots found a group.

As many empty depots as the group is to have (`GroupSettings.depots`), which all know each
other and know of no existing group, agree on a list of founders and save it.  A depot agrees
to such a list only once.  A single empty depot never founds a group, so a machine that lost
its disk can't split the membership.  `reconfiguration` makes later changes of membership.
"""

import hashlib
from dataclasses import dataclass, field

from transport.effects import LogLine, Send
from transport.messages import BootstrapReply, BootstrapRequest, Member

from replication.group import last_index, save_persistent_state

__all__ = ["Bootstrap", "tick", "on_request", "on_reply"]


@dataclass
class Bootstrap:
    """The group that this depot proposes to found: its name and founders, the identities of
    those that agreed, and when the request was last sent."""

    group: str = ""
    members: tuple = ()
    agreed: set = field(default_factory=set)
    requested_ms: float = -1e9


def _empty_depots(replica, cards):
    members = {replica.name: Member(replica.name, replica.identity, replica.address)}
    for card in cards.values():
        if card.role == "depot" and card.empty and card.name != replica.name:
            members[card.name] = Member(card.name, card.identity, card.address)
    return tuple(members[n] for n in sorted(members))


def _group_name(members):
    """Derive a group's name from its founders, so that a request that is repeated after a
    restart, or by another founder, is for the same group."""
    signature = "|".join(f"{m.name}={m.identity}" for m in members)
    return hashlib.blake2b(signature.encode(), digest_size=8).hexdigest()


def tick(replica, bootstrap, now_ms, cards, known_group):
    """Send bootstrap requests to the other founders.

    The first empty depot by name sends them, and so does each depot that has agreed, until a
    leader is elected.  `known_group` is the name of an existing group that peers reported, or "".
    """
    if replica.group and (last_index(replica) or not replica.founders or replica.leader):
        return []
    if not replica.group and not replica.settings.founds:
        return []
    if not replica.group:
        founders = _empty_depots(replica, cards)[: replica.settings.depots]
        if len(founders) < replica.settings.depots or founders[0].identity != replica.identity:
            return []
        if bootstrap.members != founders:
            bootstrap.group, bootstrap.members, bootstrap.agreed = (
                _group_name(founders),
                founders,
                set(),
            )
        if known_group not in ("", bootstrap.group):
            return []
    if now_ms - bootstrap.requested_ms < replica.settings.election_ms / 2:
        return []
    bootstrap.requested_ms = now_ms
    request = (
        BootstrapRequest(replica.group, replica.founders)
        if replica.group
        else BootstrapRequest(bootstrap.group, bootstrap.members)
    )
    return [Send(m.address, request) for m in request.members if m.identity != replica.identity]


def on_request(replica, bootstrap, now_ms, sender, request, known_group):
    """Agree to found the group if this depot is empty and knows of no other group."""
    if replica.identity not in {m.identity for m in request.members}:
        return []
    effects = []
    if (
        not replica.group
        and replica.settings.founds
        and known_group in ("", request.group)
        and (len(request.members) == replica.settings.depots)
    ):
        effects = _adopt(replica, now_ms, request.group, request.members)
    agreed = replica.group == request.group
    return effects + [Send(sender, BootstrapReply(request.group, replica.identity, agreed))]


def _adopt(replica, now_ms, group, founders):
    replica.group, replica.founders = group, founders
    replica.election_due_ms = now_ms + replica.settings.election_ms * replica.random.random()
    return [save_persistent_state(replica), LogLine("founds", {"group": group})]


def on_reply(replica, bootstrap, now_ms, reply):
    """Count a reply; found the group once all other founders agreed."""
    if replica.group or reply.group != bootstrap.group:
        return []
    if reply.agreed:
        bootstrap.agreed.add(reply.identity)
    if bootstrap.agreed >= {m.identity for m in bootstrap.members} - {replica.identity}:
        return _adopt(replica, now_ms, bootstrap.group, bootstrap.members)
    return []
