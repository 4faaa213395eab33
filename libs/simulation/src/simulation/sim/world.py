"""The simulated world: virtual time, hosts, and the network between them.

Hosts run the real node core.  A host may be killed, frozen, cut off one way or
both, its disk slowed, stalled or wiped, its clock set off; all from one seed.
"""

import heapq
import random
from dataclasses import dataclass, field

from pulleyhitch import config as configs
from pulleyhitch import node as nodes
from replication import group as groups
from transport import events as e
from transport.effects import EngineCall, Finished, Install, LogLine, Reply, Save, Send, Wake, Write

from simulation.sim import disk as disks
from simulation.sim.network import NetworkTerms, cut, heal, latency, passes, reaches

__all__ = [
    "World",
    "Host",
    "after",
    "boot",
    "kill",
    "freeze",
    "thaw",
    "post",
    "spin",
    "reseed",
    "reaches",
    "passes",
    "latency",
    "cut",
    "heal",
    "NetworkTerms",
]


@dataclass
class Host:
    name: str
    config: object
    disk: object = None
    node: object = None
    clock_ms: float = 0.0
    wallMs: float = 0.0
    frozen: bool = False
    life: int = 0
    waiting: list = field(default_factory=list)
    busy_ms: float = 0.0
    wake_ms: float = float("inf")
    notes: list = field(default_factory=list)


@dataclass
class World:
    seed: int
    random: random.Random
    now_ms: float = 0.0
    heap: list = field(default_factory=list)
    count: int = 0
    hosts: dict = field(default_factory=dict)
    by_address: dict = field(default_factory=dict)
    engines: dict = field(default_factory=dict)
    cuts: set = field(default_factory=set)
    last_ms: dict = field(default_factory=dict)
    network: NetworkTerms = field(default_factory=NetworkTerms)
    replies: dict = field(default_factory=dict)
    on_call: object = None
    dialect: object = None
    on_step: object = None
    steps: int = 0


def after(world, wait_ms, action):
    world.count += 1
    heapq.heappush(world.heap, (world.now_ms + wait_ms, world.count, action))


def spin(world, until_ms):
    """Run everything due up to a time."""
    while world.heap and world.heap[0][0] <= until_ms:
        at_ms, _, action = heapq.heappop(world.heap)
        world.now_ms = max(world.now_ms, at_ms)
        action()
    world.now_ms = until_ms


def boot(world, host):
    """Start a host's process from its disk (if it has one)."""
    host.life += 1
    host.frozen, host.waiting, host.busy_ms = False, [], 0.0
    group = None
    if host.disk is not None:
        files = host.disk.files
        files.setdefault("identity", f"{world.random.getrandbits(48):012x}".encode())
        group = groups.Replica(
            host.name,
            files["identity"].decode(),
            host.config.address,
            configs.times(host.config),
            random.Random(world.random.getrandbits(32)),
        )
        after_index = groups.read_snapshot_file(files["view"])[0] if files.get("view") else 0
        groups.open_replica(group, files, disks.load(host.disk, after_index))
        group.elect_at_ms = local(world, host) + group.times.elect_ms * (1 + world.random.random())
    incarnation, seed = f"{host.name}.{host.life}", world.random.getrandbits(32)
    host.node = nodes.make(host.config, incarnation, seed, group, world.dialect)
    world.by_address[host.config.address] = host
    _ticker(world, host, host.life)


def reseed(world, host):
    """An operator starts a machine whose seeds are all gone with living ones."""
    live = sorted(
        h.config.address for h in world.hosts.values() if h.node is not None and h is not host
    )
    if live and not set(live) & set(host.config.seeds):
        host.config = configs.Config(**{**vars(host.config), "seeds": tuple(live[:3])})


def local(world, host):
    """The host's monotonic clock, the only one that the cores are given."""
    return world.now_ms + host.clock_ms


def wall(world, host):
    """The host's wall clock, which jumps; nothing but broken variants reads it."""
    return world.now_ms + host.clock_ms + host.wallMs


