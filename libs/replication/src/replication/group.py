"""State of a depot's replica of the group's log, and simple queries on it.

The other modules of the Raft group (`election`, `log_replication` and so on) work on this state
and return effects; they use neither a clock nor a socket.  Term and vote are saved before any
message that depends on them is sent.
"""

import random
import struct
from dataclasses import dataclass, field

from transport.codec import from_bytes, to_bytes
from transport.effects import Save
from transport.messages import Batch, GroupCard, Member

from replication import snapshot_transfer, state_machine
from replication.catch_up import CatchUp

__all__ = [
    "Replica",
    "GroupSettings",
    "PeerProgress",
    "PersistentState",
    "term_at",
    "last_index",
    "last_term",
    "members",
    "majority",
    "counted_voters",
    "entry_at",
    "save_persistent_state",
    "group_card",
    "learn_members",
    "open_replica",
    "has_live_leader",
    "snapshot_file",
    "read_snapshot_file",
]


@dataclass(frozen=True)
class GroupSettings:
    """Settings of a group; `pulleyhitch.config` derives them from the configured bounds.

    `revoke_ms` is the silence of a holder after which its lease is revoked, and `keep_bytes`
    limits the recent entries kept before a snapshot.  If the last write took at most `inline_ms`,
    the next batch is written at once; otherwise, with `group_wait`, it waits briefly for more
    records.  `in_flight` limits the batches in flight, `depots` is the number of voters, and
    `placers` the role of nodes that may hold leases.  `founds`: an empty depot may take part in
    founding a group.  `leave_ms` is the time that a depot has for a planned stop."""

    election_ms: float
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
class PersistentState:
    """Raft's persistent state other than the log, in the file "promise"."""

    group: str
    term: int
    voted_for: str
    founders: tuple[Member, ...]


@dataclass
class PeerProgress:
    """What a leader knows of another depot.

    `next` and `match` are Raft's nextIndex and matchIndex, `round` is the last heartbeat round
    that the depot answered, and `in_flight` has (last index, bytes) of each unacknowledged
    message.  `rewound_ms` is when `next` was last moved back, to the entry after `rewound_to`;
    `leave_requested_ms` is when the depot last asked to leave while it wasn't a member."""

    address: str
    name: str
    next: int = 1
    match: int = 0
    round: int = 0
    last_contact_ms: float = 0.0
    sent_ms: float = -1e9
    learner: bool = False
    catch_up: CatchUp | None = None
    transfer: snapshot_transfer.Outgoing | None = None
    in_flight: list = field(default_factory=list)
    rewound_to: int = -1
    rewound_ms: float = -1e12
    leave_requested_ms: float = -1e12


@dataclass
class Replica:
    """A depot's copy of the log and its part in the group.

    `log` has the entries after `base_index`.  They are synced to this disk up to `synced`, known
    to match the leader's log up to `verified`, and applied to `state` up to `commit`.  `writes`
    has the unfinished writes as [last index, term, synced, start time], and `member_entries` the
    uncommitted memberships as (index, members).  `progress` and `departures`, which only a
    leader uses, are keyed by identity."""

    name: str
    identity: str
    address: str
    settings: GroupSettings
    random: random.Random
    group: str = ""
    term: int = 0
    voted_for: str = ""
    founders: tuple = ()
    role: str = "follower"
    leader: str = ""
    leader_address: str = ""
    last_leader: str = ""
    last_contact_ms: float = 0.0
    election_due_ms: float = 0.0
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
    leader_since_ms: float = 0.0
    term_index: int = 0
    departures: dict = field(default_factory=dict)
    successor: str = ""
    pinned_snapshot: snapshot_transfer.Snapshot | None = None
    feed_retained_index: int | None = None
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
    """Return the newest membership in the log, committed or not."""
    if replica.member_entries:
        return replica.member_entries[-1][1]
    return replica.state.members or {m.identity: m for m in replica.founders}


def majority(replica):
    return len(members(replica)) // 2 + 1


def counted_voters(replica):
    """Return the voters that count for commits: not those about to leave (see `leaving`)."""
    uncounted = {i for i, d in replica.departures.items() if d.uncounted_from is not None}
    return members(replica).keys() - uncounted


def learn_members(replica, entry):
    """Adopt the membership in an entry just added to the log, if the entry has one."""
    if b'"identity"' not in entry.body:
        return
    for section in from_bytes(Batch, entry.body).sections:
        if section.kind == state_machine.MEMBERS:
            parsed = state_machine.StateMachine()
            state_machine.apply(parsed, section, entry.index)
            replica.member_entries.append((entry.index, parsed.members))


def save_persistent_state(replica):
    """Return the effect that saves the term, the vote and the founders."""
    return Save(
        "promise",
        to_bytes(PersistentState(replica.group, replica.term, replica.voted_for, replica.founders)),
    )


def has_live_leader(replica, now_ms):
    """Return whether the leader was in contact within the last election timeout."""
    return replica.leader and now_ms - replica.last_contact_ms < replica.settings.election_ms


def group_card(replica):
    """Return the membership as it is sent to other nodes."""
    stamp = replica.member_entries[-1][0] if replica.member_entries else replica.state.members_stamp
    leader = replica.address if replica.role == "leader" else replica.leader_address
    return GroupCard(
        replica.group,
        replica.term,
        stamp,
        leader,
        tuple(m for _, m in sorted(members(replica).items())),
    )


def snapshot_file(replica):
    """Return a snapshot file: index and term of the last applied entry, then the state."""
    return struct.pack(
        ">QQ", replica.commit, term_at(replica, replica.commit)
    ) + state_machine.snapshot(replica.state)


def read_snapshot_file(body):
    """Split a snapshot file into (index, term, state)."""
    index, term = struct.unpack(">QQ", body[:16])
    return index, term, body[16:]


def open_replica(replica, files, entries):
    """Restore a replica from the files and log entries of its data folder."""
    if files.get("promise"):
        saved = from_bytes(PersistentState, files["promise"])
        replica.group, replica.term, replica.voted_for = saved.group, saved.term, saved.voted_for
        replica.founders = saved.founders
    if files.get("view"):
        replica.snapshot_bytes = len(files["view"])
        replica.base_index, replica.base_term, body = read_snapshot_file(files["view"])
        replica.state = state_machine.restore(body)
        replica.commit = replica.snapshot_index = replica.base_index
    for entry in entries:
        if entry.term < last_term(replica):
            break  # This entry belongs to a log that the snapshot replaced.
        replica.log.append(entry)
        learn_members(replica, entry)
    replica.synced = last_index(replica)
    replica.bytes_since_snapshot = sum(len(entry.body) for entry in entries)
