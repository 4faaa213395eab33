"""Changes of membership, which the leader makes one at a time.

A depot that is not a member is kept up to date as a learner.  It takes the place of a
member that leaves, or that was silent for too long; beyond that no voter is added, so
that spare depots make no majority larger.

A member that leaves and still runs is removed after its successor was added, since four
voters bear the loss of one as three do, and two bear none.  A silent one is removed
first: were it still counted, the loss of the newcomer would leave no majority.
"""

from collections import Counter

from transport.codec import to_bytes
from transport.effects import LogLine
from transport.messages import Batch, Member

from replication import catch_up, leaving, log_replication, state_machine
from replication.group import majority, members

__all__ = ["tick"]

# Elections without a word after which a member is taken to be lost.  One is too few: a
# restart takes about as long, and costs less than bringing a newcomer up to date.
_ELECTIONS_UNTIL_LOST = 4

# A change is made only with a majority heard of in half an election, two heartbeats.
_ELECTIONS_FOR_A_CHANGE = 0.5


def tick(replica, now_ms, cards):
    """Watch newcomers, and make the change that is due, if the last one is committed."""
    if replica.role != "leader" or replica.commit < replica.term_index or replica.member_entries:
        return []
    depots = {
        card.identity: card for card in cards.values() if card.role == "depot" and card.identity
    }
    effects = _watch(replica, now_ms, depots)
    changed = (
        _shrink(replica, now_ms)
        or _fill(replica, now_ms, depots)
        or _replace(replica, now_ms, depots)
        or _move_address(replica, now_ms, depots)
    )
    return effects + changed


def _watch(replica, now_ms, depots):
    """Every depot that is no voter is a learner, until its card is gone."""
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


def _heard(replica, now_ms, identity, elections=1):
    if identity == replica.identity:
        return True
    peer = replica.progress.get(identity)
    return peer is not None and now_ms - peer.heard_ms < elections * replica.times.elect_ms


def _successors(replica, now_ms, depots):
    """The learners that are caught up and speak, best first: those in zones with the
    fewest voters, so that the loss of a zone takes as few as can be."""
    zone_of = {card.name: card.zone for card in depots.values()}
    crowded = Counter(
        zone_of.get(m.name)
        for i, m in members(replica).items()
        if i not in replica.departures and _heard(replica, now_ms, i)
    )
    ready = [
        identity
        for identity, peer in replica.progress.items()
        if peer.learner
        and identity in depots
        and identity not in replica.departures
        and not leaving.learner_leaves(replica, peer)
        and _heard(replica, now_ms, identity)
        and catch_up.caught_up(peer.catch_up, now_ms, replica.times.elect_ms)
    ]
    return sorted(ready, key=lambda i: (crowded[depots[i].zone], depots[i].name, i))


def _shrink(replica, now_ms):
    """More voters than there should be: one whose place was taken goes."""
    voters = members(replica)
    if len(voters) <= replica.times.depots:
        return []
    departing = [i for i in sorted(voters) if i in replica.departures]
    return _remove_first(replica, now_ms, departing + _lost(replica, now_ms, voters, set()))


def _fill(replica, now_ms, depots):
    """Fewer voters than there should be: the best successor is added."""
    voters = members(replica)
    successors = _successors(replica, now_ms, depots)
    if len(voters) >= replica.times.depots or not successors:
        return []
    return _add(replica, now_ms, depots[successors[0]])


def _replace(replica, now_ms, depots):
    """A full group: a successor takes the place of who leaves, or was lost."""
    voters = members(replica)
    successors = _successors(replica, now_ms, depots)
    if len(voters) != replica.times.depots or not successors:
        return []
    departing = [i for i in sorted(voters) if i in replica.departures]
    if any(_heard(replica, now_ms, identity) for identity in departing):
        return _add(replica, now_ms, depots[successors[0]])
    names = {depots[identity].name for identity in successors}
    return _remove_first(replica, now_ms, departing + _lost(replica, now_ms, voters, names))


def _lost(replica, now_ms, voters, reborn):
    """Members taken to be lost, the longest silent first.  One whose machine came back
    under a new identity (`reborn` has its name) lost its disk: a short silence will do."""
    found = []
    for identity, member in voters.items():
        elections = 1 if member.name in reborn else _ELECTIONS_UNTIL_LOST
        if not _heard(replica, now_ms, identity, elections):
            peer = replica.progress.get(identity)
            found.append((peer.heard_ms if peer else float("-inf"), identity))
    return [identity for _, identity in sorted(found)]


def _remove_first(replica, now_ms, identities):
    """Remove the first of these that may go; a leader never removes itself."""
    voters = members(replica)
    for identity in identities:
        rest = {i: m for i, m in voters.items() if i != identity}
        if identity != replica.identity and _can_commit(replica, now_ms, rest):
            return _change(replica, now_ms, rest, "removes", voters[identity].name)
    return []


def _add(replica, now_ms, card):
    member = Member(card.name, card.identity, card.address)
    wanted = {**members(replica), card.identity: member}
    if not _can_commit(replica, now_ms, wanted):
        return []
    replica.progress[card.identity].learner = False
    return _change(replica, now_ms, wanted, "adds", card.name)


def _can_commit(replica, now_ms, wanted):
    """Whether enough of this membership spoke just now to commit it: one that can't be
    committed holds up all that follows."""
    return sum(_speaks(replica, now_ms, identity) for identity in wanted) > len(wanted) // 2


def _speaks(replica, now_ms, identity):
    """Whether a member has acknowledged something to this leader and spoke just now.  A new
    leader takes all members to have been heard at its election, those that are gone too."""
    if identity == replica.identity:
        return True
    heard = _heard(replica, now_ms, identity, _ELECTIONS_FOR_A_CHANGE)
    return heard and replica.progress[identity].match > 0


def _move_address(replica, now_ms, depots):
    """A member that came back with its disk at another address is recorded."""
    voters = members(replica)
    for identity, member in sorted(voters.items()):
        card = depots.get(identity)
        if card is None or card.address == member.address:
            continue
        moved = {**voters, identity: Member(member.name, identity, card.address)}
        if identity in replica.progress:
            replica.progress[identity].address = card.address
        return _change(replica, now_ms, moved, "moves", member.name)
    return []


def _change(replica, now_ms, wanted, verb, name):
    section = state_machine.members_section(wanted)
    return [
        LogLine("member-" + verb, {"name": name, "majority": majority(replica)})
    ] + log_replication.propose(replica, now_ms, to_bytes(Batch((section,))))
