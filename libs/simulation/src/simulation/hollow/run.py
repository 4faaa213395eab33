"""One hollow run: a fleet of a size brought up, left to settle, then measured."""

import gc
import random
import resource
import time
from dataclasses import dataclass, field

from membership import greetings, peer_table

from simulation.hollow import floor as floors
from simulation.hollow import meter as meters
from simulation.hollow import pace, settings
from simulation.hollow import world as worlds

__all__ = ["Figures", "measure", "role_of", "ROLES"]

ROLES = ("log", "list", "holder", "depot", "counter")
_FOUND_MS, _SETTLE_MS, _SAMPLES = 4000.0, 7000.0, 24


@dataclass
class Figures:
    """Of one run: role -> {"cpuPct", "inBytes", "outBytes", "inCount", "outCount",
    "stateMb", "kinds"}, all a second and a node."""

    size: settings.Size
    roles: dict
    delayMs: list = field(default_factory=list)
    served: int = 0
    refused: dict = field(default_factory=dict)
    loads: int = 0
    rssMb: float = 0.0
    pace: float = 1.0
    took_s: float = 0.0


def _raise(size):
    """The depots found a group and grant shards; then the counters come, and know
    everybody from the first moment, as after a long calm."""
    world = worlds.World(random.Random(size.seed))
    floor = floors.Floor(size, world)
    floors.furnish(floor)
    world.on_call = lambda host, effect: floors.call(floor, host, effect)
    hosts = [
        worlds.Host(name, settings.config_of(size, n, name))
        for n, name in enumerate(settings.names(size))
    ]
    dialect, first = settings.Dialect(settings.READER), settings.log_name(size)
    for host in hosts[: size.depots]:
        worlds.boot(world, host, dialect, 300.0 if host.name == first else 3000.0)
    worlds.spin(world, _FOUND_MS)
    for host in hosts[size.depots :]:
        worlds.boot(world, host, dialect)
    _acquaint(world)
    world.on_step = lambda host: floors.applied(floor, host) if floor.behind else None
    return world, floor


def _acquaint(world):
    group = max(
        (h.node.peers.group for h in world.hosts.values()),
        key=lambda g: (g.term, g.stamp, bool(g.leader)),
    )
    cards = {name: h.node.card for name, h in world.hosts.items()}
    for host in world.hosts.values():
        peers = host.node.peers
        for name, card in cards.items():
            if name != host.name:
                peers.cards[name] = card
                peers.alive_ms[name] = peers.last_contact_ms[name] = world.now_ms
        peer_table.learn_group(peers, group)
        told = greetings.greeting(peers, False, world.now_ms)
        peers.digests = {c.address: (told.digest, told.names_digest) for c in cards.values()}
        peers.settled_turns, peers.turn = 100, world.random.randrange(1, 9)
        peers.next_ms = world.now_ms + world.random.random() * 3 * peers.gossip_ms


def role_of(host):
    node = host.node
    if node.depot is not None and node.depot.writer.serving:
        return "log"
    if 0 in node.ownership.owners:
        return "list"
    if settings.shard() in node.ownership.owners:
        return "holder"
    return host.config.role


def measure(size):
    begun_s = time.monotonic()
    world, floor = _raise(size)
    worlds.spin(world, 1500.0)
    floors.change(floor, settings.layout(size, 1), False)
    worlds.spin(world, _SETTLE_MS)
    floors.ask_on(floor, size.asks_per_s)
    floors.ask_on(floor, size.loadsPerS, True)
    floors.restart_on(floor, size.restarts_per_s, settings.Dialect(settings.READER))
    worlds.spin(world, 2500.0)
    loads, served = floor.loads, floor.served
    floor.took_ms.clear()
    floor.refused.clear()
    worlds.restart_meters(world)
    floors.change_on(floor, size.changes_per_s)
    samples = []
    for _ in range(_SAMPLES):
        worlds.spin(world, size.window_s * 1000 / _SAMPLES)
        samples.append(pace.sample())
    factor = pace.factor(samples)
    gc.enable()
    gc.unfreeze()
    return Figures(
        size,
        _roles(world, size.window_s, factor),
        list(floor.took_ms),
        floor.served - served,
        dict(floor.refused),
        floor.loads - loads,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        factor,
        time.monotonic() - begun_s,
    )


def _roles(world, window_s, factor):
    groups = {}
    for host in world.hosts.values():
        groups.setdefault(role_of(host), []).append(host)
    return {role: _role(groups[role], window_s, factor) for role in ROLES if role in groups}


def _role(hosts, window_s, factor):
    per = window_s * len(hosts)

    def rate(part, what):
        return sum(meters.total(getattr(h.meter, part), what) for h in hosts) / per

    kinds = {}
    for host in hosts:
        for part in ("taken", "given", "worked"):
            for kind, tally in getattr(host.meter, part).items():
                row = kinds.setdefault(kind, {}).setdefault(part, [0.0, 0.0, 0.0])
                for i, value in enumerate((tally.count, tally.bytes, 100 * factor * tally.cpuS)):
                    row[i] += value / per
    return {
        "nodes": len(hosts),
        "cpuPct": 100 * factor * rate("worked", "cpuS"),
        "inCount": rate("taken", "count"),
        "outCount": rate("given", "count"),
        "inBytes": rate("taken", "bytes"),
        "outBytes": rate("given", "bytes"),
        "stateMb": meters.sized(hosts[0].node) / 1e6,
        "kinds": kinds,
    }
