"""The planned stop of a member: it requests permission from the leader and stops once it has it.

The leader permits a member to stop in two cases.  Either the member was replaced, and the others
committed its removal.  Or no successor is available, and a majority without the member runs and
has every entry for whose commit the member may have been counted; it then stays a member.  A
leader that is to stop transfers leadership first.  A member that gets no reply stops at its
deadline.
"""

from dataclasses import dataclass

from transport.effects import Finished, LogLine, Send
from transport.messages import LeaveReply, LeaveRequest

from replication import election
from replication.group import majority, members

__all__ = [
    "LeaveState",
    "Departure",
    "begin",
    "learner_is_leaving",
    "on_reply",
    "on_request",
    "tick",
    "update_departures",
]

# The fraction of the time until its deadline for which a leader that is to stop waits for a
# successor; after it, the leader transfers leadership without one.
_SUCCESSOR_WAIT_PART = 0.5


@dataclass
class LeaveState:
    """The planned stop of this depot: its start, its deadline and whether it may stop now."""

    started_ms: float
    deadline_ms: float
    requested_ms: float = -1e12
    done: bool = False


@dataclass
class Departure:
    """What a leader knows of a member that asked to leave.

    `uncounted_from` is the commit index after which its acknowledgements don't count, so that
    later entries are on a majority without it; None while they are needed.  `released`: the
    member was told that it may stop."""

    first_requested_ms: float
    requested_ms: float = -1e12
    uncounted_from: int | None = None
    released: bool = False


def begin(replica, now_ms):
    """Start the planned stop of this depot."""
    return LeaveState(now_ms, now_ms + replica.settings.leave_ms)


def tick(replica, leave, now_ms):
    """Request permission to stop, or prepare the stop as leader.

    Once the depot may stop, `Finished` is returned at each tick until the process ends."""
    if leave.done:
        return [Finished()]
    if not replica.group:
        return _finish(leave, "not in a group")
    if now_ms >= leave.deadline_ms:
        return election.transfer_leadership(replica, now_ms) + _finish(leave, "time is up")
    if replica.role == "leader":
        return _leader_tick(replica, leave, now_ms)
    if now_ms - leave.requested_ms < replica.settings.heartbeat_ms / 2:
        return []
    leave.requested_ms = now_ms
    request = LeaveRequest(replica.group, replica.identity)
    others = [m.address for i, m in sorted(members(replica).items()) if i != replica.identity]
    addresses = [replica.leader_address] if replica.leader_address else others
    return [Send(address, request) for address in addresses]


def _leader_tick(replica, leave, now_ms):
    """Wait until an available successor was added, then transfer leadership.

    Nothing is decided right after an election: learners haven't made contact yet, and members
    that are leaving haven't sent their requests to this leader yet."""
    replica.departures.setdefault(replica.identity, Departure(now_ms))
    voters, target_size = members(replica), replica.settings.depots
    waiting = now_ms < leave.started_ms + _SUCCESSOR_WAIT_PART * (
        leave.deadline_ms - leave.started_ms
    )
    if waiting and len(voters) <= target_size and _successor_available(replica, now_ms):
        return []
    if len(voters) == 1:
        return _finish(leave, "no other member")
    if waiting and now_ms - replica.leader_since_ms < replica.settings.election_ms:
        return []
    if replica.member_entries and waiting:
        return []
    target = _transfer_target(replica, now_ms)
    if target is None or (waiting and target in replica.departures):
        return []
    return election.transfer_leadership(replica, now_ms, target)


def _transfer_target(replica, now_ms):
    """Return a member that has all committed entries, preferably one that isn't leaving."""
    ready = [
        (identity in replica.departures, -peer.match, identity)
        for identity, peer in replica.progress.items()
        if identity in members(replica)
        and _holds_log(replica, identity, now_ms, replica.commit)
        and not _is_released(replica, identity)
    ]
    return min(ready)[2] if ready else None


def _finish(leave, reason):
    leave.done = True
    return [LogLine("left-group", {"why": reason}), Finished()]


def on_reply(replica, leave, message):
    """Stop if the leader's reply is for this depot."""
    if leave is None or leave.done or message.identity != replica.identity:
        return []
    return _finish(leave, "replaced" if message.removed else "no longer needed")


