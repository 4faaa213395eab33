"""The replicated state machine, which every depot and every feed follower runs.

It holds the depots' membership and, for each shard, its epoch, lease holder, newest checkpoint
and the records after it.  `apply` is the only way to change it, and is deterministic.  Sections
with a stale epoch or a wrong position change nothing, so a former lease holder can't add
records to a shard.
"""

import json
from dataclasses import dataclass, field

from transport.codec import from_bytes, to_bytes
from transport.messages import Batch, BatchSection, Member

__all__ = [
    "StateMachine",
    "ShardState",
    "RECORDS",
    "CHECKPOINT",
    "LEASE",
    "MEMBERS",
    "TERM",
    "apply",
    "apply_body",
    "snapshot",
    "restore",
    "lease_section",
    "members_section",
    "term_section",
    "GROUP_SHARD",
]

# Kinds of sections.
RECORDS, CHECKPOINT, LEASE, MEMBERS, TERM = range(5)
# The shard number in sections that concern the group itself.
GROUP_SHARD = -1


@dataclass
class ShardState:
    """A shard's lease, its newest checkpoint and the records after it; `next` is the position
    of the next record, and `checkpoint_at` that of the last record in the checkpoint."""

    epoch: int = 0
    holder: str = ""
    incarnation: str = ""
    previous_holder: str = ""
    next: int = 1
    checkpoint_at: int = 0
    checkpoint: bytes = b""
    records: list = field(default_factory=list)


@dataclass
class StateMachine:
    """The replicated state; `members_stamp` is the log index of the current membership."""

    shards: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    members_stamp: int = 0


@dataclass(frozen=True)
class _ShardSnapshot:
    shard: int
    epoch: int
    holder: str
    incarnation: str
    previous_holder: str
    next: int
    checkpoint_at: int
    checkpoint: bytes
    records: tuple[bytes, ...]


@dataclass(frozen=True)
class ShardContent:
    """A shard's newest checkpoint and the records after it."""

    checkpoint_at: int
    checkpoint: bytes
    records: tuple[bytes, ...]


@dataclass(frozen=True)
class _StateSnapshot:
    shards: tuple[_ShardSnapshot, ...]
    members: tuple[Member, ...]
    members_stamp: int


def shard_of(state, shard):
    """Return the state of a shard, creating it if necessary."""
    return state.shards.setdefault(shard, ShardState())


def apply(state, section, index):
    """Apply one section; return whether it changed the state."""
    if section.kind == MEMBERS:
        state.members = {m["identity"]: Member(**m) for m in json.loads(section.records[0])}
        state.members_stamp = index
        return True
    if section.kind == TERM:
        return False
    shard_state = shard_of(state, section.shard)
    if section.kind == LEASE:
        if section.epoch != shard_state.epoch + 1:
            return False
        lease = json.loads(section.records[0])
        shard_state.epoch, shard_state.previous_holder = section.epoch, shard_state.holder
        shard_state.holder, shard_state.incarnation = lease["holder"], lease["incarnation"]
        return True
    if section.epoch != shard_state.epoch:
        return False
    if section.kind == CHECKPOINT:
        if not shard_state.checkpoint_at < section.first < shard_state.next:
            return False
        del shard_state.records[: section.first - shard_state.checkpoint_at]
        shard_state.checkpoint_at, shard_state.checkpoint = section.first, section.records[0]
        return True
    if section.first != shard_state.next:
        return False
    shard_state.records.extend(section.records)
    shard_state.next += len(section.records)
    return True


def apply_body(state, body, index):
    """Apply the body of a log entry; return the sections that changed the state."""
    return [s for s in from_bytes(Batch, body).sections if apply(state, s, index)]


def snapshot(state):
    """Encode the whole state."""
    return to_bytes(
        _StateSnapshot(
            tuple(
                _ShardSnapshot(
                    n,
                    s.epoch,
                    s.holder,
                    s.incarnation,
                    s.previous_holder,
                    s.next,
                    s.checkpoint_at,
                    s.checkpoint,
                    tuple(s.records),
                )
                for n, s in sorted(state.shards.items())
            ),
            tuple(state.members[i] for i in sorted(state.members)),
            state.members_stamp,
        )
    )


def restore(body):
    """Decode a state that `snapshot` encoded."""
    decoded = from_bytes(_StateSnapshot, body)
    return StateMachine(
        {
            s.shard: ShardState(
                s.epoch,
                s.holder,
                s.incarnation,
                s.previous_holder,
                s.next,
                s.checkpoint_at,
                s.checkpoint,
                list(s.records),
            )
            for s in decoded.shards
        },
        {m.identity: m for m in decoded.members},
        decoded.members_stamp,
    )


def shard_snapshot(shard_state):
    """Encode a shard's content for its next holder."""
    return to_bytes(
        ShardContent(shard_state.checkpoint_at, shard_state.checkpoint, tuple(shard_state.records))
    )


def restore_shard(body):
    """Decode a `ShardContent` that `shard_snapshot` encoded."""
    return from_bytes(ShardContent, body)


def lease_section(shard, epoch, holder, incarnation):
    """Return the section that assigns a shard's lease."""
    payload = json.dumps({"holder": holder, "incarnation": incarnation}).encode()
    return BatchSection(shard, epoch, LEASE, 0, (payload,))


def members_section(members):
    """Return the section that sets the membership."""
    payload = [vars(members[i]) for i in sorted(members)]
    return BatchSection(GROUP_SHARD, 0, MEMBERS, 0, (json.dumps(payload).encode(),))


def term_section(term):
    """Return the section with which a new leader commits an entry of its own term."""
    return BatchSection(GROUP_SHARD, term, TERM, 0, ())
