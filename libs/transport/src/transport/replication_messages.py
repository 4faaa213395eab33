"""What depots say to one another to keep one log between them."""

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
    name: str
    identity: str
    address: str


@dataclass(frozen=True)
class BootstrapRequest:
    group: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class BootstrapReply:
    group: str
    identity: str
    agreed: bool


@dataclass(frozen=True)
class VoteRequest:
    group: str
    term: int
    identity: str
    last_index: int
    last_term: int
    pre_vote: bool
    named: bool


@dataclass(frozen=True)
class VoteReply:
    term: int
    identity: str
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class Entry:
    index: int
    term: int
    body: bytes


@dataclass(frozen=True)
class AppendEntries:
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
    term: int
    identity: str
    name: str
    address: str
    agreed: bool
    index: int
    round: int


@dataclass(frozen=True)
class SnapshotPart:
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
    """The leader asks its named successor to ask for votes at once."""

    term: int


@dataclass(frozen=True)
class LeaveRequest:
    """A member that is to end asks the leader whether it may, until it is answered."""

    group: str
    identity: str


@dataclass(frozen=True)
class LeaveReply:
    """The member may end: it was `removed`, or the others do without it for a while."""

    group: str
    identity: str
    removed: bool
