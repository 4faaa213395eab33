"""Leader election among the depots: pre-votes, votes, stepping down, leadership transfer.

A candidate starts with a pre-vote, which changes no term, so a depot that was disconnected
doesn't disrupt the group when it returns.  A refused pre-vote carries the voter's term, so
that a depot with a newer log but an older term can catch up.  Votes are saved before they are
sent.  A leader that lost contact with a majority steps down; one whose disk stalls transfers
leadership to another voter.
"""

from transport.codec import to_bytes
from transport.effects import DumpLog, LogLine, Send
from transport.messages import Batch, TransferLeadership, VoteReply, VoteRequest

from replication import log_replication, state_machine
from replication.group import (
    PeerProgress,
    has_live_leader,
    last_index,
    last_term,
    majority,
    members,
    save_persistent_state,
)

__all__ = [
    "tick",
    "on_vote_request",
    "on_vote_reply",
    "on_transfer_leadership",
    "transfer_leadership",
    "step_down",
    "reset_election_timer",
]

# Limit, in election timeouts, on the silence of the old leader that a new leader assumes at its
# election.  It leaves the old leader time to respond before it is replaced (see
# `reconfiguration`).
_MAX_SILENT_ELECTIONS = 3


def reset_election_timer(replica, now_ms):
    """Schedule the next election after a random time of one to two election timeouts."""
    replica.election_due_ms = now_ms + replica.settings.election_ms * (1 + replica.random.random())


def step_down(replica, term, now_ms):
    """Become a follower; a newer term is saved before any other message is sent."""
    effects = []
    if replica.role == "leader":
        effects.append(LogLine("left-lead", {"term": replica.term}))
    replica.role, replica.pre_vote = "follower", False
    replica.votes = set()
    if term > replica.term:
        replica.term, replica.voted_for = term, ""
        replica.leader = replica.leader_address = ""
        replica.verified = 0
        effects.append(save_persistent_state(replica))
    reset_election_timer(replica, now_ms)
    return effects


def tick(replica, now_ms):
    """Send heartbeats as leader; start an election otherwise, if one is due."""
    if not replica.group or replica.identity not in members(replica):
        return []
    if replica.role == "leader":
        return _leader_tick(replica, now_ms)
    if now_ms < replica.election_due_ms or _disk_stalled(replica, now_ms):
        return []
    reset_election_timer(replica, now_ms)
    replica.role, replica.pre_vote, replica.votes = "candidate", True, {replica.identity}
    replica.leader = replica.leader_address = ""
    return _request_votes(replica, replica.term + 1, False) + _count_votes(replica, now_ms, False)


def _disk_stalled(replica, now_ms):
    """Return whether the oldest unfinished write began over an election timeout ago."""
    return bool(replica.writes) and now_ms - replica.writes[0][3] > replica.settings.election_ms


def _leader_tick(replica, now_ms):
    voters = members(replica)
    responsive = 1 + sum(
        1
        for identity, progress in replica.progress.items()
        if identity in voters
        and now_ms - progress.last_contact_ms < 1.5 * replica.settings.election_ms
    )
    if (
        responsive < majority(replica)
        and now_ms - replica.leader_since_ms > 1.5 * replica.settings.election_ms
    ):
        return step_down(replica, replica.term, now_ms) + [
            LogLine("majority-silent", {"term": replica.term}),
            DumpLog("majority-silent"),
        ]
    if _disk_stalled(replica, now_ms):
        return [LogLine("disk-stalled", {"term": replica.term}), DumpLog("disk-stalled")] + (
            transfer_leadership(replica, now_ms)
        )
    effects = []
    for peer in replica.progress.values():
        if now_ms - peer.sent_ms >= replica.settings.heartbeat_ms:
            effects += log_replication.replicate_to(replica, peer, now_ms)
    return effects


def transfer_leadership(replica, now_ms, successor=None):
    """Ask a voter to take over, by default the most caught-up one, and step down."""
    if replica.role != "leader":
        return []
    voters = [peer for identity, peer in replica.progress.items() if identity in members(replica)]
    effects = []
    if voters:
        most_caught_up = max(voters, key=lambda peer: (peer.match, peer.last_contact_ms))
        target = replica.progress.get(successor, most_caught_up)
        effects.append(Send(target.address, TransferLeadership(replica.term)))
    effects += step_down(replica, replica.term, now_ms)
    replica.election_due_ms = now_ms + 3 * replica.settings.election_ms
    return effects


