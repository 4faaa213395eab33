"""Which part of each tenant's limit a depot (log node) may grant, if any.

The parts of all depots that grant at the same time never exceed the whole:

- A depot grants while it is a member by the log that it follows, and a freshness mark confirmed
  by a majority reached it within the quorum timeout.  A depot that was removed without knowing
  it stops then.
- After each start, a new member grants nothing for one quorum timeout after it first saw itself
  among the members.  A founder doesn't wait, since it replaced no other depot, unless it has
  seen a membership without itself.  In the incarnation in which it founded the group its buckets
  are full, since nothing has ever been granted.
- Fewer members mean larger parts, but a removed member may still grant its old part: for one
  quorum timeout, the largest membership seen counts.  A depot that has just restarted assumes
  that the membership had one more member before.
"""

from dataclasses import dataclass, field

__all__ = ["Share", "GrantEligibility", "observe", "current_share"]

_ALWAYS_MS = -1e12


@dataclass(frozen=True)
class Share:
    """One of `parts` equal parts of each limit, filled since `since_ms`."""

    parts: int
    since_ms: float


@dataclass(frozen=True)
class _MemberCount:
    """The number of members to divide by until `until_ms`."""

    members: int
    until_ms: float


@dataclass
class GrantEligibility:
    """The state from which a depot's share is computed.  `restarted`: its storage held a group when
    it started.  `expected_members`: the configured size of the group.  `removed`: it has seen a
    membership without itself since it started."""

    identity: str
    quorum_timeout_ms: float
    expected_members: int
    restarted: bool = False
    removed: bool = False
    members: frozenset = frozenset()
    since_ms: float | None = None
    past_counts: list = field(default_factory=list)


def observe(eligibility, now_ms, members, founders):
    """Note the committed membership that this depot follows, and the group's founders, all given
    as identities."""
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
    """From when on this depot may grant, now that it is a member."""
    if eligibility.removed or eligibility.identity not in founders:
        return now_ms + eligibility.quorum_timeout_ms
    return now_ms if eligibility.restarted else _ALWAYS_MS


def _members_to_count(eligibility, after):
    """The number of members to count after a change.  After a change of several members at once,
    all of both memberships count; before the first membership is known, the configured size
    counts, plus one after a restart."""
    before = eligibility.members
    if not before:
        return eligibility.expected_members + eligibility.restarted
    if len(before ^ after) <= 1:
        return len(before)
    return len(before | after)


def _remember_count(eligibility, now_ms, members):
    """Count so many members for one quorum timeout."""
    eligibility.past_counts = [
        count for count in eligibility.past_counts if count.until_ms > now_ms
    ]
    eligibility.past_counts.append(_MemberCount(members, now_ms + eligibility.quorum_timeout_ms))


def current_share(eligibility, now_ms, mark_age_ms):
    """The Share that may be granted now, or None.  `mark_age_ms`: the age of the last freshness
    mark of a majority."""
    if eligibility.since_ms is None or now_ms < eligibility.since_ms:
        return None
    if mark_age_ms >= eligibility.quorum_timeout_ms:
        return None
    past_counts = [count.members for count in eligibility.past_counts if count.until_ms > now_ms]
    return Share(max([len(eligibility.members), *past_counts]), eligibility.since_ms)
