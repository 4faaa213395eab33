"""Copying the log between depots: entries, acks, views, commits.

The leader sends what another depot lacks without waiting for earlier answers;
an ack names the last entry that is synced there and known to match, so it is
cumulative.  An entry of the leader's own term counts once a majority synced
it, and everything before it with it.
"""

from waybill.effects import Install, Note, Send, Write
from waybill.messages import Entries, EntriesAck, Entry, ViewPart

from logbook import book as books
from logbook.group import (
    Other,
    entry_at,
    last_index,
    learn_members,
    majority,
    members,
    read_view_file,
    save_promise,
    term_at,
    view_file,
)

__all__ = [
    "propose",
    "send_to",
    "new_round",
    "on_entries",
    "on_ack",
    "on_view",
    "on_written",
    "advance",
    "confirmed_round",
    "add_learner",
    "trim",
]

_PER_SEND = 64


def propose(g, nowMs, body, inline=False):
    """Add an entry of our own as leader: write it here, send it on."""
    entry = Entry(last_index(g) + 1, g.term, body)
    g.log.append(entry)
    g.viewBytes += len(body)
    learn_members(g, entry)
    _match_others(g, nowMs)
    effects = []
    for other in g.others.values():
        effects += send_to(g, other, nowMs)
    return effects + _write(g, nowMs, (entry,), inline)


def _write(g, nowMs, entries, inline=False):
    g.writes.append([entries[-1].index, entries[-1].term, False, nowMs])
    return [Write(entries, inline, g.synced)]


def _match_others(g, nowMs):
    """Keep one `Other` for each voter; learners stay until they are voters."""
    for identity, member in members(g).items():
        if identity != g.identity and identity not in g.others:
            g.others[identity] = Other(member.address, member.name, last_index(g), heardMs=nowMs)
    for identity in [i for i, o in g.others.items() if i not in members(g) and not o.learner]:
        del g.others[identity]


def add_learner(g, nowMs, identity, name, address):
    g.others[identity] = Other(address, name, last_index(g) + 1, heardMs=nowMs, learner=True)
    return send_to(g, g.others[identity], nowMs)


def new_round(g, nowMs):
    """Ask everyone at once for a word: what reads and pings are confirmed by."""
    g.round += 1
    g.roundSentMs[g.round] = nowMs
    for old in [r for r in g.roundSentMs if r < g.round - 200]:
        del g.roundSentMs[old]
    effects = []
    for other in g.others.values():
        effects += send_to(g, other, nowMs)
    return effects


def confirmed_round(g):
    """The newest round that a majority, ourselves included, has answered."""
    answered = sorted((o.round for i, o in g.others.items() if i in members(g)), reverse=True)
    need = majority(g) - 1
    return g.round if need == 0 else answered[need - 1] if len(answered) >= need else 0


def _identity_of(g, other):
    return next(i for i, o in g.others.items() if o is other)


def send_to(g, other, nowMs):
    other.sentMs = nowMs
    to = _identity_of(g, other)
    if other.next <= g.baseIndex:
        other.next = last_index(g) + 1
        body = view_file(g)
        return [
            Send(
                other.address,
                ViewPart(
                    g.group, g.term, g.identity, g.address, to, g.commit, term_at(g, g.commit), body
                ),
            )
        ]
    first = other.next
    batch = tuple(g.log[first - g.baseIndex - 1 : first - g.baseIndex - 1 + _PER_SEND])
    other.next = first + len(batch)
    return [
        Send(
            other.address,
            Entries(
                g.group,
                g.term,
                g.identity,
                g.address,
                to,
                first - 1,
                term_at(g, first - 1),
                g.commit,
                g.round,
                batch,
            ),
        )
    ]


def _follow(g, nowMs, message):
    """Accept the sender as leader of its term; saved before we answer."""
    effects = []
    if not g.group:
        g.group = message.group
        effects.append(Note("joins", {"group": g.group}))
    if message.term > g.term or len(effects):
        g.term = max(g.term, message.term)
        g.votedFor, g.verified = "", 0
        effects.append(save_promise(g))
    if g.role != "follower":
        g.role = "follower"
    g.leader, g.leaderAddress, g.heardMs = message.identity, message.address, nowMs
    g.electAtMs = nowMs + g.times.electMs * (1 + g.random.random())
    return effects


def _ack(g, agreed, index, round_):
    return EntriesAck(g.term, g.identity, g.name, g.address, agreed, index, round_)


