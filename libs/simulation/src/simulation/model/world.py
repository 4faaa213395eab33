"""A few replicas of the real core, their disks and the messages under way.

A step gives one event to one replica and carries out its effects; `history` judges
the replica and each thing it tells.  Time stands still: a timer fires because a step
makes it due.  Worlds are forked cheaply: a replica is copied when it is first touched.
"""

import functools
import hashlib
import itertools
from dataclasses import dataclass, field

from replication import depot as depots
from replication import group as groups
from transport.effects import Finished, Install, LogLine, Save, Send, Write
from transport.messages import Member, NodeInfo

from simulation.model.forks import NOW_MS, renamed, text
from simulation.model.history import History
from simulation.model.invariants import Violation
from simulation.model.machine import ELECT_MS, LETTERS, Machine, Packet, Settings, Steady
from simulation.model.storage import Storage, Untrusted, read, reread

__all__ = ["CLIENT", "World", "found"]

# Where clients are reached.
CLIENT = "client"
# Effects that wait for the disk, by the name under which power may be lost there.
_SYNCS = {"sync": (Save, Install, Write), "install": (Install,)}
# Why a leaver ends that was not let go.
_TIME_IS_UP = "time is up"
# Orders of replicas that look alike which are tried for the canonical one.
_ORDERS = 6


