"""Membership changes, which the leader makes one at a time.

A depot that isn't a member receives the log as a learner.  A learner replaces a member that
leaves or was silent for too long.  No further voters are added, so spare depots don't enlarge
the majority.

A member that leaves but still runs is removed after its successor was added, because four
voters tolerate the loss of one, as three do, while two tolerate none.  A silent member is
removed first: if it were still a member, the loss of the new member would leave no majority.
"""

from collections import Counter

from transport.codec import to_bytes
from transport.effects import LogLine
from transport.messages import Batch, Member

from replication import catch_up, leaving, log_replication, state_machine
from replication.group import majority, members

__all__ = ["tick"]

# Silence, in election timeouts, after which a member is taken to be lost.  One is too few: a
# restart takes about as long, and costs less than bringing a new member up to date.
_ELECTIONS_UNTIL_LOST = 4

# A change requires contact with a majority within half an election timeout (two heartbeats).
_CONTACT_ELECTIONS = 0.5


def tick(replica, now_ms, cards):
    """Update the learners, and propose the change that is due once the last one is committed."""
    if replica.role != "leader" or replica.commit < replica.term_index or replica.member_entries:
        return []
    depots = {
        card.identity: card for card in cards.values() if card.role == "depot" and card.identity
    }
    effects = _update_learners(replica, now_ms, depots)
    change_effects = (
        _remove_surplus(replica, now_ms)
        or _add_missing(replica, now_ms, depots)
        or _replace(replica, now_ms, depots)
        or _update_address(replica, now_ms, depots)
    )
    return effects + change_effects


def _update_learners(replica, now_ms, depots):
    """Add every depot that isn't a voter as a learner; drop learners whose card is gone."""
    voters = members(replica)
    for identity in [i for i, p in replica.progress.items() if p.learner and i not in depots]:
        del replica.progress[identity]
    effects = []
    for identity, card in sorted(depots.items()):
        if identity not in voters and identity not in replica.progress:
            effects += log_replication.add_learner(
                replica, now_ms, identity, card.name, card.address
            )
    return effects


def _in_contact(replica, now_ms, identity, elections=1):
    if identity == replica.identity:
        return True
    peer = replica.progress.get(identity)
    return (
        peer is not None
        and now_ms - peer.last_contact_ms < elections * replica.settings.election_ms
    )


def _successors(replica, now_ms, depots):
    """Return the learners that may become voters, best first.

    They are caught up and in contact.  Those in zones with the fewest voters come first, so
    that the loss of a zone affects as few voters as possible."""
    zone_of = {card.name: card.zone for card in depots.values()}
    voters_by_zone = Counter(
        zone_of.get(m.name)
        for i, m in members(replica).items()
        if i not in replica.departures and _in_contact(replica, now_ms, i)
    )
    candidates = [
        identity
        for identity, peer in replica.progress.items()
        if peer.learner
        and identity in depots
        and identity not in replica.departures
        and not leaving.learner_is_leaving(replica, peer)
        and _in_contact(replica, now_ms, identity)
        and catch_up.caught_up(peer.catch_up, now_ms, replica.settings.election_ms)
    ]
    return sorted(candidates, key=lambda i: (voters_by_zone[depots[i].zone], depots[i].name, i))


def _remove_surplus(replica, now_ms):
    """With too many voters, remove one that leaves or was lost."""
    voters = members(replica)
    if len(voters) <= replica.settings.depots:
        return []
    departing = [i for i in sorted(voters) if i in replica.departures]
    return _remove_first(replica, now_ms, departing + _lost(replica, now_ms, voters, set()))


def _add_missing(replica, now_ms, depots):
    """With too few voters, add the best successor."""
    voters = members(replica)
    successors = _successors(replica, now_ms, depots)
    if len(voters) >= replica.settings.depots or not successors:
        return []
    return _add(replica, now_ms, depots[successors[0]])


def _replace(replica, now_ms, depots):
    """In a full group, let a successor replace a member that leaves or was lost."""
    voters = members(replica)
    successors = _successors(replica, now_ms, depots)
    if len(voters) != replica.settings.depots or not successors:
        return []
    departing = [i for i in sorted(voters) if i in replica.departures]
    if any(_in_contact(replica, now_ms, identity) for identity in departing):
        return _add(replica, now_ms, depots[successors[0]])
    candidate_names = {depots[identity].name for identity in successors}
    return _remove_first(
        replica, now_ms, departing + _lost(replica, now_ms, voters, candidate_names)
    )


def _lost(replica, now_ms, voters, reinstalled):
    """Return the members taken to be lost, the longest silent first.

    If a machine came back under a new identity (its name is in `reinstalled`), the old
    member's disk is lost, and a short silence suffices."""
    lost = []
    for identity, member in voters.items():
        elections = 1 if member.name in reinstalled else _ELECTIONS_UNTIL_LOST
        if not _in_contact(replica, now_ms, identity, elections):
            peer = replica.progress.get(identity)
            lost.append((peer.last_contact_ms if peer else float("-inf"), identity))
    return [identity for _, identity in sorted(lost)]


def _remove_first(replica, now_ms, identities):
    """Remove the first of these that can be removed; a leader never removes itself."""
    voters = members(replica)
    for identity in identities:
        remaining = {i: m for i, m in voters.items() if i != identity}
        if identity != replica.identity and _can_commit(replica, now_ms, remaining):
            return _propose(replica, now_ms, remaining, "removes", voters[identity].name)
    return []


def _add(replica, now_ms, card):
    member = Member(card.name, card.identity, card.address)
    membership = {**members(replica), card.identity: member}
    if not _can_commit(replica, now_ms, membership):
        return []
    replica.progress[card.identity].learner = False
    return _propose(replica, now_ms, membership, "adds", card.name)


def _can_commit(replica, now_ms, membership):
    """Return whether enough members are responsive to commit this membership.

    A membership entry that can't be committed would block all later entries."""
    return (
        sum(_is_responsive(replica, now_ms, identity) for identity in membership)
        > len(membership) // 2
    )


def _is_responsive(replica, now_ms, identity):
    """Return whether a member acknowledged entries to this leader and was in contact recently.

    Contact alone doesn't suffice: a new leader assumes it for all members at its election."""
    if identity == replica.identity:
        return True
    in_contact = _in_contact(replica, now_ms, identity, _CONTACT_ELECTIONS)
    return in_contact and replica.progress[identity].match > 0


def _update_address(replica, now_ms, depots):
    """Record the new address of a member that came back with its disk at another address."""
    voters = members(replica)
    for identity, member in sorted(voters.items()):
        card = depots.get(identity)
        if card is None or card.address == member.address:
            continue
        updated = {**voters, identity: Member(member.name, identity, card.address)}
        if identity in replica.progress:
            replica.progress[identity].address = card.address
        return _propose(replica, now_ms, updated, "moves", member.name)
    return []


def _propose(replica, now_ms, membership, verb, name):
    section = state_machine.members_section(membership)
    return [
        LogLine("member-" + verb, {"name": name, "majority": majority(replica)})
    ] + log_replication.propose(replica, now_ms, to_bytes(Batch((section,))))
