"""Snapshots sent in chunks, to replicas of the log, followers and lease holders of shards."""

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
    """Identifies a snapshot: two snapshots with the same id have the same bytes."""

    index: int
    term: int
    size: int
    checksum: int


@dataclass(frozen=True)
class Chunk:
    """Bytes of a snapshot from `offset`; empty if the sender only asks for an acknowledgement."""

    snapshot: SnapshotId
    sequence: int
    offset: int
    body: bytes


@dataclass(frozen=True)
class ChunkAck:
    """The receiver had `held` contiguous bytes from the start after the chunk `sequence`."""

    snapshot: SnapshotId
    sequence: int
    held: int


@dataclass(frozen=True)
class ReplicaChunk:
    """A chunk of the leader's snapshot, for a replica whose log ends before the leader's begins."""

    group: str
    term: int
    identity: str
    address: str
    to: str
    round: int
    chunk: Chunk


@dataclass(frozen=True)
class ReplicaChunkReply:
    """A replica's acknowledgement of a ReplicaChunk."""

    term: int
    identity: str
    address: str
    round: int
    ack: ChunkAck


@dataclass(frozen=True)
class FeedChunk:
    """A chunk of a FeedSnapshot, for a follower that needs older entries than the leader keeps."""

    term: int
    chunk: Chunk


@dataclass(frozen=True)
class FeedChunkReply:
    """A follower's acknowledgement of a FeedChunk."""

    name: str
    ack: ChunkAck


@dataclass(frozen=True)
class ShardChunk:
    """A chunk of a shard's checkpoint and records, for the holder of a new lease."""

    shard: int
    epoch: int
    chunk: Chunk


@dataclass(frozen=True)
class ShardChunkReply:
    """A lease holder's acknowledgement of a ShardChunk."""

    shard: int
    epoch: int
    ack: ChunkAck
