"""A few real node cores in virtual time, with an operators' door on each."""

import random

from pulleyhitch import config as configs
from pulleyhitch.operator_requests import CommandResult
from transport import events as e
from transport import failures
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from simulation.sim import disk as disks
from simulation.sim import world as worlds

__all__ = ["BOUNDS", "Cluster", "ZONES"]

ZONES = ("zone-a", "zone-b", "zone-c")
_PORT, _HTTP_PORT = 7400, 7500
BOUNDS = {
    "layoutMs": 2000,
    "leavingMs": 3000,
    "evacuateMs": 5000,
    "serviceBackMs": 12000,
    "acknowledgeMs": 4000,
    "graceMs": 8000,
    "answerMs": 900,
}


class Cluster:
    """`depots` replicas d0, d1, ... and counters c0, c1, ...; `dialect` is the platform's."""

    def __init__(self, seed, dialect, depots=3, counters=1, bounds=BOUNDS):
        self.random = random.Random(seed)
        self.world = worlds.World(seed, random.Random(self.random.random()))
        self.world.dialect = dialect
        self.world.on_call = lambda host, effect, life: None
        self.depots = [f"d{n}" for n in range(depots)]
        self.names = self.depots + [f"c{n}" for n in range(counters)]
        self._count, self._bounds = 0, bounds
        for number, name in enumerate(self.names):
            host = worlds.Host(name, self._config(number, name))
            host.clock_ms = self.random.random() * 1e6
            host.disk = disks.SimDisk() if name in self.depots else None
            self.world.hosts[name] = host
            worlds.after(
                self.world, 300 * self.random.random(), lambda h=host: worlds.boot(self.world, h)
            )

    def _config(self, number, name):
        depot = name in self.depots
        return configs.check(
            {
                "name": name,
                "role": "depot" if depot else "counter",
                "zone": ZONES[number % len(ZONES)],
                "zones": list(ZONES),
                "address": f"10.0.0.{number + 1}:{_PORT}",
                "http": f"10.0.0.{number + 1}:{_HTTP_PORT}",
                "seeds": [f"10.0.0.{n + 1}:{_PORT}" for n in range(3)],
                "folder": "data" if depot else "",
                "placers": "depot",
                "revokeRatio": 0.15,
                "worksUnheard": True,
                "depots": len(self.depots),
                "shards": 4,
                "httpThreads": 8,
                "bounds": self._bounds,
            }
        )

    @property
    def now_ms(self):
        return self.world.now_ms

    def after(self, wait_ms, action):
        worlds.after(self.world, wait_ms, action)

    def spin(self, for_ms):
        """Let virtual time pass."""
        worlds.spin(self.world, self.now_ms + for_ms)

    def leader(self):
        """The node that serves the log, or None."""
        for name, host in self.world.hosts.items():
            if host.node and host.node.depot and host.node.depot.writer.serving:
                return name
        return None

    def holder(self):
        """The node that holds the configuration under the newest epoch, or None."""
        found = [
            (owner.epoch, name)
            for name, host in self.world.hosts.items()
            if host.node and (owner := host.node.ownership.owners.get(0)) and owner.held.ready
        ]
        return max(found)[1] if found else None

    def cut_off(self, name):
        """Nothing passes between a node and the others any more, whichever way."""
        for other in self.names:
            if other != name:
                worlds.cut(self.world, name, other)
                worlds.cut(self.world, other, name)

    def hold_up(self, sender, to, for_ms):
        """What one node sends to another from now on arrives late, and in order."""
        way = sender, self.world.hosts[to].config.address
        due_ms = self.now_ms + for_ms
        self.world.last_ms[way] = max(self.world.last_ms.get(way, 0.0), due_ms)

    def kill(self, name, power=False):
        worlds.kill(self.world, self.world.hosts[name], power)

    def boot(self, name):
        worlds.boot(self.world, self.world.hosts[name])

    def wipe(self, name):
        """A killed node's disk is replaced by an empty one."""
        self.world.hosts[name].disk = disks.SimDisk()

    def freeze(self, name):
        worlds.freeze(self.world.hosts[name])

    def thaw(self, name):
        if self.world.hosts[name].frozen:
            worlds.thaw(self.world, self.world.hosts[name])

    def heal(self):
        """End every trouble: cuts, frozen and dead nodes."""
        worlds.heal(self.world)
        for name, host in self.world.hosts.items():
            self.thaw(name)
            if host.node is None:
                self.boot(name)

    def ask(self, name, verb, body, answered):
        """Hand an event to a node; `answered` gets its outcome, unless it dies before."""
        host = self.world.hosts[name]
        self._count += 1
        token = f"operator-{self._count}"
        self.world.replies[name, host.life, token] = answered
        worlds.post(self.world, host, e.LocalRequest(token, verb, body))
        return token

    def http(self, name, method, path, data, match, answered):
        """An operator's call at a node's door; `answered` gets status and body.  Returns
        what ends the wait when the operator leaves, or None."""
        headers = {} if match is None else {"If-Match": str(match)}
        built = EnvironBuilder(path, method=method, data=data, headers=headers)
        dialect = self.world.dialect
        told = dialect.read_operator_request(Request(built.get_environ()))
        if isinstance(told, failures.Failure):
            status, _, body = dialect.operator_response("", told)
            answered(status, body)
            return None
        verb, asked = told

        def done(outcome):
            status, _, body = dialect.operator_response(verb, outcome)
            answered(status, body)

        token = self.ask(name, verb, asked, done)
        host = self.world.hosts[name]
        return lambda: worlds.post(self.world, host, e.LocalRequest(token, "abandoned", {}))

    def zones(self, name, answered):
        """A confirmed read of the zones evacuated, by the product's own interface."""

        def done(outcome):
            if isinstance(outcome, CommandResult):
                answered(frozenset(outcome.body["evacuated"]))
            else:
                answered(None)

        self.ask(name, "read", {"what": "zones"}, done)
