"""Which part of every budget a depot may give out, if any.

The parts of all depots that grant at one time never make up more than the whole:

- A depot grants while it is a member, by what it follows, and a majority's mark reached it
  within `trust`.  One that was removed without knowing stops in that time.
- A newcomer grants nothing for `trust` after it first saw itself among the members, in
  each of its lives.  A founder waits for nothing, as nobody's place was given to it, unless
  it saw a membership without itself before.  In the life in which it founded the group its
  buckets are full: nothing was ever given out.
- Fewer members mean a larger part, which one that was removed may still hold a piece of:
  for `trust`, the largest membership seen counts.  One that has just started takes it that
  the membership was larger by one before.
"""

from dataclasses import dataclass, field

__all__ = ["Share", "GrantEligibility", "observe", "current_share"]

_ALWAYS_MS = -1e12


@dataclass(frozen=True)
class Share:
    """One part in `parts` of every budget, filled since `since_ms`."""

    parts: int
    since_ms: float


@dataclass(frozen=True)
class _MemberCount:
    """How many members have to be counted, until `until_ms`."""

    members: int
    until_ms: float


@dataclass
class GrantEligibility:
    """`restarted`: this depot began its life with a group on its disk.  `depots`: how many
    members there should be.  `removed`: it has seen a membership without itself in this life."""

    identity: str
    quorum_timeout_ms: float
    expected_members: int
    restarted: bool = False
    removed: bool = False
    members: frozenset = frozenset()
    since_ms: float | None = None
    past_counts: list = field(default_factory=list)


def observe(eligibility, now_ms, members, founders):
    """Note the committed membership, as this depot follows it, and who founded the group,
    all given as identities."""
    members = frozenset(members)
    if not members:
        return
    if members != eligibility.members:
        _remember_count(eligibility, now_ms, _members_to_count(eligibility, members))
        eligibility.members = members
    if eligibility.identity not in members:
        eligibility.since_ms, eligibility.removed = None, True
    elif eligibility.since_ms is None:
        eligibility.since_ms = _since_ms(eligibility, now_ms, founders)


def _since_ms(eligibility, now_ms, founders):
    if eligibility.removed or eligibility.identity not in founders:
        return now_ms + eligibility.quorum_timeout_ms
    return now_ms if eligibility.restarted else _ALWAYS_MS


def _members_to_count(eligibility, after):
    """The members to be counted after a change; one that was seen only in part counts all
    of them, and one that may have been before a restart as if there had been one more."""
    before = eligibility.members
    if not before:
        return eligibility.expected_members + eligibility.restarted
    if len(before ^ after) <= 1:
        return len(before)
    return len(before | after)


def _remember_count(eligibility, now_ms, members):
    eligibility.past_counts = [
        count for count in eligibility.past_counts if count.until_ms > now_ms
    ]
    eligibility.past_counts.append(_MemberCount(members, now_ms + eligibility.quorum_timeout_ms))


def current_share(eligibility, now_ms, heartbeat_age_ms):
    """The Share that may be granted now, or None."""
    if eligibility.since_ms is None or now_ms < eligibility.since_ms:
        return None
    if heartbeat_age_ms >= eligibility.quorum_timeout_ms:
        return None
    past_counts = [count.members for count in eligibility.past_counts if count.until_ms > now_ms]
    return Share(max([len(eligibility.members), *past_counts]), eligibility.since_ms)
