"""The planned end of a member: it asks to be replaced, and ends once nothing needs it.

The leader answers a leaver that may end: one that was replaced, with its removal
committed by the others; or, with no successor in sight, one that stays a member, once
a majority without it runs and holds all that was committed.  A leaver that leads hands
over the lead first.  One that gets no answer ends when its time is up.
"""

from dataclasses import dataclass

from transport.effects import Finished, LogLine, Send
from transport.messages import LeaveReply, LeaveRequest

from replication import election
from replication.group import majority, members

__all__ = [
    "Leave",
    "Departure",
    "begin",
    "learner_leaves",
    "on_reply",
    "on_request",
    "tick",
    "watch",
]

# The part of its time after which a leader no longer waits for a successor, but hands over.
_HAND_OVER_BY = 0.5


@dataclass
class Leave:
    """Our own leave: since when, until when at most, and how it ended."""

    since_ms: float
    until_ms: float
    asked_ms: float = -1e12
    done: bool = False


@dataclass
class Departure:
    """What a leader knows of a member that leaves.

    `set_aside_at` is the commit from which on its acknowledgements no longer count, so
    that all after it is on a majority without it; None while they are needed.
    """

    began_ms: float
    asked_ms: float = -1e12
    set_aside_at: int | None = None
    released: bool = False


def begin(replica, now_ms):
    return Leave(now_ms, now_ms + replica.times.leave_ms)


def tick(replica, leave, now_ms):
    """The leaver's side.  `Finished` is repeated until the process ends."""
    if leave.done:
        return [Finished()]
    if not replica.group:
        return _end(leave, "no member")
    if now_ms >= leave.until_ms:
        return election.hand_over(replica, now_ms) + _end(leave, "time is up")
    if replica.role == "leader":
        return _as_leader(replica, leave, now_ms)
    if now_ms - leave.asked_ms < replica.times.heartbeat_ms / 2:
        return []
    leave.asked_ms = now_ms
    request = LeaveRequest(replica.group, replica.identity)
    others = [m.address for i, m in sorted(members(replica).items()) if i != replica.identity]
    known = [replica.leader_address] if replica.leader_address else others
    return [Send(address, request) for address in known]


def _as_leader(replica, leave, now_ms):
    """Wait for a successor that is in sight (the leader adds it), then hand over.  Right
    after an election nobody has had the time to be in sight, or to tell that it leaves."""
    replica.departures.setdefault(replica.identity, Departure(now_ms))
    voters, wanted = members(replica), replica.times.depots
    patient = now_ms < leave.since_ms + _HAND_OVER_BY * (leave.until_ms - leave.since_ms)
    if patient and len(voters) <= wanted and _successor_in_sight(replica, now_ms):
        return []
    if len(voters) == 1:
        return _end(leave, "no other member")
    if patient and now_ms - replica.led_from_ms < replica.times.elect_ms:
        return []
    if replica.member_entries and patient:
        return []
    heir = _heir(replica, now_ms)
    if heir is None or (patient and heir in replica.departures):
        return []
    return election.hand_over(replica, now_ms, heir)


def _heir(replica, now_ms):
    """A member that has all that is committed and was sent the rest; one that stays,
    if there is one."""
    ready = [
        (identity in replica.departures, -peer.match, identity)
        for identity, peer in replica.progress.items()
        if identity in members(replica)
        and _holds(replica, identity, now_ms, replica.commit)
        and not _is_released(replica, identity)
    ]
    return min(ready)[2] if ready else None


def _end(leave, why):
    leave.done = True
    return [LogLine("left-group", {"why": why}), Finished()]


def on_reply(replica, leave, message):
    """The leader's word that we may end."""
    if leave is None or leave.done or message.identity != replica.identity:
        return []
    return _end(leave, "replaced" if message.removed else "nothing needs it")


def on_request(replica, now_ms, sender, message):
    """The leader's side: note the leaver, and answer once it may end."""
    if (
        replica.role != "leader"
        or message.group != replica.group
        or replica.commit < replica.term_index
    ):
        return []
    identity = message.identity
    if identity not in members(replica):
        if identity in replica.progress:
            replica.progress[identity].leaves_ms = now_ms
        removed = LeaveReply(replica.group, identity, True)
        return [] if replica.member_entries else [Send(sender, removed)]
    departure = replica.departures.setdefault(identity, Departure(now_ms))
    departure.asked_ms = now_ms
    _set_aside(replica, now_ms, identity, departure)
    if _to_be_replaced(replica, now_ms):
        return []
    if not departure.released and not _can_spare(replica, now_ms, identity, departure):
        return []
    departure.released = True
    return [Send(sender, LeaveReply(replica.group, identity, False))]


def watch(replica, now_ms):
    """As leader: forget who came back or is no member, and count again whom we need."""
    for identity, departure in list(replica.departures.items()):
        peer = replica.progress.get(identity)
        back = peer and peer.heard_ms > departure.asked_ms + replica.times.elect_ms
        if identity not in members(replica) or (back and identity != replica.identity):
            del replica.departures[identity]
        else:
            _set_aside(replica, now_ms, identity, departure)


def _set_aside(replica, now_ms, identity, departure):
    """Do without a leaver's acknowledgements as long as a majority of others runs whose own
    are counted: two leavers that each counted on the other would hold up every commit."""
    counted = [
        other
        for other in _staying(replica, now_ms, identity, 0)
        if not _is_set_aside(replica, other)
    ]
    if len(counted) < majority(replica):
        departure.set_aside_at = None
    elif departure.set_aside_at is None:
        departure.set_aside_at = replica.commit


def _can_spare(replica, now_ms, identity, departure):
    """Whether a majority without this member holds what it may have been counted for, and
    was heard of since it asked: one that was lost a moment ago is not known to be."""
    if departure.set_aside_at is None:
        return False
    holding = [
        other
        for other in _staying(replica, now_ms, identity, departure.set_aside_at)
        if other == replica.identity or replica.progress[other].heard_ms > departure.began_ms
    ]
    return len(holding) >= majority(replica)


def _staying(replica, now_ms, identity, index):
    """The other members that run, were not let go, and hold all up to `index`."""
    return [
        other
        for other in members(replica)
        if other != identity
        and not _is_released(replica, other)
        and _holds(replica, other, now_ms, index)
    ]


def _holds(replica, identity, now_ms, index):
    if identity == replica.identity:
        return replica.synced >= index
    peer = replica.progress.get(identity)
    heard = peer is not None and now_ms - peer.heard_ms < replica.times.elect_ms
    return heard and 0 < peer.match >= index


def _is_set_aside(replica, identity):
    departure = replica.departures.get(identity)
    return departure is not None and departure.set_aside_at is not None


def _is_released(replica, identity):
    departure = replica.departures.get(identity)
    return departure is not None and departure.released


def _to_be_replaced(replica, now_ms):
    """Whether a successor may yet come, or has come and the leaver's removal is due."""
    surplus = len(members(replica)) > replica.times.depots
    return surplus or bool(replica.member_entries) or _successor_in_sight(replica, now_ms)


def learner_leaves(replica, peer):
    """Whether a learner asked to leave, and hasn't come back since; it was told that it may."""
    return peer.heard_ms <= peer.leaves_ms + replica.times.elect_ms


def _successor_in_sight(replica, now_ms):
    """Whether a learner speaks that may yet take a place."""
    return any(
        peer.learner
        and identity not in replica.departures
        and not learner_leaves(replica, peer)
        and now_ms - peer.heard_ms < replica.times.elect_ms
        for identity, peer in replica.progress.items()
    )
