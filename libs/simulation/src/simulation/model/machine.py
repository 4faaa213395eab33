"""The parts of a world: its settings, its machines and the messages under way."""

from dataclasses import dataclass
from typing import ClassVar

from replication import group as groups

from simulation.model.forks import fork, text
from simulation.model.storage import Storage

__all__ = ["ELECT_MS", "LETTERS", "Machine", "Packet", "Settings", "Steady"]

# An election's time; the core's other times have the ratios of the product's settings.
ELECT_MS = 480.0
# A leaver waits so long to be let go: far longer than an election and a replacement take.
LEAVE_MS = 20_000.0
# Machines are named by these, so that states that differ in names only can be folded.
LETTERS = "ABCDEFGH"


class Steady:
    """Stands in for the core's random numbers: timers fire by choice anyway."""

    def random(self):
        return 0.5


@dataclass(frozen=True)
class Settings:
    """What one exploration runs: how many replicas, how soon a snapshot is taken and how
    much of the log is kept behind it, how many entries go as one and how many messages
    are under way at most."""

    replicas: int = 3
    keep_bytes: int = 1 << 30
    keep_entries: int = 256
    per_send: int = 64
    founded: bool = True
    packets: int = 64
    reread: bool = True

    def times(self, first=True):
        return groups.GroupSettings(
            election_ms=ELECT_MS,
            heartbeat_ms=120.0,
            ping_ms=240.0,
            revoke_ms=3000.0,
            keep_bytes=self.keep_bytes,
            depots=self.replicas,
            founds=first,
            leave_ms=LEAVE_MS,
        )


@dataclass(frozen=True)
class Packet:
    """A message under way."""

    WRITTEN_ONCE: ClassVar[bool] = True
    sender: str
    to: str
    message: object


@dataclass
class Machine:
    """One machine: its disk, and its process while it runs."""

    name: str
    storage: Storage
    life: int = 0
    core: object = None
    broken: bool = False
    written: str = ""

    @property
    def identity(self):
        return f"{self.name}{self.life}"

    def fork(self):
        return Machine(self.name, fork(self.storage), self.life, fork(self.core), self.broken)

    def text(self):
        if not self.written:
            storage = self.storage
            self.written = text(
                [
                    self.name,
                    self.life,
                    self.broken,
                    storage.promise(),
                    storage.view_index(),
                    storage.slots,
                    [storage.first, storage.segment, storage.in_segment, storage.last],
                    storage.tops,
                    storage.orphans,
                    self.core,
                ]
            )
        return self.written
