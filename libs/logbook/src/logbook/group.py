"""The replication group's state, and the small questions asked of it.

The log's entries are the batches of the shared log.  Terms are numbered;
every promise is saved before it is told.  `election`, `copying` and `desk`
work on this state; they return effects and never touch a clock or a socket.
"""

import random
import struct
from dataclasses import dataclass, field

from waybill.codec import from_bytes, to_bytes
from waybill.effects import Save
from waybill.messages import Batch, GroupCard, Member

from logbook import book as books

__all__ = [
    "Group",
    "Times",
    "Other",
    "Promise",
    "term_at",
    "last_index",
    "last_term",
    "members",
    "majority",
    "entry_at",
    "save_promise",
    "group_card",
    "learn_members",
    "open_group",
    "leader_live",
    "view_file",
    "read_view_file",
]


@dataclass(frozen=True)
class Times:
    """All in ms, ratios of the bounds in config (see pulleyhitch.config)."""

    electMs: float
    heartbeatMs: float
    pingMs: float
    revokeMs: float
    pageBytes: int = 1 << 20
    keepBytes: int = 4 << 20
    inlineMs: float = 0.2
    inFlight: int = 2
    groupWait: bool = True
    depots: int = 3
    placers: str = "counter"
    founds: bool = True


@dataclass(frozen=True)
class Promise:
    """What must outlive the process: saved, synced, before it is told."""

    group: str
    term: int
    votedFor: str
    founders: tuple[Member, ...]


@dataclass
class Other:
    """What a leader knows of another depot."""

    address: str
    name: str
    next: int = 1
    match: int = 0
    round: int = 0
    heardMs: float = 0.0
    sentMs: float = -1e9
    learner: bool = False


@dataclass
class Group:
    name: str
    identity: str
    address: str
    times: Times
    random: random.Random
    group: str = ""
    term: int = 0
    votedFor: str = ""
    founders: tuple = ()
    role: str = "follower"
    leader: str = ""
    leaderAddress: str = ""
    heardMs: float = 0.0
    electAtMs: float = 0.0
    trial: bool = False
    ballots: set = field(default_factory=set)
    log: list = field(default_factory=list)
    baseIndex: int = 0
    baseTerm: int = 0
    viewIndex: int = 0
    viewBytes: int = 0
    synced: int = 0
    verified: int = 0
    commit: int = 0
    writes: list = field(default_factory=list)
    book: books.Book = field(default_factory=books.Book)
    memberEntries: list = field(default_factory=list)
    others: dict = field(default_factory=dict)
    round: int = 0
    roundSentMs: dict = field(default_factory=dict)
    ledFromMs: float = 0.0
    termIndex: int = 0
    successor: str = ""


def last_index(g):
    return g.baseIndex + len(g.log)


def entry_at(g, index):
    return g.log[index - g.baseIndex - 1]


def term_at(g, index):
    if index == g.baseIndex:
        return g.baseTerm
    if not g.baseIndex < index <= last_index(g):
        return -1
    return entry_at(g, index).term


def last_term(g):
    return g.log[-1].term if g.log else g.baseTerm


def members(g):
    """The newest membership in the log, committed or not."""
    if g.memberEntries:
        return g.memberEntries[-1][1]
    return g.book.members or {m.identity: m for m in g.founders}


def majority(g):
    return len(members(g)) // 2 + 1


def learn_members(g, entry):
    """Note a membership record in an entry just added to the log."""
    if b'"identity"' not in entry.body:
        return
    for section in from_bytes(Batch, entry.body).sections:
        if section.kind == books.MEMBERS:
            probe = books.Book()
            books.apply(probe, section, entry.index)
            g.memberEntries.append((entry.index, probe.members))


def save_promise(g):
    return Save("promise", to_bytes(Promise(g.group, g.term, g.votedFor, g.founders)))


def leader_live(g, nowMs):
    return g.leader and nowMs - g.heardMs < g.times.electMs


def group_card(g):
    stamp = g.memberEntries[-1][0] if g.memberEntries else g.book.membersStamp
    leader = g.address if g.role == "leader" else g.leaderAddress
    return GroupCard(
        g.group, g.term, stamp, leader, tuple(m for _, m in sorted(members(g).items()))
    )


def view_file(g):
    return struct.pack(">QQ", g.commit, term_at(g, g.commit)) + books.view(g.book)


def read_view_file(body):
    index, term = struct.unpack(">QQ", body[:16])
    return index, term, body[16:]


def open_group(g, files, entries):
    """Bring a group up from what its folder held."""
    if files.get("promise"):
        kept = from_bytes(Promise, files["promise"])
        g.group, g.term, g.votedFor = kept.group, kept.term, kept.votedFor
        g.founders = kept.founders
    if files.get("view"):
        g.baseIndex, g.baseTerm, body = read_view_file(files["view"])
        g.book = books.open_view(body)
        g.commit = g.viewIndex = g.baseIndex
    for entry in entries:
        g.log.append(entry)
        learn_members(g, entry)
    g.synced = last_index(g)
