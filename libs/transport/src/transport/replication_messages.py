"""Messages of the Raft group: the depots that replicate the log."""

from dataclasses import dataclass

__all__ = [
    "Member",
    "BootstrapRequest",
    "BootstrapReply",
    "VoteRequest",
    "VoteReply",
    "Entry",
    "AppendEntries",
    "AppendReply",
    "SnapshotPart",
    "TransferLeadership",
    "LeaveRequest",
    "LeaveReply",
]


@dataclass(frozen=True)
class Member:
    """A member of the Raft group.

    Its field names are written to the log, and its repr is part of a checksum in Gossip.
    """

    name: str
    identity: str
    address: str


@dataclass(frozen=True)
class BootstrapRequest:
    """Requests a depot's agreement to bootstrap a Raft group with these members."""

    group: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class BootstrapReply:
    """Whether the depot agrees to bootstrap this group."""

    group: str
    identity: str
    agreed: bool


@dataclass(frozen=True)
class VoteRequest:
    """Raft's RequestVote.

    `named`: the leader chose this candidate (TransferLeadership), so voters consider the request
    even while they know a live leader.
    """

    group: str
    term: int
    identity: str
    last_index: int
    last_term: int
    pre_vote: bool
    named: bool


@dataclass(frozen=True)
class VoteReply:
    """The reply to a VoteRequest with the same `pre_vote`."""

    term: int
    identity: str
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class Entry:
    """A log entry; `body` is an encoded `messages.Batch`."""

    index: int
    term: int
    body: bytes


@dataclass(frozen=True)
class AppendEntries:
    """Raft's AppendEntries; without entries, a heartbeat.

    `to` is the identity of the receiver.  `round` is the number of the leader's latest heartbeat
    round; the replies to a round confirm reads.
    """

    group: str
    term: int
    identity: str
    address: str
    to: str
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class AppendReply:
    """The reply to AppendEntries.

    If `agreed`, the follower's synced log matches the leader's up to `index`; if not, the
    leader sends again from the entry after `index`.
    """

    term: int
    identity: str
    name: str
    address: str
    agreed: bool
    index: int
    round: int


@dataclass(frozen=True)
class SnapshotPart:
    """A received snapshot, put together from its ReplicaChunks; never sent as a whole."""

    group: str
    term: int
    identity: str
    address: str
    to: str
    index: int
    snapshot_term: int
    body: bytes


@dataclass(frozen=True)
class TransferLeadership:
    """The leader tells the member that is to succeed it to start an election at once."""

    term: int


@dataclass(frozen=True)
class LeaveRequest:
    """A member asks the leader for permission to shut down, repeatedly until it gets a reply."""

    group: str
    identity: str


@dataclass(frozen=True)
class LeaveReply:
    """The member may shut down: it was `removed`, or the others keep a majority without it."""

    group: str
    identity: str
    removed: bool
