"""Messages between the processes of a deployment.

A process has one of two roles: a depot keeps a replica of the log, a counter routes requests.
Depots form one Raft group.  All nodes follow the committed log (the feed); those of the role
that the settings choose hold the leases of shards and append the shards' records to the log.

Messages are plain dataclasses, encoded by `codec` in the order of their fields.  A message's
number on the wire is its position in `_ALL`, from 1, so new messages are added at its end only.
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
    """Name, role, zone and addresses of a process.

    `address` serves the connections between processes, `http` the HTTP requests.
    `incarnation` is new at each start; `identity` is that of a depot's data folder.  `empty`:
    a depot that has no log yet and may be a founding member.
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
    """The Raft group's members and leader as the sender knows them.

    `stamp` is the log index of the newest membership entry.  Receivers keep the information
    with the highest term and, within a term, the highest stamp.  `Gossip.group_digest` is a
    checksum of the repr, so the names of this class, of Member and of their fields are part of
    the protocol.
    """

    group: str
    term: int
    stamp: int
    leader: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Gossip:
    """What the sender knows of all nodes; also the first message on every connection.

    `nodes` holds the nodes that the receiver may not know.  `digest` and `names_digest` are
    hashes of the NodeInfos and of the names that the sender knows, its own included.
    `silence`: for each node, the time since any node last had contact with it, one byte each;
    in the order of all sorted names if the receiver is known to have the same `names_digest`,
    else in the order of `nodes`.  `ages`: milliseconds since the sender first learned of each
    of `nodes`.  `group` is empty if the receiver's last `group_digest` was the same.
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
    """A follower's periodic ping and request for the log entries after `index`.

    `answered_sent_ms` is the `sent_ms` of the latest request of this node that the leader
    answered, by the node's own clock.
    """

    name: str
    address: str
    incarnation: str
    role: str
    sent_ms: float
    index: int
    answered_sent_ms: float = -1.0


@dataclass(frozen=True)
class FreshnessMark:
    """Confirmation that `index` was the commit index at some time after `sent_ms`.

    `sent_ms` is copied from the FeedRequest.  `direct`: sent by the leader, after a majority
    has confirmed its leadership, and not passed on by another follower.
    """

    sent_ms: float
    term: int
    index: int
    direct: bool


@dataclass(frozen=True)
class FeedEntries:
    """Committed log entries for a follower; `index` is that of the last one."""

    term: int
    index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class FeedSnapshot:
    """The replicated state at the log index `index`; travels as FeedChunks, never as a whole."""

    term: int
    index: int
    snapshot_term: int
    body: bytes


@dataclass(frozen=True)
class BatchSection:
    """Records of one shard inside a batch.

    `kind` is one of the kinds in `replication.state_machine`; `first` is the position of the
    first record within the shard, from 1.
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
    """All records of a shard up to `position` are committed under this epoch of its lease."""

    shard: int
    epoch: int
    position: int


@dataclass(frozen=True)
class DurablePositions:
    """The leader tells a lease holder up to which records its shards are committed."""

    term: int
    positions: tuple[ShardPosition, ...]


@dataclass(frozen=True)
class AppendRefused:
    """The leader rejects a BatchSection; `cause` is "epoch" or "place" (a gap before `first`).

    `expected` is the epoch or the position that the leader would have accepted; `term` is the
    leader's.
    """

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
    """A holder that shuts down gives its lease back and proposes the next holder."""

    name: str
    shard: int
    epoch: int
    successor: str


@dataclass(frozen=True)
class ShardCommand:
    """A request of an operator or a router, forwarded to the lease holder of a shard.

    `address` is where the reply goes; `body` is JSON.
    """

    id: str
    shard: int
    address: str
    verb: str
    body: bytes


@dataclass(frozen=True)
class ShardCommandReply:
    """The holder's reply: an HTTP status and a JSON body."""

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
