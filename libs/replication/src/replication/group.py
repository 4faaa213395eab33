"""The replication group's state, and the small questions asked of it.

The log's entries are the batches of the shared log.  Terms are numbered;
every promise is saved before it is told.  `election`, `log_replication` and `batch_writer`
work on this state; they return effects and never touch a clock or a socket.
"""

import random
import struct
from dataclasses import dataclass, field

from transport.codec import from_bytes, to_bytes
from transport.effects import Save
from transport.messages import Batch, GroupInfo, Member

from replication import snapshot_transfer, state_machine
from replication.catch_up import CatchUp

__all__ = [
    "Replica",
    "Times",
    "PeerProgress",
    "Promise",
    "term_at",
    "last_index",
    "last_term",
    "members",
    "majority",
    "counted_voters",
    "entry_at",
    "save_promise",
    "group_card",
    "learn_members",
    "open_replica",
    "leader_live",
    "snapshot_file",
    "read_snapshot_file",
]


@dataclass(frozen=True)
class Times:
    """All in ms, ratios of the bounds in config (see pulleyhitch.config)."""

    elect_ms: float
    heartbeat_ms: float
    ping_ms: float
    revoke_ms: float
    page_bytes: int = 1 << 20
    keep_bytes: int = 4 << 20
    inline_ms: float = 0.2
    in_flight: int = 2
    group_wait: bool = True
    depots: int = 3
    placers: str = "counter"
    founds: bool = True
    leave_ms: float = 1000.0


@dataclass(frozen=True)
class Promise:
    """What must outlive the process: saved, synced, before it is told."""

    group: str
    term: int
    voted_for: str
    founders: tuple[Member, ...]


@dataclass
class PeerProgress:
    """What a leader knows of another depot.  `leaves_ms`: when it last asked to leave though
    it is no member."""

    address: str
    name: str
    next: int = 1
    match: int = 0
    round: int = 0
    heard_ms: float = 0.0
    sent_ms: float = -1e9
    learner: bool = False
    catch_up: CatchUp | None = None
    transfer: snapshot_transfer.Outgoing | None = None
    in_flight: list = field(default_factory=list)
    rewound_to: int = -1
    rewound_ms: float = -1e12
    leaves_ms: float = -1e12


@dataclass
class Replica:
    name: str
    identity: str
    address: str
    times: Times
    random: random.Random
    group: str = ""
    term: int = 0
    voted_for: str = ""
    founders: tuple = ()
    role: str = "follower"
    leader: str = ""
    leader_address: str = ""
    last_leader: str = ""
    heard_ms: float = 0.0
    elect_at_ms: float = 0.0
    pre_vote: bool = False
    votes: set = field(default_factory=set)
    log: list = field(default_factory=list)
    base_index: int = 0
    base_term: int = 0
    snapshot_index: int = 0
    bytes_since_snapshot: int = 0
    snapshot_bytes: int = 0
    synced: int = 0
    verified: int = 0
    commit: int = 0
    writes: list = field(default_factory=list)
    state: state_machine.StateMachine = field(default_factory=state_machine.StateMachine)
    member_entries: list = field(default_factory=list)
    progress: dict = field(default_factory=dict)
    round: int = 0
    round_sent_ms: dict = field(default_factory=dict)
    led_from_ms: float = 0.0
    term_index: int = 0
    departures: dict = field(default_factory=dict)
    successor: str = ""
    pinned_snapshot: snapshot_transfer.Snapshot | None = None
    feed_retains: int | None = None
    incoming: snapshot_transfer.Incoming = field(default_factory=snapshot_transfer.Incoming)


def last_index(replica):
    return replica.base_index + len(replica.log)


def entry_at(replica, index):
    return replica.log[index - replica.base_index - 1]


def term_at(replica, index):
    if index == replica.base_index:
        return replica.base_term
    if not replica.base_index < index <= last_index(replica):
        return -1
    return entry_at(replica, index).term


def last_term(replica):
    return replica.log[-1].term if replica.log else replica.base_term


def members(replica):
    """The newest membership in the log, committed or not."""
    if replica.member_entries:
        return replica.member_entries[-1][1]
    return replica.state.members or {m.identity: m for m in replica.founders}


def majority(replica):
    return len(members(replica)) // 2 + 1


def counted_voters(replica):
    """The voters whose acknowledgements move the commit: all but those that leave and
    were set aside (see `leaving`)."""
    aside = {i for i, d in replica.departures.items() if d.set_aside_at is not None}
    return members(replica).keys() - aside


def learn_members(replica, entry):
    """Note a membership record in an entry just added to the log."""
    if b'"identity"' not in entry.body:
        return
    for section in from_bytes(Batch, entry.body).sections:
        if section.kind == state_machine.MEMBERS:
            probe = state_machine.StateMachine()
            state_machine.apply(probe, section, entry.index)
            replica.member_entries.append((entry.index, probe.members))


def save_promise(replica):
    return Save(
        "promise",
        to_bytes(Promise(replica.group, replica.term, replica.voted_for, replica.founders)),
    )


def leader_live(replica, now_ms):
    return replica.leader and now_ms - replica.heard_ms < replica.times.elect_ms


def group_card(replica):
    stamp = replica.member_entries[-1][0] if replica.member_entries else replica.state.members_stamp
    leader = replica.address if replica.role == "leader" else replica.leader_address
    return GroupInfo(
        replica.group,
        replica.term,
        stamp,
        leader,
        tuple(m for _, m in sorted(members(replica).items())),
    )


def snapshot_file(replica):
    return struct.pack(
        ">QQ", replica.commit, term_at(replica, replica.commit)
    ) + state_machine.snapshot(replica.state)


def read_snapshot_file(body):
    index, term = struct.unpack(">QQ", body[:16])
    return index, term, body[16:]


def open_replica(replica, files, entries):
    """Bring a group up from what its folder held."""
    if files.get("promise"):
        kept = from_bytes(Promise, files["promise"])
        replica.group, replica.term, replica.voted_for = kept.group, kept.term, kept.voted_for
        replica.founders = kept.founders
    if files.get("view"):
        replica.snapshot_bytes = len(files["view"])
        replica.base_index, replica.base_term, body = read_snapshot_file(files["view"])
        replica.state = state_machine.restore(body)
        replica.commit = replica.snapshot_index = replica.base_index
    for entry in entries:
        if entry.term < last_term(replica):
            break  # Left over from a log that the snapshot replaced.
        replica.log.append(entry)
        learn_members(replica, entry)
    replica.synced = last_index(replica)
    replica.bytes_since_snapshot = sum(len(entry.body) for entry in entries)
