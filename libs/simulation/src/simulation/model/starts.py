"""Worlds from which a search begins: reached by the core itself, step by step.

What lies many steps away from an empty group is brought near by a prelude in which
everything goes well; the search then does its worst from there.
"""

from simulation.model.endings import a_round
from simulation.model.forks import NOW_MS
from simulation.model.machine import LETTERS, Settings
from simulation.model.steps import Step, take
from simulation.model.world import found

__all__ = ["STARTS", "led", "late", "removed", "calm", "calm_messages"]


def calm(world, rounds=6):
    """Let all that is under way arrive and be synced, with nothing else happening."""
    for _ in range(rounds):
        a_round(world, NOW_MS)
    world.packets = {}
    return world


def elect(world, name):
    take(world, Step("timeout", name))
    return calm(world)


def led(settings=None, commands=1):
    """A leader with some committed commands."""
    world = elect(found(settings or Settings()), "A")
    for _ in range(commands):
        command(world, "A")
    world.spent = {}
    return world


def command(world, name):
    take(world, Step("command", name))
    return calm(world)


def replacing(settings=None):
    """A member's disk was lost; its successor of the same name has just started."""
    world = led(settings)
    world.lose_disk("C")
    world.start("C")
    return world


def spare(settings=None):
    """One member lost for good, and an empty machine of another name just started."""
    world = led(settings)
    world.crash("C")
    world.add(LETTERS[len(world.replicas)])
    return world


def joining(settings=None):
    """The lost member is removed, its successor has all; adding it comes next."""
    return removed(spare(settings))


def removed(world):
    """From `spare` on: the leader brings the new machine up, and removes the lost one."""
    take(world, Step("heartbeat", "A"))
    calm(world)
    take(world, Step("gone", "A", "C"))
    calm_messages(world)
    world.spent = {}
    return world


def calm_messages(world, rounds=4):
    """Like `calm`, but no timer fires."""
    for _ in range(rounds):
        a_round(world, NOW_MS, ticks=False)


def successor(settings=None):
    """A full group, and a further machine that has all: the planned replacement's begin."""
    world = led(settings)
    world.add(LETTERS[len(world.replicas)])
    take(world, Step("heartbeat", "A"))
    calm_messages(world)
    world.spent, world.packets = {}, {}
    return world


def late(settings=None):
    """The leader has trimmed its log past a refusal that one member sent long ago."""
    world = led(settings or Settings(keep_bytes=1, keep_entries=1), commands=0)
    for _ in range(2):
        take(world, Step("command", "A"))
    to_b = [p for p in world.packets if p.to == "B"]
    take(world, Step("deliver", "B", to_b[-1]))
    refused = [p for p in world.packets if p.sender == "B"]
    for packet in refused:
        del world.packets[packet]
    for _ in range(3):
        calm_messages(world)
        take(world, Step("command", "A"))
    world.packets.update((packet, None) for packet in refused)
    world.spent = {}
    return world


def _plain(replicas):
    return Settings(replicas)


def _empty(replicas):
    return Settings(replicas, founded=False)


def _trimmed(replicas):
    return Settings(replicas, keep_bytes=1, keep_entries=1)


# Each start: its settings by the number of replicas, and the world made with them.
STARTS = {
    "empty": (_empty, found),
    "founded": (_plain, found),
    "led": (_plain, led),
    "replacing": (_plain, replacing),
    "spare": (_plain, spare),
    "joining": (_plain, joining),
    "successor": (_plain, successor),
    "late": (_trimmed, late),
}
