"""Who leads the depots: pre-votes, vote requests, votes, stepping down.

A depot first asks whether it would win (a pre-vote, which moves no term), so a
depot that was cut off disturbs nobody when it comes back; whoever refuses a pre-vote
tells its own term, so that a fresher log behind in terms can catch up.  A vote is saved
before it is told.  The leader leaves when a majority has not answered its
rounds, or when its own disk stalls, and names whom it wants to follow it.
"""

from transport.codec import to_bytes
from transport.effects import DumpLog, LogLine, Send
from transport.messages import Batch, TransferLeadership, VoteReply, VoteRequest

from replication import log_replication, state_machine
from replication.group import (
    PeerProgress,
    last_index,
    last_term,
    leader_live,
    majority,
    members,
    save_promise,
)

__all__ = [
    "tick",
    "on_vote_request",
    "on_vote_reply",
    "on_transfer_leadership",
    "hand_over",
    "step_back",
    "restart_clock",
]

# At most so many elections of the old leader's silence count when a new one begins, which
# leaves it one to speak up before its place is given away (see `reconfiguration`).
_SILENT_ELECTIONS = 3


def restart_clock(replica, now_ms):
    replica.elect_at_ms = now_ms + replica.times.elect_ms * (1 + replica.random.random())


def step_back(replica, term, now_ms):
    """Become a follower; a newer term is saved before anything else is told."""
    effects = []
    if replica.role == "leader":
        effects.append(LogLine("left-lead", {"term": replica.term}))
    replica.role, replica.pre_vote = "follower", False
    replica.votes = set()
    if term > replica.term:
        replica.term, replica.voted_for = term, ""
        replica.leader = replica.leader_address = ""
        replica.verified = 0
        effects.append(save_promise(replica))
    restart_clock(replica, now_ms)
    return effects


def tick(replica, now_ms):
    if not replica.group or replica.identity not in members(replica):
        return []
    if replica.role == "leader":
        return _lead_tick(replica, now_ms)
    if now_ms < replica.elect_at_ms or _stalled(replica, now_ms):
        return []
    restart_clock(replica, now_ms)
    replica.role, replica.pre_vote, replica.votes = "candidate", True, {replica.identity}
    replica.leader = replica.leader_address = ""
    return _request_votes(replica, replica.term + 1, False) + _count(replica, now_ms, False)


def _stalled(replica, now_ms):
    """Whether a write of ours has been out for longer than an election."""
    return bool(replica.writes) and now_ms - replica.writes[0][3] > replica.times.elect_ms


def _lead_tick(replica, now_ms):
    voters = members(replica)
    heard = 1 + sum(
        1
        for i, o in replica.progress.items()
        if i in voters and now_ms - o.heard_ms < 1.5 * replica.times.elect_ms
    )
    if heard < majority(replica) and now_ms - replica.led_from_ms > 1.5 * replica.times.elect_ms:
        return step_back(replica, replica.term, now_ms) + [
            LogLine("majority-silent", {"term": replica.term}),
            DumpLog("majority-silent"),
        ]
    if _stalled(replica, now_ms):
        return [
            LogLine("disk-stalled", {"term": replica.term}),
            DumpLog("disk-stalled"),
        ] + hand_over(replica, now_ms)
    effects = []
    for peer in replica.progress.values():
        if now_ms - peer.sent_ms >= replica.times.heartbeat_ms:
            effects += log_replication.send_to(replica, peer, now_ms)
    return effects


def hand_over(replica, now_ms, heir=None):
    """Ask a voter to take over, the most caught-up one if none is named; step back."""
    if replica.role != "leader":
        return []
    voters = [o for i, o in replica.progress.items() if i in members(replica)]
    effects = []
    if voters:
        most = max(voters, key=lambda o: (o.match, o.heard_ms))
        best = replica.progress.get(heir, most)
        effects.append(Send(best.address, TransferLeadership(replica.term)))
    effects += step_back(replica, replica.term, now_ms)
    replica.elect_at_ms = now_ms + 3 * replica.times.elect_ms
    return effects


