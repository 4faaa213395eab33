"""Who leads the depots: trials, canvasses, ballots, stepping down.

A depot first asks whether it would win (a trial, which moves no term), so a
depot that was cut off disturbs nobody when it comes back; whoever refuses a trial
tells its own term, so that a fresher log behind in terms can catch up.  A vote is saved
before it is told.  The leader leaves when a majority has not answered its
rounds, or when its own disk stalls, and names whom it wants to follow it.
"""

from waybill.codec import to_bytes
from waybill.effects import Dump, Note, Send
from waybill.messages import Ballot, Batch, Canvass, TakeOver

from logbook import book as books
from logbook import copying
from logbook.group import Other, last_index, last_term, leader_live, majority, members, save_promise

__all__ = [
    "tick",
    "on_canvass",
    "on_ballot",
    "on_take_over",
    "hand_over",
    "step_back",
    "restart_clock",
]


def restart_clock(g, nowMs):
    g.electAtMs = nowMs + g.times.electMs * (1 + g.random.random())


def step_back(g, term, nowMs):
    """Become a follower; a newer term is saved before anything else is told."""
    effects = []
    if g.role == "leader":
        effects.append(Note("left-lead", {"term": g.term}))
    g.role, g.trial = "follower", False
    g.ballots = set()
    if term > g.term:
        g.term, g.votedFor = term, ""
        g.leader = g.leaderAddress = ""
        g.verified = 0
        effects.append(save_promise(g))
    restart_clock(g, nowMs)
    return effects


def tick(g, nowMs):
    if not g.group or g.identity not in members(g):
        return []
    if g.role == "leader":
        return _lead_tick(g, nowMs)
    if nowMs < g.electAtMs or _stalled(g, nowMs):
        return []
    restart_clock(g, nowMs)
    g.role, g.trial, g.ballots = "candidate", True, {g.identity}
    g.leader = g.leaderAddress = ""
    return _canvass(g, g.term + 1, False) + _count(g, nowMs, False)


def _stalled(g, nowMs):
    """Whether a write of ours has been out for longer than an election."""
    return bool(g.writes) and nowMs - g.writes[0][3] > g.times.electMs


def _lead_tick(g, nowMs):
    voters = members(g)
    heard = 1 + sum(
        1 for i, o in g.others.items() if i in voters and nowMs - o.heardMs < 1.5 * g.times.electMs
    )
    if heard < majority(g) and nowMs - g.ledFromMs > 1.5 * g.times.electMs:
        return step_back(g, g.term, nowMs) + [
            Note("majority-silent", {"term": g.term}),
            Dump("majority-silent"),
        ]
    if _stalled(g, nowMs):
        return [Note("disk-stalled", {"term": g.term}), Dump("disk-stalled")] + hand_over(g, nowMs)
    effects = []
    for other in g.others.values():
        if nowMs - other.sentMs >= g.times.heartbeatMs:
            effects += copying.send_to(g, other, nowMs)
    return effects


def hand_over(g, nowMs):
    """Ask the most caught-up other voter to take over, and step back."""
    if g.role != "leader":
        return []
    voters = [o for i, o in g.others.items() if i in members(g)]
    effects = []
    if voters:
        best = max(voters, key=lambda o: (o.match, o.heardMs))
        effects.append(Send(best.address, TakeOver(g.term)))
    effects += step_back(g, g.term, nowMs)
    g.electAtMs = nowMs + 3 * g.times.electMs
    return effects


def _canvass(g, term, named):
    ask = Canvass(g.group, term, g.identity, last_index(g), last_term(g), g.trial, named)
    return [Send(m.address, ask) for i, m in sorted(members(g).items()) if i != g.identity]


def _count(g, nowMs, named):
    if len(g.ballots & set(members(g))) < majority(g):
        return []
    if g.trial:
        g.trial, g.ballots = False, {g.identity}
        g.term, g.votedFor, g.verified = g.term + 1, g.identity, 0
        g.leader = g.leaderAddress = ""
        return [save_promise(g)] + _canvass(g, g.term, named) + _count(g, nowMs, named)
    return _lead(g, nowMs)


def _lead(g, nowMs):
    g.role, g.leader, g.leaderAddress = "leader", g.identity, g.address
    g.ledFromMs, g.round, g.roundSentMs = nowMs, 0, {}
    g.others = {
        i: Other(m.address, m.name, last_index(g) + 1, heardMs=nowMs)
        for i, m in members(g).items()
        if i != g.identity
    }
    first = [books.term_section(g.term)]
    if not g.book.members and not g.memberEntries:
        first.append(books.members_section(members(g)))
    g.termIndex = last_index(g) + 1
    return [Note("leads", {"term": g.term, "index": last_index(g)})] + copying.propose(
        g, nowMs, to_bytes(Batch(tuple(first)))
    )


def on_canvass(g, nowMs, sender, ask):
    if not g.group or ask.group != g.group or g.identity not in members(g):
        return []
    if not ask.named and leader_live(g, nowMs):
        return [Send(sender, Ballot(g.term, g.identity, False, ask.trial))]
    effects = []
    if not ask.trial and ask.term > g.term:
        effects += step_back(g, ask.term, nowMs)
    fresh = (ask.lastTerm, ask.lastIndex) >= (last_term(g), last_index(g))
    if ask.trial:
        granted = ask.term > g.term and fresh and g.role != "leader"
        term = ask.term if granted else g.term
        return effects + [Send(sender, Ballot(term, g.identity, granted, True))]
    granted = (
        ask.term == g.term and fresh and g.votedFor in ("", ask.identity) and g.role != "leader"
    )
    if granted and not g.votedFor:
        g.votedFor = ask.identity
        effects.append(save_promise(g))
        restart_clock(g, nowMs)
    return effects + [Send(sender, Ballot(g.term, g.identity, granted, False))]


def on_ballot(g, nowMs, ballot):
    if not ballot.granted:
        return step_back(g, ballot.term, nowMs) if ballot.term > g.term else []
    wanted = g.term + 1 if g.trial else g.term
    if g.role != "candidate" or ballot.trial != g.trial or ballot.term != wanted:
        return []
    g.ballots.add(ballot.identity)
    return _count(g, nowMs, False)


def on_take_over(g, nowMs, message):
    """We were named: canvass at once, skipping the trial."""
    if message.term != g.term or g.role == "leader" or g.identity not in members(g):
        return []
    restart_clock(g, nowMs)
    g.role, g.trial, g.ballots = "candidate", True, set(members(g))
    return _count(g, nowMs, True)
