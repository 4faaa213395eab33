"""Messages between processes.

Depots replicate the log in one Raft group; counters route requests.  All nodes follow the
committed log (the feed).  Nodes of one role, which the settings choose, hold leases of shards
and append the shards' records to the log.

`codec` writes the fields of a message in their order.  A message's number on the wire is its
position in `_ALL`, from 1, so new messages are added only at the end of `_ALL`.
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
    """A node, as it describes itself to the others.

    `address` is for connections between processes, `http` for HTTP requests; `incarnation` is
    new at each start; `identity` is that of a depot's data folder; `empty`: a depot without a
    log.
    """

    name: str
    role: str
    zone: str
    address: str
    http: str
    incarnation: str
    identity: str = ""
    empty: bool = False


@dataclass(frozen=True)
class GroupCard:
    """The Raft group as the sender knows it; `stamp` is the log index of the newest membership
    entry.  The highest (term, stamp) wins.  `Gossip.group_digest` is a checksum of the repr, so
    the names of this class, of Member and of their fields are part of the protocol."""

    group: str
    term: int
    stamp: int
    leader: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Gossip:
    """What the sender knows of all nodes; also the first message on every connection.

    `nodes`: those that the receiver may not know.  `digest`, `names_digest`: checksums of all
    known NodeInfos and names, the sender's own included.  `silence`: one byte for each node, the
    time since any node last had contact with it; in the order of all sorted names if the
    receiver is known to have the same `names_digest`, otherwise in the order of `nodes`.
    `ages`: milliseconds since each of `nodes` was first seen.  `group`: empty if the receiver
    is known to have the same `group_digest`.
    """

    sender: NodeInfo
    wants_reply: bool
    nodes: tuple[NodeInfo, ...]
    group: GroupCard
    silence: bytes = b""
    digest: int = 0
    names_digest: int = 0
    ages: tuple[int, ...] = ()
    group_digest: int = 0


@dataclass(frozen=True)
class FeedRequest:
    """A follower's periodic ping and request for the log entries after `index`;
    `answered_sent_ms` is the `sent_ms` of its latest request that the leader answered."""

    name: str
    address: str
    incarnation: str
    role: str
    sent_ms: float
    index: int
    answered_sent_ms: float = -1.0


@dataclass(frozen=True)
class FreshnessMark:
    """`index` was the commit index at some time after `sent_ms`; `direct`: sent by the leader."""

    sent_ms: float
    term: int
    index: int
    direct: bool


@dataclass(frozen=True)
class FeedEntries:
    """Committed log entries up to `index`, for a follower."""

    term: int
    index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class FeedSnapshot:
    """A received snapshot, put together from its FeedChunks; never sent as a whole."""

    term: int
    index: int
    snapshot_term: int
    body: bytes


@dataclass(frozen=True)
class BatchSection:
    """A shard's records in a batch, from position `first` on.

    `kind` is one of the constants of `replication.state_machine`.
    """

    shard: int
    epoch: int
    kind: int
    first: int
    records: tuple[bytes, ...]


@dataclass(frozen=True)
class ShardAppend:
    """A lease holder asks the leader to append records of its shard to the log."""

    name: str
    incarnation: str
    section: BatchSection


@dataclass(frozen=True)
class ShardPosition:
    """The position of a record of a shard, under the lease of this epoch."""

    shard: int
    epoch: int
    position: int


@dataclass(frozen=True)
class DurablePositions:
    """The leader tells a lease holder the last committed position of each of its shards."""

    term: int
    positions: tuple[ShardPosition, ...]


@dataclass(frozen=True)
class AppendRefused:
    """The leader rejects a BatchSection; `cause` is "epoch" or "place" (a gap before `first`),
    `expected` the epoch or position that it would accept, `term` the leader's."""

    shard: int
    epoch: int
    cause: str
    expected: int
    term: int


@dataclass(frozen=True)
class RecoveryRequest:
    """The holder of a new lease asks the leader for its shard's checkpoint and records."""

    shard: int
    epoch: int
    address: str
    after: int


@dataclass(frozen=True)
class LeaseRelease:
    """A lease holder that shuts down releases its lease and proposes the next holder."""

    name: str
    shard: int
    epoch: int
    successor: str


@dataclass(frozen=True)
class ShardCommand:
    """A request of an operator or router, forwarded to a shard's lease holder.

    The ShardCommandReply is sent to `address`; `body` is JSON.
    """

    id: str
    shard: int
    address: str
    verb: str
    body: bytes


@dataclass(frozen=True)
class ShardCommandReply:
    """The reply to the ShardCommand with this `id`: an HTTP status and a JSON body."""

    id: str
    status: int
    body: bytes


@dataclass(frozen=True)
class Batch:
    """The body of a log entry: sections of several shards, written together."""

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
