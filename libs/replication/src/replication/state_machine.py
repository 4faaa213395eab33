"""The replicated state: what every depot, and every follower, makes of the log.

A state machine holds, for each shard, its epoch, its holder, its newest checkpoint and
the records after it; and the depots' membership.  `apply` is the only way it
changes and is the same everywhere.  Sections of a stale epoch or a wrong
place change nothing, so a deposed holder can never add to a shard.
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

RECORDS, CHECKPOINT, LEASE, MEMBERS, TERM = range(5)
GROUP_SHARD = -1


@dataclass
class ShardState:
    epoch: int = 0
    holder: str = ""
    incarnation: str = ""
    before: str = ""
    next: int = 1
    checkpoint_at: int = 0
    checkpoint: bytes = b""
    records: list = field(default_factory=list)


@dataclass
class StateMachine:
    shards: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    members_stamp: int = 0


@dataclass(frozen=True)
class _ShardSnapshot:
    shard: int
    epoch: int
    holder: str
    incarnation: str
    before: str
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
    return state.shards.setdefault(shard, ShardState())


def apply(state, section, index):
    """Apply one section; say whether it changed anything."""
    if section.kind == MEMBERS:
        state.members = {m["identity"]: Member(**m) for m in json.loads(section.records[0])}
        state.members_stamp = index
        return True
    if section.kind == TERM:
        return False
    part = shard_of(state, section.shard)
    if section.kind == LEASE:
        if section.epoch != part.epoch + 1:
            return False
        given = json.loads(section.records[0])
        part.epoch, part.before = section.epoch, part.holder
        part.holder, part.incarnation = given["holder"], given["incarnation"]
        return True
    if section.epoch != part.epoch:
        return False
    if section.kind == CHECKPOINT:
        if not part.checkpoint_at < section.first < part.next:
            return False
        del part.records[: section.first - part.checkpoint_at]
        part.checkpoint_at, part.checkpoint = section.first, section.records[0]
        return True
    if section.first != part.next:
        return False
    part.records.extend(section.records)
    part.next += len(section.records)
    return True


def apply_body(state, body, index):
    """Apply a log entry's body and return the sections that counted."""
    return [s for s in from_bytes(Batch, body).sections if apply(state, s, index)]


def snapshot(state):
    return to_bytes(
        _StateSnapshot(
            tuple(
                _ShardSnapshot(
                    n,
                    s.epoch,
                    s.holder,
                    s.incarnation,
                    s.before,
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
    seen = from_bytes(_StateSnapshot, body)
    return StateMachine(
        {
            s.shard: ShardState(
                s.epoch,
                s.holder,
                s.incarnation,
                s.before,
                s.next,
                s.checkpoint_at,
                s.checkpoint,
                list(s.records),
            )
            for s in seen.shards
        },
        {m.identity: m for m in seen.members},
        seen.members_stamp,
    )


def shard_snapshot(part):
    """What a shard's next holder needs of it."""
    return to_bytes(ShardContent(part.checkpoint_at, part.checkpoint, tuple(part.records)))


def restore_shard(body):
    return from_bytes(ShardContent, body)


def lease_section(shard, epoch, holder, incarnation):
    told = json.dumps({"holder": holder, "incarnation": incarnation}).encode()
    return BatchSection(shard, epoch, LEASE, 0, (told,))


def members_section(members):
    told = [vars(members[i]) for i in sorted(members)]
    return BatchSection(GROUP_SHARD, 0, MEMBERS, 0, (json.dumps(told).encode(),))


def term_section(term):
    return BatchSection(GROUP_SHARD, term, TERM, 0, ())
