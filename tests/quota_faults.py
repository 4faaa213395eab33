"""Simulated days with faults for the nodes and depots of `quota_world`; a seed decides each day."""

import random

from quota_records import RateLimit, tenant
from quota_world import World

DAY_MS = 30_000.0
HOT = (6000.0, 15_000.0, 7.5)
CALM = {f"calm{n}" for n in range(5)}


def tenants(flooded=2):
    """Tenants that keep below their limits, and some that send a multiple of their usual load."""
    found = {}
    for number, (load, burst) in enumerate([(0.4, 2), (1, 3), (3, 5), (10, 10), (25, 20)]):
        found[f"calm{number}"] = tenant(f"calm{number}", 1.6 * load, burst, load)
    for number in range(flooded):
        found[f"hot{number}"] = tenant(f"hot{number}", 40, 8, 25, HOT)
    return found


def calm_day(seed, hot=2, counters=12):
    return World(seed, tenants(hot), counters).run(DAY_MS)


def faulty_day(seed):
    """Independent faults at random times, all on one day."""
    rng = random.Random(f"troubles {seed}")
    depots = rng.choice([3, 5])
    world = World(seed, tenants(), 12, depots)
    world.late, world.duplicated = rng.choice([0, 0.01, 0.1]), rng.choice([0, 0.02, 0.2])
    for fault in _FAULTS:
        for _ in range(rng.choice([0, 1, 1, 2])):
            fault(world, rng)
    if rng.random() < 0.7:
        rng.choice([_replaced_member, _resized_group])(world, rng)
    return world.run(DAY_MS)


def _restarted_depot(world, rng):
    name, at_ms = _depot(world, rng), rng.uniform(3000, 20_000)
    world.at(at_ms, world.stop_depot, name)
    world.at(at_ms + rng.choice([50, 500, 4000]), world.restart_depot, name)


def _lost_depot(world, rng):
    world.at(rng.uniform(3000, 25_000), world.stop_depot, _depot(world, rng))


def _paused_nodes(world, rng):
    for _ in range(4):
        name = rng.choice(sorted(world.counters))
        world.at(rng.uniform(3000, 22_000), world.pause, name, rng.uniform(50, 6000))


def _paused_depot(world, rng):
    world.at(rng.uniform(3000, 20_000), world.pause, _depot(world, rng), rng.uniform(50, 8000))


def _partition(world, rng):
    """Some nodes and depots can't reach each other, in one direction or both."""
    counters = rng.sample(sorted(world.counters), 6)
    depots = rng.sample(sorted(world.depots), rng.randrange(1, len(world.depots) + 1))
    to_depots = [(c, d) for c in counters for d in depots]
    back = [(d, c) for c in counters for d in depots]
    links = rng.choice([to_depots, back, to_depots + back])
    world.at(rng.uniform(3000, 20_000), world.cut_links, links, rng.uniform(500, 9000))


def _changed_limits(world, rng):
    name = rng.choice(["hot0", "hot1"])
    for version, at_ms in ((2, rng.uniform(4000, 10_000)), (3, rng.uniform(10_000, 22_000))):
        limit = RateLimit(name, version, rng.choice([10, 20, 80]), rng.choice([2, 30]))
        world.tenants[name].limits.append((at_ms, limit))


def _replaced_member(world, rng):
    """A depot is cut off from the group and goes on granting; it is removed and replaced."""
    gone, at_ms = _depot(world, rng), rng.uniform(3000, 12_000)
    remaining = [name for name in world.depots if name != gone]
    world.at(at_ms, world.cut_off_group.add, gone)
    world.at(at_ms + rng.uniform(0, 2500), world.set_members, *remaining)
    world.at(at_ms + rng.uniform(2600, 5000), world.set_members, *remaining, "new")


def _resized_group(world, rng):
    """The group grows and shrinks; a removed member may not learn of it."""
    names = sorted(world.depots)
    larger = names + [f"n{number}" for number in range(5 - len(names))]
    first, second = sorted(rng.uniform(3000, 16_000) for _ in range(2))
    world.at(first, world.set_members, *names, *larger[len(names) : len(names) + 1])
    world.at(first + 900, world.set_members, *larger)
    smaller = [name for name in larger if name != names[0]]
    if rng.random() < 0.5:
        world.at(second + 900, world.cut_off_group.add, names[0])
    world.at(second + 1000, world.set_members, *smaller)


def _depot(world, rng):
    return rng.choice(sorted(world.depots))


_FAULTS = (_restarted_depot, _lost_depot, _paused_nodes, _paused_depot, _partition, _changed_limits)
