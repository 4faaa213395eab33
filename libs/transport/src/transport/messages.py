"""What our processes say to each other.

All are plain dataclasses; the number of a message on the wire is its place
in `_ALL`, so new messages are only ever added at the end.
"""

from dataclasses import dataclass

from transport.quota_messages import QuotaReply, QuotaRequest
from transport.replication_messages import (
    AppendEntries,
    AppendReply,
    BootstrapReply,
    BootstrapRequest,
    Entry,
    LeaveReply,
    LeaveRequest,
    Member,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from transport.transfer_messages import (
    FeedChunk,
    FeedChunkReply,
    ReplicaChunk,
    ReplicaChunkReply,
    ShardChunk,
    ShardChunkReply,
)

__all__ = ["KIND_OF", "TYPE_OF"]


@dataclass(frozen=True)
class NodeInfo:
    """Who a process is and where it is reached."""

    name: str
    role: str
    zone: str
    address: str
    http: str
    incarnation: str
    identity: str = ""
    empty: bool = False


@dataclass(frozen=True)
class GroupInfo:
    """The depots' membership as somebody knows it; the highest term wins."""

    group: str
    term: int
    stamp: int
    leader: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Gossip:
    """`digest` and `names` tell in short which cards, and which names, the sender
    knows, its own included.  `silent`: how long each node has not been heard of by
    anyone, a byte each: of all names in order to one who is known to know the same,
    of `cards` to another.  `ages`: how long ago each of `cards` was first met.  `group`: the
    depots' membership, empty to one who has told the same `group_digest`."""

    card: NodeInfo
    answer: bool
    cards: tuple[NodeInfo, ...]
    group: GroupInfo
    silent: bytes = b""
    digest: int = 0
    names: int = 0
    ages: tuple[int, ...] = ()
    group_digest: int = 0


@dataclass(frozen=True)
class FeedRequest:
    """A node's ping: who asks, from which place it follows, when it sent this, and
    when it sent the last one whose answer reached it."""

    name: str
    address: str
    incarnation: str
    role: str
    sent_ms: float
    place: int
    answered_ms: float = -1.0


@dataclass(frozen=True)
class FreshnessMark:
    """All up to `place` was current when the ask was sent; a majority said so."""

    sent_ms: float
    term: int
    place: int
    direct: bool


@dataclass(frozen=True)
class FeedEntries:
    term: int
    place: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class FeedSnapshot:
    term: int
    place: int
    snapshot_term: int
    body: bytes


@dataclass(frozen=True)
class BatchSection:
    """One shard's records inside a batch."""

    shard: int
    epoch: int
    kind: int
    first: int
    records: tuple[bytes, ...]


@dataclass(frozen=True)
class ShardAppend:
    name: str
    incarnation: str
    section: BatchSection


@dataclass(frozen=True)
class ShardPosition:
    shard: int
    epoch: int
    position: int


@dataclass(frozen=True)
class DurablePositions:
    term: int
    places: tuple[ShardPosition, ...]


@dataclass(frozen=True)
class AppendRefused:
    """A leader doesn't take a section; `term` is the leader's."""

    shard: int
    epoch: int
    cause: str
    expected: int
    term: int


@dataclass(frozen=True)
class RecoveryRequest:
    shard: int
    epoch: int
    address: str
    after: int


@dataclass(frozen=True)
class LeaseRelease:
    """An orderly holder gives its lease back and names who should follow."""

    name: str
    shard: int
    epoch: int
    successor: str


@dataclass(frozen=True)
class ShardCommand:
    """An operator's or a router's wish for the holder of a shard."""

    id: str
    shard: int
    address: str
    verb: str
    body: bytes


@dataclass(frozen=True)
class ShardCommandReply:
    id: str
    status: int
    body: bytes


@dataclass(frozen=True)
class Batch:
    """The body of a log entry: the sections that were written together."""

    sections: tuple[BatchSection, ...]


_ALL = (
    Gossip,
    BootstrapRequest,
    BootstrapReply,
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendReply,
    ReplicaChunk,
    TransferLeadership,
    FeedRequest,
    FreshnessMark,
    FeedEntries,
    FeedChunk,
    ShardAppend,
    DurablePositions,
    AppendRefused,
    RecoveryRequest,
    ShardChunk,
    LeaseRelease,
    ShardCommand,
    ShardCommandReply,
    LeaveRequest,
    LeaveReply,
    ReplicaChunkReply,
    FeedChunkReply,
    ShardChunkReply,
    QuotaRequest,
    QuotaReply,
)
KIND_OF = {kind: number for number, kind in enumerate(_ALL, 1)}
TYPE_OF = {number: kind for kind, number in KIND_OF.items()}