@dataclass
class World:
    """Replicas, messages under way, what has happened, and how much trouble was spent."""

    settings: Settings
    replicas: dict = field(default_factory=dict)
    packets: dict = field(default_factory=dict)
    history: History = field(default_factory=History)
    spent: dict = field(default_factory=dict)
    owned: set = field(default_factory=set)

    def fork(self):
        self.owned = set()
        return World(
            self.settings,
            dict(self.replicas),
            dict(self.packets),
            self.history.fork(),
            dict(self.spent),
        )

    def own(self, name):
        """The replica, to be changed by this world alone."""
        if name not in self.owned:
            self.replicas[name] = self.replicas[name].fork()
            self.owned.add(name)
        self.replicas[name].written = ""
        return self.replicas[name]

    def add(self, name=""):
        """A new empty machine."""
        name = name or LETTERS[len(self.replicas)]
        self.replicas[name] = Machine(name, Storage())
        self.owned.add(name)
        self.start(name)

    def start(self, name):
        """Start a replica's process from its disk."""
        replica = self.own(name)
        storage = replica.storage
        first = replica.life == 0 and name in LETTERS[: self.settings.replicas]
        group = groups.Replica(name, replica.identity, name, self.settings.times(first), Steady())
        try:
            entries = self._read_back(replica)
        except Untrusted as refused:
            replica.broken = True
            raise Violation("disk-trusted", f"{replica.identity}: {refused}") from refused
        storage.opened(storage.view_index() + len(entries))
        groups.open_replica(group, storage.files, entries)
        group.elect_at_ms = NOW_MS + 1.5 * ELECT_MS
        replica.core = depots.Depot(group, 1, self._card(replica, group))
        self.history.was = None
        self.history.look(self, replica)

    def _read_back(self, replica):
        """What the product reads; it must be what was synced, and what was kept of more."""
        storage = replica.storage
        slots, after, first = storage.slots, storage.view_index(), storage.first
        wanted = read(slots, after, first)
        if not self.settings.reread:
            return wanted
        entries = reread(slots, after, first)
        if entries != wanted:
            raise Violation(
                "disk-kept", f"{replica.identity} reads {len(entries)} entries of {len(wanted)}"
            )
        return entries

    def _card(self, replica, group):
        return NodeInfo(
            replica.name, "depot", "z", replica.name, "h", "1", replica.identity, not group.group
        )

    def cards(self, name):
        """What a replica knows of the others: their present identities."""
        found = {}
        for other in self.replicas.values():
            if other.name != name and other.core is not None:
                found[other.name] = self._card(other, other.core.group)
        return found

    def known_group(self):
        return next(
            (
                r.core.group.group
                for r in self.replicas.values()
                if r.core is not None and r.core.group.group
            ),
            "",
        )

    def handle(self, name, event, crash_at="", torn="", now_ms=NOW_MS):
        """Give a replica an event.  Power is lost before its first sync of any kind, or in
        its first installing of a snapshot, if `crash_at` says so."""
        replica = self.own(name)
        self.history.before(self, replica, event)
        try:
            effects = depots.handle(replica.core, now_ms, event, self.cards(name), "")
        except Exception as raised:
            if "core-runs" in self.history.judged:
                raise Violation("core-runs", f"{replica.identity}: {raised!r}") from raised
            self.crash(name)
            return
        for effect in effects:
            if crash_at and isinstance(effect, _SYNCS[crash_at]):
                self.history.commits(replica)
                self._half(replica, effect, torn)
                self.crash(name)
                return
            self._do(replica, effect)
        self.history.look(self, replica)
        if any(isinstance(effect, Finished) for effect in effects):
            self._finish(name, effects)

    def _finish(self, name, effects):
        """The process ends in order: it was let go, or its time is up."""
        replica = self.own(name)
        if not any(isinstance(e, LogLine) and e.facts.get("why") == _TIME_IS_UP for e in effects):
            self.history.left(self, replica)
        self.crash(name, [slot.number for slot in replica.storage.under_way()])

    def _half(self, replica, effect, torn):
        if isinstance(effect, Install) and torn:
            replica.storage.install(effect.index, effect.body, effect.restart, torn)

    def _do(self, replica, effect):
        storage = replica.storage
        if isinstance(effect, Save):
            storage.save(effect.name, effect.body)
            self.history.on_save(self, replica)
        elif isinstance(effect, Install):
            storage.install(effect.index, effect.body, effect.restart)
        elif isinstance(effect, Write):
            storage.claim(effect.entries, effect.known)
        elif isinstance(effect, Send):
            self._send(replica, effect)

    def _send(self, replica, effect):
        self.history.on_send(self, replica, effect.message)
        if effect.to == CLIENT:
            self.history.on_client(self, replica, effect.message)
        elif effect.to in self.replicas:
            self.packets[Packet(replica.name, effect.to, effect.message)] = {}
            while len(self.packets) > self.settings.packets:
                del self.packets[next(iter(self.packets))]

    def crash(self, name, kept=()):
        """The process ends; of the writes under way, those in `kept` are on the disk."""
        replica = self.own(name)
        replica.core = None
        replica.storage.power_loss(frozenset(kept))
        self.history.was = None
        self.history.look(self, replica)

    def lose_disk(self, name):
        """The machine's disk is gone; its successor of the same name is another."""
        replica = self.own(name)
        replica.core, replica.broken = None, False
        replica.storage = Storage()
        replica.life += 1

    def key(self):
        """Equal for two worlds that differ in nothing but their replicas' names."""
        names = list(self.replicas)
        blind = {n: renamed(self.replicas[n].text(), _blind(n)) for n in names}
        ordered = sorted(names, key=blind.get)
        alike = [list(g) for _, g in itertools.groupby(ordered, key=blind.get)]
        orders = itertools.product(*(itertools.permutations(g) for g in alike))
        found = min(
            self._text([n for g in order for n in g]) for order in itertools.islice(orders, _ORDERS)
        )
        return hashlib.blake2b(found.encode(), digest_size=16).digest()

    def _text(self, order):
        letters = _renamed("".join(order))
        told = [renamed(self.replicas[n].text(), letters) for n in order]
        packets = sorted([renamed(text(p), letters) for p in self.packets])
        spent = sorted((k, v) for k, v in self.spent.items() if v)
        return "|".join([*told, *packets, renamed(self.history.text(), letters), repr(spent)])

    def running(self):
        return [r for r in self.replicas.values() if r.core is not None]

    def leaders(self):
        return [r for r in self.running() if r.core.group.role == "leader"]


@functools.cache
def _blind(name):
    """Who is meant, as far as it can be said without names."""
    return {ord(n): "S" if n == name else "O" for n in LETTERS}


@functools.cache
def _renamed(order):
    return {ord(n): LETTERS[i] for i, n in enumerate(order)}


def found(settings):
    """A world of founded replicas with empty logs."""
    world = World(settings)
    names = LETTERS[: settings.replicas]
    for name in names:
        world.add(name)
    if not settings.founded:
        return world
    members = tuple(Member(n, n + "0", n) for n in names)
    for replica in world.running():
        group = replica.core.group
        group.group, group.founders = "g", members
        replica.storage.save("promise", groups.save_promise(group).body)
        world.history.look(world, replica)
    return world