def _ticker(world, host, life):
    if host.life != life or host.node is None:
        return
    tick_ms = host.node.times.ping_ms / 6
    post(world, host, e.Tick())
    after(world, tick_ms, lambda: _ticker(world, host, life))


def kill(world, host, power=False):
    host.life += 1
    host.node = None
    if host.disk is not None:
        if power:
            disks.crash(host.disk, world.random)
        else:
            for number in sorted(host.disk.pending):
                disks.end_write(host.disk, number)
    if host.disk is not None:
        host.disk.pending.clear()


def freeze(host):
    host.frozen = True


def thaw(world, host):
    host.frozen = False
    waiting, host.waiting = host.waiting, []
    ticks = 0
    for event in waiting:
        if isinstance(event, e.Tick):
            ticks += 1
            continue
        _take(world, host, event)
    if ticks and host.node is not None:
        _take(world, host, e.Tick())


def post(world, host, event):
    """An event for a host's owner: now, or when the host can take it."""
    if host.node is None:
        return
    if host.frozen:
        if not (
            isinstance(event, e.Tick) and host.waiting and isinstance(host.waiting[-1], e.Tick)
        ):
            host.waiting.append(event)
        return
    if world.now_ms < host.busy_ms:
        life = host.life
        after(
            world,
            host.busy_ms - world.now_ms + 0.001,
            lambda: post(world, host, event) if host.life == life else None,
        )
        return
    _take(world, host, event)


def _take(world, host, event):
    if host.node is None:
        return
    world.steps += 1
    effects = nodes.handle(host.node, local(world, host), event)
    _do(world, host, effects, host.life)
    if world.on_step:
        world.on_step(host)


def _do(world, host, effects, life):
    for number, effect in enumerate(effects):
        if host.life != life:
            return
        if isinstance(effect, Send):
            _send(world, host, effect)
        elif isinstance(effect, (Save, Install)):
            _sync(world, host, effect, effects[number + 1 :], life)
            return
        elif isinstance(effect, Write):
            _write(world, host, effect, life)
        elif isinstance(effect, Reply):
            waiter = world.replies.pop((host.name, life, effect.token), None)
            if waiter:
                waiter(effect.outcome)
        elif isinstance(effect, EngineCall):
            world.on_call(host, effect, life)
        elif isinstance(effect, Wake):
            wait_ms = max(0.001, effect.at_ms - local(world, host))
            after(
                world, wait_ms, lambda: post(world, host, e.Tick()) if host.life == life else None
            )
        elif isinstance(effect, Finished):
            kill(world, host)
        elif isinstance(effect, LogLine):
            host.notes.append((world.now_ms, effect.what, effect.facts))


def _sync(world, host, effect, rest, life):
    """The owner waits for its disk; what follows the sync waits with it."""
    wait_ms = 20.0 if host.disk.stalled else disks.delay(host.disk, world.random)
    host.busy_ms = world.now_ms + wait_ms

    def done():
        if host.life != life:
            return
        if host.disk.stalled:
            host.busy_ms = world.now_ms + 20.0
            after(world, 20.0, done)
            return
        disks.sync(host.disk, effect)
        _do(world, host, rest, life)

    after(world, wait_ms, done)


def _send(world, host, effect):
    target = world.by_address.get(effect.to)
    if target is None or not passes(world, host.name, target.name):
        return
    key = (host.name, effect.to)
    at_ms = max(world.last_ms.get(key, 0.0), world.now_ms + latency(world))
    world.last_ms[key] = at_ms
    sender, address, message = host.name, host.config.address, effect.message

    def arrive():
        if target.config.address == effect.to and (sender, target.name) not in world.cuts:
            post(world, target, e.Received(address, message))

    after(world, at_ms - world.now_ms, arrive)


def _write(world, host, effect, life):
    number = disks.begin_write(host.disk, effect.entries)
    last = effect.entries[-1]
    wait_ms = disks.delay(host.disk, world.random)

    def done():
        if host.life != life:
            return
        if host.disk.stalled or host.frozen:
            after(world, 20.0, done)
            return
        disks.end_write(host.disk, number)
        post(world, host, e.Written(last.index, last.term, wait_ms))

    after(world, wait_ms, done)