def on_request(replica, now_ms, sender, message):
    """As leader, record a member's request to leave, and reply once the member may stop."""
    if (
        replica.role != "leader"
        or message.group != replica.group
        or replica.commit < replica.term_index
    ):
        return []
    identity = message.identity
    if identity not in members(replica):
        if identity in replica.progress:
            replica.progress[identity].leave_requested_ms = now_ms
        removed = LeaveReply(replica.group, identity, True)
        return [] if replica.member_entries else [Send(sender, removed)]
    departure = replica.departures.setdefault(identity, Departure(now_ms))
    departure.requested_ms = now_ms
    _update_counting(replica, now_ms, identity, departure)
    if _replacement_pending(replica, now_ms):
        return []
    if not departure.released and not _can_spare(replica, now_ms, identity, departure):
        return []
    departure.released = True
    return [Send(sender, LeaveReply(replica.group, identity, False))]


def update_departures(replica, now_ms):
    """As leader, drop departures of depots that returned or are no longer members.

    For the others, decide again whether their acknowledgements count."""
    for identity, departure in list(replica.departures.items()):
        peer = replica.progress.get(identity)
        returned = (
            peer and peer.last_contact_ms > departure.requested_ms + replica.settings.election_ms
        )
        if identity not in members(replica) or (returned and identity != replica.identity):
            del replica.departures[identity]
        else:
            _update_counting(replica, now_ms, identity, departure)


def _update_counting(replica, now_ms, identity, departure):
    """Decide whether a leaving member's acknowledgements count.

    They don't count as long as other members, whose own acknowledgements count, run and form a
    majority.  If each of two leaving members was left out because the other one counts, no entry
    could be committed."""
    counted = [
        other
        for other in _other_holders(replica, now_ms, identity, 0)
        if not _is_uncounted(replica, other)
    ]
    if len(counted) < majority(replica):
        departure.uncounted_from = None
    elif departure.uncounted_from is None:
        departure.uncounted_from = replica.commit


def _can_spare(replica, now_ms, identity, departure):
    """Return whether a majority without this member has the entries for whose commit the member
    was counted.

    Other members count only if they were in contact after this one first asked to leave, since
    the loss of one of them just before may not be known yet."""
    if departure.uncounted_from is None:
        return False
    holding = [
        other
        for other in _other_holders(replica, now_ms, identity, departure.uncounted_from)
        if other == replica.identity
        or replica.progress[other].last_contact_ms > departure.first_requested_ms
    ]
    return len(holding) >= majority(replica)


def _other_holders(replica, now_ms, identity, index):
    """Return the other members that run, weren't released, and have the log up to `index`."""
    return [
        other
        for other in members(replica)
        if other != identity
        and not _is_released(replica, other)
        and _holds_log(replica, other, now_ms, index)
    ]


def _holds_log(replica, identity, now_ms, index):
    if identity == replica.identity:
        return replica.synced >= index
    peer = replica.progress.get(identity)
    in_contact = peer is not None and now_ms - peer.last_contact_ms < replica.settings.election_ms
    return in_contact and 0 < peer.match >= index


def _is_uncounted(replica, identity):
    departure = replica.departures.get(identity)
    return departure is not None and departure.uncounted_from is not None


def _is_released(replica, identity):
    departure = replica.departures.get(identity)
    return departure is not None and departure.released


def _replacement_pending(replica, now_ms):
    """Return whether a successor may still be added, or was added and a removal is due."""
    too_many = len(members(replica)) > replica.settings.depots
    return too_many or bool(replica.member_entries) or _successor_available(replica, now_ms)


def learner_is_leaving(replica, peer):
    """Return whether a learner asked to leave, and was told that it may, and hasn't returned."""
    return peer.last_contact_ms <= peer.leave_requested_ms + replica.settings.election_ms


def _successor_available(replica, now_ms):
    """Return whether some learner that may become a member is in contact."""
    return any(
        peer.learner
        and identity not in replica.departures
        and not learner_is_leaving(replica, peer)
        and now_ms - peer.last_contact_ms < replica.settings.election_ms
        for identity, peer in replica.progress.items()
    )
