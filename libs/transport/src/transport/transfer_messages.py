"""How a snapshot travels in chunks: between replicas, to followers, to a shard's holder."""

from dataclasses import dataclass

__all__ = [
    "SnapshotId",
    "Chunk",
    "ChunkAck",
    "ReplicaChunk",
    "ReplicaChunkReply",
    "FeedChunk",
    "FeedChunkReply",
    "ShardChunk",
    "ShardChunkReply",
]


@dataclass(frozen=True)
class SnapshotId:
    """Two snapshots with the same id have the same bytes, whoever sends them."""

    index: int
    term: int
    size: int
    checksum: int


@dataclass(frozen=True)
class Chunk:
    """Bytes of a snapshot from `offset` on; empty if the sender only asks what is held."""

    snapshot: SnapshotId
    sequence: int
    offset: int
    body: bytes


@dataclass(frozen=True)
class ChunkAck:
    """How many bytes from the start the receiver held after the chunk `sequence`."""

    snapshot: SnapshotId
    sequence: int
    held: int


@dataclass(frozen=True)
class ReplicaChunk:
    """A leader brings a replica up whose log ends before the leader's begins."""

    group: str
    term: int
    identity: str
    address: str
    to: str
    round: int
    chunk: Chunk


@dataclass(frozen=True)
class ReplicaChunkReply:
    term: int
    identity: str
    address: str
    round: int
    ack: ChunkAck


@dataclass(frozen=True)
class FeedChunk:
    """The state for a follower whose place the feed's entries no longer reach."""

    term: int
    chunk: Chunk


@dataclass(frozen=True)
class FeedChunkReply:
    name: str
    ack: ChunkAck


@dataclass(frozen=True)
class ShardChunk:
    """A shard's checkpoint and records, for the holder of a new lease."""

    shard: int
    epoch: int
    chunk: Chunk


@dataclass(frozen=True)
class ShardChunkReply:
    shard: int
    epoch: int
    ack: ChunkAck
