"""What a restart costs after many changes: one depot on a real folder, on a clock of its
own, with what it reads and applies counted."""

import random
import time
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

from configuration import documents
from pulleyhitch import config as configs
from pulleyhitch import node as nodes
from replication import disk as disks
from replication import group as replicas
from transport import events as e
from transport.effects import Install, Reply, Save, Send, Write
from transport.messages import Member

__all__ = ["Restart", "SingleDepot", "measure"]


def _facts(item):
    return {key: value for key, value in item.items() if key != "name"}


# A form in which items are written as the facts that they stand for.
_READER = documents.Reader(
    edition="edition",
    routes="routes",
    services="services",
    tenants="tenants",
    upsert="upsert",
    remove="remove",
    route=_facts,
    service=_facts,
    tenant=_facts,
)
_SEGMENT_BYTES = 8 << 20
_TICK_MS = 40.0
_SETTLE_MS = 20_000.0


@dataclass(frozen=True)
class Restart:
    """What a start read and did until it knew the newest change, and how long it took."""

    folder_bytes: int
    entries: int
    records: int
    checkpoint_bytes: int
    seconds: float


class SingleDepot:
    """A depot that is its own majority; what it sends itself arrives at once."""

    def __init__(self, folder, reader, on_message=None):
        self._folder, self._reader = folder, reader
        self._on_message = on_message or (lambda message: None)
        self._now_ms, self._asked, self._answers = 0.0, 0, {}
        raw = {
            "name": "d0",
            "role": "depot",
            "zone": "z",
            "address": "127.0.0.1:7400",
            "http": "127.0.0.1:7401",
            "seeds": ["127.0.0.1:7400"],
            "folder": str(folder),
            "depots": 1,
            "shards": 2,
            "placers": "depot",
        }
        self._config = configs.check(raw)
        self.start()

    def start(self):
        """Open the folder as a new process does."""
        self.disk = disks.Disk(self._folder, _SEGMENT_BYTES)
        loaded = self.disk.loaded
        if loaded.files["identity"] is None:
            self.disk.write(Save("identity", b"d0"))
        replica = replicas.Replica(
            "d0", "d0", self._config.address, configs.times(self._config), random.Random(1)
        )
        replicas.open_replica(replica, loaded.files, loaded.entries)
        if not replica.group:
            replica.group = "g"
            replica.founders = (Member("d0", "d0", self._config.address),)
            self.disk.write(replicas.save_persistent_state(replica))
        dialect = SimpleNamespace(reader=self._reader)
        life = f"d0.{self._now_ms}"
        self.node = nodes.make(self._config, life, 1, replica, dialect)

    def stop(self):
        self.disk.close()

    def until(self, done):
        """Ticks until `done()`."""
        end_ms = self._now_ms + _SETTLE_MS
        while not done():
            if self._now_ms > end_ms:
                raise AssertionError("not done in time")
            self._tick()

    def _tick(self):
        self._now_ms += _TICK_MS
        self._handle(e.Tick())

    def change(self, body):
        """The answer to a written change, once it has one."""
        self._asked += 1
        token = f"t{self._asked}"
        self._handle(e.LocalRequest(token, "written", body))
        self._tick()
        self.until(lambda: token in self._answers)
        return self._answers.pop(token)

    def serving(self):
        owner = self.node.ownership.owners.get(0)
        return owner is not None and owner.held.ready

    def _handle(self, event):
        queue = [event]
        while queue:
            for effect in nodes.handle(self.node, self._now_ms, queue.pop(0)):
                queue += self._do(effect)

    def _do(self, effect):
        if isinstance(effect, (Save, Install)):
            self.disk.write(effect)
        elif isinstance(effect, Write):
            last = effect.entries[-1]
            self.disk.write(effect)
            return [e.Written(last.index, last.term, 0.1)]
        elif isinstance(effect, Reply):
            self._answers[effect.token] = effect.outcome
        elif isinstance(effect, Send) and effect.to == self._config.address:
            self._on_message(effect.message)
            return [e.Received(effect.to, effect.message)]
        return []

    def restart(self):
        """Stop, start, and wait until the newest change is known; what it took."""
        self.until(lambda: self.node.follower.position == self.node.depot.group.commit)
        edition = self.node.cluster.registry.document["edition"]
        self.stop()
        folder_bytes = sum(p.stat().st_size for p in Path(self._folder).iterdir())
        began_s = time.process_time()
        self.start()
        self.until(lambda: self.node.cluster.registry.document["edition"] == edition)
        self.until(self.serving)
        part = self.node.depot.group.state.shards[0]
        return Restart(
            folder_bytes,
            len(self.disk.loaded.entries),
            len(part.records),
            len(part.checkpoint),
            time.process_time() - began_s,
        )


def _route(number, edition):
    return {
        "name": f"route-{number}",
        "host": "www.example",
        "prefix": f"/{number}/",
        "kind": "safe",
        "holdMs": 5000.0,
        "aimMs": float(edition),
        "split": [{"service": "service", "weight": 1.0}],
        "note": "x" * 120,
    }


def measure(routes, changes, folder, say=print):
    """Change one of so many routes so many times, and start anew; what it took."""
    depot = SingleDepot(folder, _READER)
    depot.until(depot.serving)
    whole = {
        "edition": 1,
        "routes": [_route(number, 1) for number in range(routes)],
        "services": [{"name": "service", "kind": "plain"}],
    }
    depot.change({"expect": 0, "written": whole, "partial": False, "change": "c1"})
    took_ms = []
    for edition in range(2, changes + 2):
        told = {"edition": edition, "upsert": {"routes": [_route(edition % routes, edition)]}}
        body = {"expect": edition - 1, "written": told, "partial": True, "change": f"c{edition}"}
        began_s = time.process_time()
        answer = depot.change(body)
        took_ms.append(1000 * (time.process_time() - began_s))
        if answer.status != 200:
            raise AssertionError(f"refused: {answer}")
    took_ms.sort()
    restart = depot.restart()
    say(
        f"{routes} routes, {changes} changes: {took_ms[len(took_ms) // 2]:.1f} ms of processor "
        f"time a change (median), {took_ms[-1]:.1f} at worst; a start read "
        f"{restart.folder_bytes} bytes, {restart.entries} entries, {restart.records} records "
        f"after a checkpoint of {restart.checkpoint_bytes} bytes, in {restart.seconds:.2f} s"
    )
    return restart
