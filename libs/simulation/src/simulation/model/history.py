"""What has happened, and every invariant judged against it."""

from dataclasses import dataclass, field

from replication import group as groups
from transport.messages import AppendReply, DurablePositions, FreshnessMark, VoteReply

from simulation.model.forks import label, members_in, text
from simulation.model.invariants import (
    EMPTY_STATE,
    JUDGED,
    Before,
    Violation,
    applied,
    committed_entry,
    counts,
    holds,
    is_needed,
    records_in,
    state_bytes,
    two_changes,
)

__all__ = ["History"]

# How many entries already applied are compared again at each event.
_LOOK_BACK = 8


@dataclass
class History:
    """Terms led, votes saved, entries committed, positions told: what nobody may take back."""

    leaders: dict = field(default_factory=dict)
    votes: dict = field(default_factory=dict)
    committed: tuple = ()
    commit_terms: tuple = ()
    states: tuple = ()
    entries: dict = field(default_factory=dict)
    acks: dict = field(default_factory=dict)
    was: Before | None = None
    group: str = ""
    sent: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)
    reads: dict = field(default_factory=dict)
    commands: int = 0
    written: str = ""
    asked: bool = False
    judged: frozenset = field(default_factory=lambda: JUDGED[-1])

    def fork(self):
        """A copy; the maps are copied, all else is replaced when it changes."""
        held = {k: dict(v) if type(v) is dict else v for k, v in vars(self).items()}
        return History(**{**held, "was": None})

    def broken(self, invariant, detail):
        """An invariant doesn't hold; those not judged (a mutant's others) are passed by."""
        if invariant in self.judged:
            raise Violation(invariant, detail)

    def text(self):
        if not self.written:
            told = [f"{t}.{label(b)}" for t, b in self.committed]
            reads = sorted(self.reads.values())
            self.written = text(
                [
                    self.leaders,
                    self.votes,
                    self.commit_terms,
                    self.acks,
                    self.sent,
                    self.told,
                    reads,
                    self.commands,
                    told,
                ]
            )
        return self.written

    def members(self):
        """The newest committed membership."""
        found = [members_in(body) for _, body in self.committed if members_in(body)]
        return found[-1] if found else ()

    def before(self, world, replica, event):
        """Remember what the state after the event is judged against."""
        group = replica.core.group
        led = group.term if group.role == "leader" else 0
        self.was = Before(replica.identity, group.commit, group.base_index, tuple(group.log), led)

    def on_save(self, world, replica):
        """A promise is on the disk: a vote in it may not differ from an earlier one."""
        kept = replica.storage.promise()
        if not kept or not kept.voted_for:
            return
        key = (replica.identity, kept.term)
        self.written = ""
        if self.votes.setdefault(key, kept.voted_for) != kept.voted_for:
            self.broken("votes-kept", f"{replica.identity} votes twice in {kept.term}")

    def on_send(self, world, replica, message):
        if isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            kept = replica.storage.promise()
            if not kept or kept.term < message.term or not kept.voted_for:
                self.broken("votes-kept", f"{replica.identity} tells a vote unsaved")
        if isinstance(message, AppendReply) and message.agreed and message.index:
            self._acknowledge(replica, message)

    def _acknowledge(self, replica, ack):
        group = replica.core.group
        term = groups.term_at(group, ack.index)
        if not holds(replica, ack.index, term):
            self.broken(
                "acknowledged-kept", f"{replica.identity} acknowledges {ack.index} unsynced"
            )
        key = (replica.identity, ack.term)
        if ack.index > self.acks.get(key, (0, 0))[0]:
            self.acks[key] = (ack.index, term)
            self.written = ""

    def on_client(self, world, replica, message):
        self.written = ""
        if isinstance(message, DurablePositions):
            for place in message.places:
                for first in range(1, place.position + 1):
                    if (replica.identity, first) in self.sent:
                        self.told[first] = self.sent[replica.identity, first]
            self.asked = True
        if isinstance(message, FreshnessMark) and message.sent_ms in self.reads:
            if message.place < self.reads.pop(message.sent_ms):
                self.broken("reads-current", f"{replica.identity} answers {message.place}")

    def _answers(self):
        """Each record told durable stands at its place in the committed entries."""
        records = records_in(self.states[-1]) if self.states else ()
        for place, record in self.told.items():
            if place > len(records) or records[place - 1] != record:
                self.broken("answers-kept", f"record {place} was told durable")

    def look(self, world, replica):
        """Judge one replica after it changed."""
        self._kept_on_disk(replica)
        if replica.core is None:
            return
        group = replica.core.group
        self._group(group)
        self._log(replica, group)
        self.commits(replica)
        if self.asked:
            self.asked = False
            self._answers()
        if group.role == "leader":
            self._leader(world, replica, group)
        for other in world.running():
            if other.core.group.role == "leader":
                self._complete(other)

    def left(self, world, replica):
        """A member was let go: a majority without it has all that is committed."""
        in_force = [self.members()] + [groups.members(r.core.group) for r in world.leaders()]
        if is_needed(replica, world.replicas.values(), in_force, self.committed):
            self.broken("leaver-free", f"{replica.identity} is needed")

    def _group(self, group):
        if group.group and (groups.last_index(group) or group.role == "leader"):
            self.group = self.group or group.group
            if group.group != self.group:
                self.broken("one-group", f"{group.identity} is of another group")

    def _kept_on_disk(self, replica):
        kept = replica.storage.promise()
        if kept is None:
            return
        index, entry_term = self.acks.get((replica.identity, kept.term), (0, 0))
        if index and not (holds(replica, index, entry_term) and counts(replica, index, entry_term)):
            self.broken(
                "acknowledged-kept", f"{replica.identity} gave back {index} of term {entry_term}"
            )

    def _log(self, replica, group):
        before = group.base_term
        for entry in group.log:
            if entry.term < before:
                self.broken("terms-ordered", f"{replica.identity} at {entry.index}")
            known = self.entries.setdefault((entry.index, entry.term), (entry.body, before))
            if known[0] != entry.body or known[1] != before:
                self.broken("log-matching", f"{replica.identity} at {entry.index}")
            before = entry.term

    def commits(self, replica):
        """Take down what a replica has newly committed; its state is what entries make."""
        group, was = replica.core.group, self.was
        if was and was.identity == replica.identity and group.commit < was.commit:
            self.broken("commit-forward", f"{replica.identity} back to {group.commit}")
        for index in range(len(self.committed) + 1, group.commit + 1):
            entry = committed_entry(group, was, index)
            self._majority_synced(replica, group)
            self.committed += ((entry.term, entry.body),)
            self.commit_terms += (group.term,)
            self.written = ""
            before = self.states[-1] if self.states else EMPTY_STATE
            self.states += (applied(before, entry.body, index),)
        self._same_applied(replica, group)

    def _same_applied(self, replica, group):
        was = self.was.commit if self.was else 0
        for index in range(max(group.base_index, was - _LOOK_BACK) + 1, group.commit + 1):
            entry = groups.entry_at(group, index)
            if (entry.term, entry.body) != self.committed[index - 1]:
                self.broken("state-machine-safety", f"{replica.identity} at {index}")
        if group.commit and (group.commit != was or not self.was):
            if state_bytes(group.state) != self.states[group.commit - 1]:
                self.broken("state-machine-safety", f"{replica.identity}: state at {group.commit}")

    def _majority_synced(self, replica, group):
        if group.role != "leader":
            return
        voters = groups.members(group)
        synced = {i for i in voters if self.acks.get((i, group.term), (0, 0))[0] >= group.commit}
        if holds(replica, group.commit, groups.term_at(group, group.commit)):
            synced.add(replica.identity)
        if len(synced & set(voters)) < len(voters) // 2 + 1:
            self.broken("majority-commits", f"{replica.identity} commits {group.commit}")

    def _leader(self, world, replica, group):
        if group.term not in self.leaders:
            self.written = ""
        known = self.leaders.setdefault(group.term, replica.identity)
        if known != replica.identity:
            self.broken("election-safety", f"{known} and {replica.identity} lead {group.term}")
        if self.was and self.was.led != group.term:
            self._elected(replica, group)
        if jump := two_changes(group):
            self.broken("one-change", jump)

    def _elected(self, replica, group):
        self.sent = {k: v for k, v in self.sent.items() if k[0] != replica.identity}
        voters = groups.members(group)
        given = [i for i in voters if self.votes.get((i, group.term)) == replica.identity]
        if len(given) < len(voters) // 2 + 1:
            self.broken("majority-elects", f"{replica.identity} leads {group.term}")

    def _complete(self, leader):
        group = leader.core.group
        for index in range(group.base_index + 1, len(self.committed) + 1):
            if self.commit_terms[index - 1] < group.term and (
                groups.term_at(group, index) != self.committed[index - 1][0]
            ):
                self.broken("leader-completeness", f"{leader.identity} lacks {index}")