def on_entries(g, nowMs, sender, message):
    if message.to != g.identity or (g.group and message.group != g.group):
        return []
    if message.term < g.term:
        return [Send(sender, _ack(g, False, 0, 0))]
    effects = _follow(g, nowMs, message)
    if message.prevIndex > last_index(g) or (
        message.prevIndex >= g.commit and term_at(g, message.prevIndex) != message.prevTerm
    ):
        hint = min(last_index(g), message.prevIndex - 1)
        return effects + [Send(sender, _ack(g, False, max(hint, g.commit), message.round))]
    fresh = []
    for entry in message.entries:
        if entry.index <= g.commit or term_at(g, entry.index) == entry.term:
            continue
        if entry.index <= last_index(g):
            _cut(g, entry.index)
        g.log.append(entry)
        g.viewBytes += len(entry.body)
        learn_members(g, entry)
        fresh.append(entry)
    if fresh:
        effects += _write(g, nowMs, tuple(fresh))
    top = message.prevIndex + len(message.entries)
    g.verified = max(g.verified, top)
    effects += advance(g, min(message.commit, g.verified))
    return effects + [Send(sender, _ack(g, True, min(g.synced, g.verified), message.round))]


def _cut(g, index):
    del g.log[index - g.baseIndex - 1 :]
    g.synced = min(g.synced, index - 1)
    while g.memberEntries and g.memberEntries[-1][0] >= index:
        g.memberEntries.pop()


def on_written(g, nowMs, index, term):
    """A write of ours is synced; count it once all before it are."""
    for write in g.writes:
        if write[0] == index and write[1] == term:
            write[2] = True
    while g.writes and g.writes[0][2]:
        done, doneTerm, _, _ = g.writes.pop(0)
        if term_at(g, done) == doneTerm:
            g.synced = max(g.synced, done)
    if g.role == "leader":
        return count(g)
    if g.leaderAddress:
        return [Send(g.leaderAddress, _ack(g, True, min(g.synced, g.verified), 0))]
    return []


def on_ack(g, nowMs, ack):
    if g.role != "leader" or ack.term > g.term:
        return []
    other = g.others.get(ack.identity)
    if other is None or ack.term < g.term:
        return []
    other.heardMs, other.address = nowMs, ack.address
    other.round = max(other.round, ack.round)
    if not ack.agreed:
        other.next = min(other.next, ack.index + 1)
        return send_to(g, other, nowMs)
    other.match = max(other.match, ack.index)
    other.next = max(other.next, other.match + 1)
    effects = count(g)
    if other.next <= last_index(g):
        effects += send_to(g, other, nowMs)
    return effects


def count(g):
    """Move the commit to what a majority has synced in our own term."""
    voters = members(g)
    places = sorted(
        [o.match for i, o in g.others.items() if i in voters]
        + ([g.synced] if g.identity in voters else []),
        reverse=True,
    )
    if len(places) < majority(g):
        return []
    place = places[majority(g) - 1]
    if place > g.commit and term_at(g, place) == g.term:
        return advance(g, place)
    return []


def advance(g, commit):
    """Apply entries up to `commit` to the book."""
    while g.commit < commit:
        entry = entry_at(g, g.commit + 1)
        books.apply_body(g.book, entry.body, entry.index)
        g.commit += 1
    while g.memberEntries and g.memberEntries[0][0] <= g.commit:
        g.memberEntries.pop(0)
    return []


def on_view(g, nowMs, sender, message):
    if message.to != g.identity or message.term < g.term or (g.group and message.group != g.group):
        return []
    effects = _follow(g, nowMs, message)
    if message.index <= g.commit:
        return effects + [Send(sender, _ack(g, True, g.commit, 0))]
    index, term, body = read_view_file(message.body)
    g.log, g.writes, g.memberEntries = [], [], []
    g.baseIndex, g.baseTerm, g.commit, g.synced = index, term, index, index
    g.viewIndex, g.viewBytes, g.verified = index, 0, index
    g.book = books.open_view(body)
    return effects + [
        Install(index, message.body, restart=True),
        Send(sender, _ack(g, True, index, 0)),
    ]


def trim(g):
    """Take a view once enough was logged since the last, and drop what it covers."""
    if g.viewBytes < g.times.keepBytes or g.commit <= g.viewIndex:
        return []
    body, g.viewIndex, g.viewBytes = view_file(g), g.commit, 0
    keep = max(g.baseIndex, g.commit - 256)
    term = term_at(g, keep)
    del g.log[: keep - g.baseIndex]
    g.baseIndex, g.baseTerm = keep, term
    return [Install(g.viewIndex, body)]
