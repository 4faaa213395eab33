"""The replicated state: what every depot, and every follower, makes of the log.

A book holds, for each shard, its epoch, its holder, its newest checkpoint and
the records after it; and the depots' membership.  `apply` is the only way it
changes and is the same everywhere.  Sections of a stale epoch or a wrong
place change nothing, so a deposed holder can never add to a shard.
"""

import json
from dataclasses import dataclass, field

from waybill.codec import from_bytes, to_bytes
from waybill.messages import Batch, Member, Section

__all__ = [
    "Book",
    "ShardBook",
    "RECORDS",
    "CHECKPOINT",
    "GRANT",
    "MEMBERS",
    "TERM",
    "apply",
    "apply_body",
    "view",
    "open_view",
    "grant_section",
    "members_section",
    "term_section",
    "GROUP_SHARD",
]

RECORDS, CHECKPOINT, GRANT, MEMBERS, TERM = range(5)
GROUP_SHARD = -1


@dataclass
class ShardBook:
    epoch: int = 0
    holder: str = ""
    incarnation: str = ""
    before: str = ""
    next: int = 1
    checkpointAt: int = 0
    checkpoint: bytes = b""
    records: list = field(default_factory=list)


@dataclass
class Book:
    shards: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    membersStamp: int = 0


@dataclass(frozen=True)
class _ShardView:
    shard: int
    epoch: int
    holder: str
    incarnation: str
    before: str
    next: int
    checkpointAt: int
    checkpoint: bytes
    records: tuple[bytes, ...]


@dataclass(frozen=True)
class _BookView:
    shards: tuple[_ShardView, ...]
    members: tuple[Member, ...]
    membersStamp: int


def shard_of(book, shard):
    return book.shards.setdefault(shard, ShardBook())


def apply(book, section, index):
    """Apply one section; say whether it changed anything."""
    if section.kind == MEMBERS:
        book.members = {m["identity"]: Member(**m) for m in json.loads(section.records[0])}
        book.membersStamp = index
        return True
    if section.kind == TERM:
        return False
    part = shard_of(book, section.shard)
    if section.kind == GRANT:
        if section.epoch != part.epoch + 1:
            return False
        given = json.loads(section.records[0])
        part.epoch, part.before = section.epoch, part.holder
        part.holder, part.incarnation = given["holder"], given["incarnation"]
        return True
    if section.epoch != part.epoch:
        return False
    if section.kind == CHECKPOINT:
        if not part.checkpointAt < section.first < part.next:
            return False
        del part.records[: section.first - part.checkpointAt]
        part.checkpointAt, part.checkpoint = section.first, section.records[0]
        return True
    if section.first != part.next:
        return False
    part.records.extend(section.records)
    part.next += len(section.records)
    return True


def apply_body(book, body, index):
    """Apply a log entry's body and return the sections that counted."""
    return [s for s in from_bytes(Batch, body).sections if apply(book, s, index)]


def view(book):
    return to_bytes(
        _BookView(
            tuple(
                _ShardView(
                    n,
                    s.epoch,
                    s.holder,
                    s.incarnation,
                    s.before,
                    s.next,
                    s.checkpointAt,
                    s.checkpoint,
                    tuple(s.records),
                )
                for n, s in sorted(book.shards.items())
            ),
            tuple(book.members[i] for i in sorted(book.members)),
            book.membersStamp,
        )
    )


def open_view(body):
    seen = from_bytes(_BookView, body)
    return Book(
        {
            s.shard: ShardBook(
                s.epoch,
                s.holder,
                s.incarnation,
                s.before,
                s.next,
                s.checkpointAt,
                s.checkpoint,
                list(s.records),
            )
            for s in seen.shards
        },
        {m.identity: m for m in seen.members},
        seen.membersStamp,
    )


def grant_section(shard, epoch, holder, incarnation):
    told = json.dumps({"holder": holder, "incarnation": incarnation}).encode()
    return Section(shard, epoch, GRANT, 0, (told,))


def members_section(members):
    told = [vars(members[i]) for i in sorted(members)]
    return Section(GROUP_SHARD, 0, MEMBERS, 0, (json.dumps(told).encode(),))


def term_section(term):
    return Section(GROUP_SHARD, term, TERM, 0, ())
