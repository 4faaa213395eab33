"""Random walks of depots that lose messages and power.

Every vote and term that a depot sends is saved before, no depot votes twice in a term, and each
leader has all committed entries."""

import random

from replication import depot as depots
from replication import group as replicas
from replication import log_compaction, log_replication
from test_catching_up import TIMES, batch, make_depot
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport import messages as m
from transport.codec import from_bytes
from transport.effects import Install, Save, Send, Write
from transport.events import Received, Tick, Written

NAMES = "abc"
STEPS = 2500
CUT_STEPS = 300


class Folder:
    """The content of a depot's disk; writes that aren't synced may be lost."""

    def __init__(self):
        self.files, self.entries, self.writes = {}, [], []

    def saved_state(self):
        return from_bytes(replicas.PersistentState, self.files["promise"])

    def install(self, effect):
        self.files["view"] = effect.body
        kept = [] if effect.restart else self.entries
        self.entries = [entry for entry in kept if entry.index > effect.index]
        self.writes = [] if effect.restart else self.writes

    def read(self):
        """Return the entries after the snapshot."""
        view = self.files.get("view")
        after = replicas.read_snapshot_file(view)[0] if view else 0
        return [entry for entry in self.entries if entry.index > after]

    def sync(self, effect):
        first = effect.entries[0].index
        self.entries = [e for e in self.entries if e.index < first] + list(effect.entries)


class Walk:
    """A random walk over events that checks the invariants at every effect."""

    def __init__(self, test, seed):
        self.test, self.rng, self.now_ms = test, random.Random(seed), 0.0
        self.folders = {name: Folder() for name in NAMES}
        self.in_transit, self.votes, self.committed, self.leader_checks = [], {}, {}, 0
        self.records, self.depots = 0, {}
        self.steps, self.cut_off, self.chunks = 0, None, 0
        for name in NAMES:
            depot = make_depot(name)
            depot.group.election_due_ms = self.rng.random() * 500
            self.folders[name].files["promise"] = replicas.save_persistent_state(depot.group).body
            self.depots[name] = depot

    def step(self):
        self.now_ms += self.rng.random() * 30
        self.steps += 1
        if self.steps % CUT_STEPS == 0:
            self.cut_off = self.rng.choice(NAMES) if self.cut_off is None else None
        name = self.rng.choice(NAMES)
        choice = self.rng.random()
        if choice < 0.7 and self.in_transit:
            to, event = self.in_transit.pop(self.rng.randrange(min(4, len(self.in_transit))))
            if self.rng.random() < 0.95 and self.cut_off not in (to, event.sender):
                self.do(to, event)
        elif choice < 0.85:
            self.do(name, Tick())
        elif choice < 0.95:
            self.sync(name)
        elif choice < 0.99:
            self.propose(name)
        else:
            self.lose_power(name)

    def do(self, name, event):
        self.carry_out(name, depots.handle(self.depots[name], self.now_ms, event, {}, "g"))

    def propose(self, name):
        replica = self.depots[name].group
        if replica.role == "leader":
            self.records += 1
            body = batch(1, self.records, b"%d" % self.records * 200)
            self.carry_out(name, log_replication.propose(replica, self.now_ms, body))

    def carry_out(self, name, effects):
        """Carry out effects in order, as a process does."""
        folder = self.folders[name]
        for effect in effects:
            if isinstance(effect, Save):
                folder.files[effect.name] = effect.body
            elif isinstance(effect, Install):
                folder.install(effect)
            elif isinstance(effect, Write):
                folder.writes.append(effect)
            elif isinstance(effect, Send) and effect.to in self.depots:
                self.check_sent(name, effect.to, effect.message)
                self.in_transit.append((effect.to, Received(name, effect.message)))
        self.check_log(name)

    def sync(self, name):
        folder = self.folders[name]
        if folder.writes:
            effect = folder.writes.pop(0)
            folder.sync(effect)
            last = effect.entries[-1]
            self.do(name, Written(last.index, last.term, 1.0))

    def lose_power(self, name):
        """Keep what is synced, and possibly some of the writes in flight."""
        folder = self.folders[name]
        for effect in folder.writes[: self.rng.randrange(len(folder.writes) + 1)]:
            folder.sync(effect)
        folder.writes = []
        depot = make_depot(name)
        depot.group.election_due_ms = self.now_ms + 500 * (1 + self.rng.random())
        replicas.open_replica(depot.group, folder.files, folder.read())
        self.depots[name] = depot

    def check_sent(self, name, to, message):
        saved_state = self.folders[name].saved_state()
        self.chunks += isinstance(message, m.ReplicaChunk)
        if isinstance(message, m.VoteReply) and message.granted and not message.pre_vote:
            self.test.assertThat(saved_state.term, Equals(message.term))
            self.test.assertThat(saved_state.voted_for, Equals(to))
            self.vote(message.term, name, to)
        if isinstance(message, m.VoteRequest) and not message.pre_vote:
            self.test.assertThat(saved_state.term, Equals(message.term))
            self.vote(message.term, name, name)
            self.test.assertThat(saved_state.voted_for, Equals(name))
        if isinstance(message, (m.AppendReply, m.AppendEntries, m.ReplicaChunk)):
            self.test.assertThat(
                saved_state.term >= message.term, Equals(True), "sent before it was saved"
            )

    def vote(self, term, name, candidate):
        known = self.votes.setdefault((term, name), candidate)
        self.test.assertThat(known, Equals(candidate), f"{name} votes twice in {term}")

    def check_log(self, name):
        """Check that committed entries are the same everywhere and that the leader has them."""
        replica = self.depots[name].group
        for index in range(replica.base_index + 1, replica.commit + 1):
            term = replicas.term_at(replica, index)
            known = self.committed.setdefault(index, term)
            self.test.assertThat(known, Equals(term), f"two entries committed at {index}")
        if replica.role == "leader" and replica.term == max(
            d.group.term for d in self.depots.values()
        ):
            self.leader_checks += 1
            newest = max(self.committed, default=0)
            self.test.assertThat(replicas.last_index(replica) >= newest, Equals(True))
            for index, term in self.committed.items():
                if index > replica.base_index:
                    self.test.assertThat(replicas.term_at(replica, index), Equals(term))


class PersistentStates(TestCase):
    def test_invariants_hold_whatever_is_lost(self):
        """Snapshots are taken after few bytes, so that some members receive one."""
        times = replicas.GroupSettings(**{**vars(TIMES), "keep_bytes": 2000})
        self.patch(log_compaction, "_KEPT_ENTRIES", 2)
        chunks = 0
        for seed in range(6):
            walk = Walk(self, seed)
            for _ in range(STEPS):
                for depot in walk.depots.values():
                    depot.group.settings = times
                walk.step()
            chunks += walk.chunks
            self.assertThat(walk.leader_checks, GreaterThan(0), f"seed {seed}")
            self.assertThat(len(walk.committed), GreaterThan(5), f"seed {seed}")
        self.assertThat(chunks, GreaterThan(10))
