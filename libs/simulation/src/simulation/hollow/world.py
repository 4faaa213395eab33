"""Hollow hosts in virtual time: real cores, real frames, no sockets or disks.

What a core sends is packed, carried for a while and read again, as between
processes; the processor time of the core's function, of packing and of reading
is the host's.  A write is synced after a fixed time.
"""

import gc
import heapq
import random
import time
from dataclasses import dataclass, field

from pulleyhitch import config as configs
from pulleyhitch import node as nodes
from replication import group as groups
from transport import events as e
from transport import frames
from transport.effects import EngineCall, Reply, Send, Wake, Write

from simulation.hollow import meter as meters

__all__ = ["World", "Host", "HANDLE", "MAKE", "after", "spin", "boot", "post", "restart_meters"]

HANDLE, MAKE = nodes.handle, nodes.make
_LATENCY_MS = (0.2, 1.5)
_SYNC_MS = 2.0


@dataclass
class Host:
    name: str
    config: object
    node: object = None
    meter: meters.Meter = field(default_factory=meters.Meter)
    intakes: dict = field(default_factory=dict)


@dataclass
class World:
    random: random.Random
    now_ms: float = 1000.0
    heap: list = field(default_factory=list)
    count: int = 0
    hosts: dict = field(default_factory=dict)
    by_address: dict = field(default_factory=dict)
    last_ms: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    on_call: object = None
    on_step: object = None


def after(world, wait_ms, action):
    world.count += 1
    heapq.heappush(world.heap, (world.now_ms + wait_ms, world.count, action))


def spin(world, for_ms):
    until_ms = world.now_ms + for_ms
    while world.heap and world.heap[0][0] <= until_ms:
        world.now_ms, _, action = heapq.heappop(world.heap)
        action()
    world.now_ms = until_ms


def restart_meters(world):
    """Count from now on; what is alive is no longer looked through for cycles,
    since a node of its own would look through its own state only."""
    gc.collect()
    gc.freeze()
    gc.disable()
    for host in world.hosts.values():
        host.meter = meters.Meter()


def boot(world, host, dialect, elect_ms=None):
    """Start a core; `elect_ms`: when a depot first canvasses."""
    group = None
    if host.config.role == "depot":
        group = groups.Replica(
            host.name,
            f"{host.name}-disk",
            host.config.address,
            configs.times(host.config),
            random.Random(world.random.getrandbits(32)),
        )
        groups.open_replica(group, {}, [])
        group.elect_at_ms = world.now_ms + elect_ms
    host.node = MAKE(host.config, f"{host.name}.1", world.random.getrandbits(32), group, dialect)
    world.hosts[host.name] = world.by_address[host.config.address] = host
    after(world, world.random.random() * host.node.times.ping_ms, lambda: _tick(world, host))


def _tick(world, host):
    post(world, host, e.Tick(), "Tick")
    after(world, host.node.times.ping_ms / 6, lambda: _tick(world, host))


def post(world, host, event, kind):
    """An event for a host's core; what it costs is counted under `kind`."""
    begun_s = time.process_time()
    effects = HANDLE(host.node, world.now_ms, event)
    packed = [
        (effect, frames.pack(effect.message)) for effect in effects if isinstance(effect, Send)
    ]
    meters.spent(host.meter, kind, time.process_time() - begun_s)
    for effect, data in packed:
        _carry(world, host, effect.to, type(effect.message).__name__, data)
    for effect in effects:
        if not isinstance(effect, Send):
            _do(world, host, effect)
    if world.on_step is not None:
        world.on_step(host)


def _do(world, host, effect):
    if isinstance(effect, Write):
        last = effect.entries[-1]
        after(
            world,
            _SYNC_MS,
            lambda: post(world, host, e.Written(last.index, last.term, _SYNC_MS), "Written"),
        )
    elif isinstance(effect, Reply):
        waiter = world.waiting.pop(effect.token, None)
        if waiter is not None:
            waiter(effect.outcome)
    elif isinstance(effect, EngineCall):
        world.on_call(host, effect)
    elif isinstance(effect, Wake):
        after(
            world,
            max(0.01, effect.at_ms - world.now_ms),
            lambda: post(world, host, e.Tick(), "Wake"),
        )


def _carry(world, host, to, kind, data):
    target = world.by_address.get(to)
    if target is None:
        return
    if target is not host:
        meters.sent(host.meter, kind, len(data))
    low, high = _LATENCY_MS
    at_ms = max(
        world.last_ms.get((host.name, to), 0.0),
        world.now_ms + low + (high - low) * world.random.random(),
    )
    world.last_ms[host.name, to] = at_ms
    after(world, at_ms - world.now_ms, lambda: _arrive(world, host, target, kind, data))


def _arrive(world, host, target, kind, data):
    if target is not host:
        meters.took(target.meter, kind, len(data))
    begun_s = time.process_time()
    found, broken = frames.feed(target.intakes.setdefault(host.name, frames.FrameBuffer()), data)
    meters.spent(target.meter, kind, time.process_time() - begun_s)
    assert broken is None
    for message in found:
        post(world, target, e.Received(host.config.address, message), kind)