def _request_votes(replica, term, by_transfer):
    request = VoteRequest(
        replica.group,
        term,
        replica.identity,
        last_index(replica),
        last_term(replica),
        replica.pre_vote,
        by_transfer,
    )
    return [
        Send(m.address, request)
        for i, m in sorted(members(replica).items())
        if i != replica.identity
    ]


def _count_votes(replica, now_ms, by_transfer):
    if len(replica.votes & set(members(replica))) < majority(replica):
        return []
    if replica.pre_vote:
        replica.pre_vote, replica.votes = False, {replica.identity}
        replica.term, replica.voted_for, replica.verified = replica.term + 1, replica.identity, 0
        replica.leader = replica.leader_address = ""
        return (
            [save_persistent_state(replica)]
            + _request_votes(replica, replica.term, by_transfer)
            + _count_votes(replica, now_ms, by_transfer)
        )
    return _become_leader(replica, now_ms)


def _become_leader(replica, now_ms):
    replica.role, replica.leader, replica.leader_address = (
        "leader",
        replica.identity,
        replica.address,
    )
    replica.leader_since_ms, replica.round, replica.round_sent_ms = now_ms, 0, {}
    replica.progress = {
        i: PeerProgress(
            m.address,
            m.name,
            last_index(replica) + 1,
            last_contact_ms=_initial_contact_ms(replica, now_ms, i),
        )
        for i, m in members(replica).items()
        if i != replica.identity
    }
    replica.departures = {}
    sections = [state_machine.term_section(replica.term)]
    if not replica.state.members and not replica.member_entries:
        sections.append(state_machine.members_section(members(replica)))
    replica.term_index = last_index(replica) + 1
    return [
        LogLine("leads", {"term": replica.term, "index": last_index(replica)})
    ] + log_replication.propose(replica, now_ms, to_bytes(Batch(tuple(sections))))


def _initial_contact_ms(replica, now_ms, identity):
    """Return the time that a new leader takes as its last contact with a member.

    It knows only how long the old leader has been silent; for all others it takes `now_ms`."""
    if identity != replica.last_leader:
        return now_ms
    return max(
        replica.last_contact_ms,
        now_ms - _MAX_SILENT_ELECTIONS * replica.settings.election_ms,
    )


def on_vote_request(replica, now_ms, sender, request):
    """Reply to a vote request, by the candidate's group, term and log.

    Membership isn't checked here, since this depot's log may lack the entry that added it.  The
    candidate counts only the votes of members that it knows.  While its leader is live, a depot
    refuses its vote, unless the leader named the candidate as its successor."""
    if not replica.group or request.group != replica.group:
        return []
    if not request.named and has_live_leader(replica, now_ms):
        return [Send(sender, VoteReply(replica.term, replica.identity, False, request.pre_vote))]
    effects = []
    if not request.pre_vote and request.term > replica.term:
        effects += step_down(replica, request.term, now_ms)
    up_to_date = (request.last_term, request.last_index) >= (
        last_term(replica),
        last_index(replica),
    )
    if request.pre_vote:
        granted = request.term > replica.term and up_to_date and replica.role != "leader"
        term = request.term if granted else replica.term
        return effects + [Send(sender, VoteReply(term, replica.identity, granted, True))]
    granted = (
        request.term == replica.term
        and up_to_date
        and replica.voted_for in ("", request.identity)
        and replica.role != "leader"
    )
    if granted and not replica.voted_for:
        replica.voted_for = request.identity
        effects.append(save_persistent_state(replica))
        reset_election_timer(replica, now_ms)
    return effects + [Send(sender, VoteReply(replica.term, replica.identity, granted, False))]


def on_vote_reply(replica, now_ms, reply):
    """Count a granted vote or pre-vote; step down if the voter is in a newer term."""
    if not reply.granted:
        return step_down(replica, reply.term, now_ms) if reply.term > replica.term else []
    expected_term = replica.term + 1 if replica.pre_vote else replica.term
    if (
        replica.role != "candidate"
        or reply.pre_vote != replica.pre_vote
        or reply.term != expected_term
    ):
        return []
    replica.votes.add(reply.identity)
    return _count_votes(replica, now_ms, False)


def on_transfer_leadership(replica, now_ms, message):
    """Request votes at once, since the leader named this depot as its successor.

    The pre-vote is skipped: it is treated as won with the votes of all members."""
    if (
        message.term != replica.term
        or replica.role == "leader"
        or replica.identity not in members(replica)
    ):
        return []
    reset_election_timer(replica, now_ms)
    replica.role, replica.pre_vote, replica.votes = "candidate", True, set(members(replica))
    return _count_votes(replica, now_ms, True)