def _request_votes(replica, term, named):
    ask = VoteRequest(
        replica.group,
        term,
        replica.identity,
        last_index(replica),
        last_term(replica),
        replica.pre_vote,
        named,
    )
    return [
        Send(m.address, ask) for i, m in sorted(members(replica).items()) if i != replica.identity
    ]


def _count(replica, now_ms, named):
    if len(replica.votes & set(members(replica))) < majority(replica):
        return []
    if replica.pre_vote:
        replica.pre_vote, replica.votes = False, {replica.identity}
        replica.term, replica.voted_for, replica.verified = replica.term + 1, replica.identity, 0
        replica.leader = replica.leader_address = ""
        return (
            [save_promise(replica)]
            + _request_votes(replica, replica.term, named)
            + _count(replica, now_ms, named)
        )
    return _lead(replica, now_ms)


def _lead(replica, now_ms):
    replica.role, replica.leader, replica.leader_address = (
        "leader",
        replica.identity,
        replica.address,
    )
    replica.led_from_ms, replica.round, replica.round_sent_ms = now_ms, 0, {}
    replica.progress = {
        i: PeerProgress(
            m.address, m.name, last_index(replica) + 1, heard_ms=_last_heard(replica, now_ms, i)
        )
        for i, m in members(replica).items()
        if i != replica.identity
    }
    replica.departures = {}
    first = [state_machine.term_section(replica.term)]
    if not replica.state.members and not replica.member_entries:
        first.append(state_machine.members_section(members(replica)))
    replica.term_index = last_index(replica) + 1
    return [
        LogLine("leads", {"term": replica.term, "index": last_index(replica)})
    ] + log_replication.propose(replica, now_ms, to_bytes(Batch(tuple(first))))


def _last_heard(replica, now_ms, identity):
    """A new leader knows how long the old one has been silent, and of no other member."""
    if identity != replica.last_leader:
        return now_ms
    return max(replica.heard_ms, now_ms - _SILENT_ELECTIONS * replica.times.elect_ms)


def on_vote_request(replica, now_ms, sender, ask):
    """Vote by the asker's term, log and group alone.

    Whether we are a member is for the candidate to know, which counts the votes of its
    own membership only: ours may be older than the entry that added us.
    """
    if not replica.group or ask.group != replica.group:
        return []
    if not ask.named and leader_live(replica, now_ms):
        return [Send(sender, VoteReply(replica.term, replica.identity, False, ask.pre_vote))]
    effects = []
    if not ask.pre_vote and ask.term > replica.term:
        effects += step_back(replica, ask.term, now_ms)
    fresh = (ask.last_term, ask.last_index) >= (last_term(replica), last_index(replica))
    if ask.pre_vote:
        granted = ask.term > replica.term and fresh and replica.role != "leader"
        term = ask.term if granted else replica.term
        return effects + [Send(sender, VoteReply(term, replica.identity, granted, True))]
    granted = (
        ask.term == replica.term
        and fresh
        and replica.voted_for in ("", ask.identity)
        and replica.role != "leader"
    )
    if granted and not replica.voted_for:
        replica.voted_for = ask.identity
        effects.append(save_promise(replica))
        restart_clock(replica, now_ms)
    return effects + [Send(sender, VoteReply(replica.term, replica.identity, granted, False))]


def on_vote_reply(replica, now_ms, reply):
    if not reply.granted:
        return step_back(replica, reply.term, now_ms) if reply.term > replica.term else []
    wanted = replica.term + 1 if replica.pre_vote else replica.term
    if replica.role != "candidate" or reply.pre_vote != replica.pre_vote or reply.term != wanted:
        return []
    replica.votes.add(reply.identity)
    return _count(replica, now_ms, False)


def on_transfer_leadership(replica, now_ms, message):
    """We were named: ask for votes at once, skipping the pre-vote."""
    if (
        message.term != replica.term
        or replica.role == "leader"
        or replica.identity not in members(replica)
    ):
        return []
    restart_clock(replica, now_ms)
    replica.role, replica.pre_vote, replica.votes = "candidate", True, set(members(replica))
    return _count(replica, now_ms, True)
