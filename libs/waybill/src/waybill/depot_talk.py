"""What depots say to one another to keep one log between them."""

from dataclasses import dataclass

__all__ = [
    "Member",
    "FoundAsk",
    "FoundAgree",
    "Canvass",
    "Ballot",
    "Entry",
    "Entries",
    "EntriesAck",
    "ViewPart",
    "TakeOver",
]


@dataclass(frozen=True)
class Member:
    name: str
    identity: str
    address: str


@dataclass(frozen=True)
class FoundAsk:
    group: str
    members: tuple[Member, ...]


@dataclass(frozen=True)
class FoundAgree:
    group: str
    identity: str
    agreed: bool


@dataclass(frozen=True)
class Canvass:
    group: str
    term: int
    identity: str
    lastIndex: int
    lastTerm: int
    trial: bool
    named: bool


@dataclass(frozen=True)
class Ballot:
    term: int
    identity: str
    granted: bool
    trial: bool


@dataclass(frozen=True)
class Entry:
    index: int
    term: int
    body: bytes


@dataclass(frozen=True)
class Entries:
    group: str
    term: int
    identity: str
    address: str
    to: str
    prevIndex: int
    prevTerm: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class EntriesAck:
    term: int
    identity: str
    name: str
    address: str
    agreed: bool
    index: int
    round: int


@dataclass(frozen=True)
class ViewPart:
    group: str
    term: int
    identity: str
    address: str
    to: str
    index: int
    viewTerm: int
    body: bytes


@dataclass(frozen=True)
class TakeOver:
    """The leader asks its named successor to canvass at once."""

    term: int
