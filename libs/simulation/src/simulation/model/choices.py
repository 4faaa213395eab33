"""Every step that may come next in a state."""

import itertools

from replication import group as groups
from transport.messages import VoteRequest

from simulation.model.forks import NOW_MS, members_in
from simulation.model.machine import LETTERS
from simulation.model.steps import Step

__all__ = ["choices", "tolerable"]


def choices(world, limits):
    """Every step that may come next, within the limits left for each kind."""
    left = {k: n - world.spent.get(k, 0) for k, n in limits.items()}
    found = []
    for replica in world.replicas.values():
        if replica.core is None:
            found += _stopped(world, replica, left)
        else:
            found += _running(world, replica, left)
    found += _deliveries(world, left)
    if left.get("add", 0) > 0 and len(world.replicas) < len(LETTERS):
        found.append(Step("add", next_name(world)))
    return found


def next_name(world):
    """The name of a machine that joins."""
    return LETTERS[len(world.replicas)]


def tolerable(world, name):
    """Whether every membership that may be in force keeps a majority of its disks when
    this one is lost."""
    intact = {r.identity for r in world.replicas.values() if r.name != name and not r.broken}
    return all(
        len(intact & set(members)) >= len(members) // 2 + 1 for members in _memberships(world)
    )


def _memberships(world):
    found = [world.history.members()]
    committed = len(world.history.committed)
    for replica in world.replicas.values():
        if replica.core is not None:
            entries = replica.core.group.log
        else:
            entries = [e for s in replica.storage.slots for e in s.entries]
        found += [members_in(e.body) for e in entries if e.index > committed and members_in(e.body)]
    founders = [
        r.storage.promise().founders for r in world.replicas.values() if r.storage.promise()
    ]
    if not found[0]:
        found[0] = next((tuple(m.identity for m in f) for f in founders if f), ())
    return [members for members in found if members]


def _stopped(world, replica, left):
    if replica.broken:
        return []
    found = [Step("restart", replica.name)] if left.get("restart", 0) > 0 else []
    if left.get("lose-disk", 0) > 0 and replica.storage.slots and tolerable(world, replica.name):
        found.append(Step("lose-disk", replica.name))
    return found


def _running(world, replica, left):
    name, group = replica.name, replica.core.group
    kinds = [("leave", True)]
    if left.get("lose-disk", 0) > 0:
        kinds.append(("lose-disk", bool(replica.storage.slots) and tolerable(world, name)))
    if group.role == "leader":
        kinds += [
            ("command", replica.core.writer.serving),
            ("read", replica.core.writer.serving),
            ("heartbeat", bool(group.progress)),
            ("unheard", True),
            ("stall", bool(group.writes)),
        ]
    else:
        kinds += [("timeout", bool(group.group)), ("ask", not group.group)]
    found = [Step(kind, name) for kind, may in kinds if may and left.get(kind, 0) > 0]
    if group.role == "leader" and left.get("gone", 0) > 0:
        for other in world.replicas.values():
            if other.identity != replica.identity:
                found.append(Step("gone", name, other.name))
    found += [Step("synced", name, s.number) for s in replica.storage.pending()]
    if left.get("crash", 0) > 0:
        found += [Step("crash", name, kept) for kept in _subsets(replica)]
    return found


def _subsets(replica):
    """Which of the writes under way are on the disk after a loss of power."""
    numbers = [s.number for s in replica.storage.under_way()][:4]
    return [kept for n in range(len(numbers) + 1) for kept in itertools.combinations(numbers, n)]


def _deliveries(world, left):
    found = []
    for packet in world.packets:
        target = world.replicas[packet.to]
        if target.core is None:
            continue
        kinds = ["deliver"]
        if left.get("duplicate", 0) > 0:
            kinds.append("duplicate")
        if (
            left.get("silence", 0) > 0
            and isinstance(packet.message, VoteRequest)
            and (groups.has_live_leader(target.core.group, NOW_MS))
        ):
            kinds.append("silence")
        if left.get("torn", 0) > 0:
            kinds += ["torn-before", "torn-none", "torn-first", "torn-last"]
        found += [Step(kind, packet.to, packet) for kind in kinds]
    return found
