"""Once trouble ends: the same core on running clocks, with nothing lost any more.

`serves_again` takes a world that anything may have happened to, keeps what is lost lost,
and lets the rest run; what was under way is lost as well.  If what runs holds all that
was committed and is a majority of its newest membership, a leader must commit a new
entry, and each running member must catch up, within a bounded number of ticks.
"""

import dataclasses
import random

from replication import group as groups
from transport import events

from simulation.model.forks import NOW_MS
from simulation.model.invariants import Violation
from simulation.model.steps import offer

__all__ = ["serves_again", "within_tolerance", "after_a_loss", "a_round"]

_TICK_MS = 40.0
# Elections take some 0.5 to 1 s each; a replacement waits four of silence.  A minute is
# far more than both, and a state that never serves is told from a slow one.
_TICKS = 1500
# The lead's silence, and a failed first election, show within this.
_AT_LEAST = 40
_LOOK_EACH = 8
# Once trouble ends nothing is dropped, however much is sent at once.
_PACKETS = 1 << 20


def within_tolerance(world):
    """Whether what runs is enough: the freshest log has all that was committed, and a
    majority of its own membership runs.  A member that leaves in order counts as lost,
    unless a machine runs that may take its place, which it must wait for."""
    running = [r for r in world.running() if r.core.group.group]
    if not running:
        return False
    freshest = max(
        running, key=lambda r: (groups.last_term(r.core.group), groups.last_index(r.core.group))
    )
    group = freshest.core.group
    members = groups.members(group)
    up = [r for r in running if r.identity in members]
    leavers = [r for r in up if r.core.leave is not None]
    successors = [r for r in running if r.identity not in members]
    lost = max(0, len(leavers) - len(successors))
    if freshest.identity not in members or len(up) - lost < len(members) // 2 + 1:
        return False
    return _has_all(world, group)


def _has_all(world, group):
    committed = world.history.committed
    if groups.last_index(group) < len(committed):
        return False
    return (
        not committed
        or group.base_index >= len(committed)
        or (groups.term_at(group, len(committed)) == committed[-1][0])
    )


def serves_again(world, seed=1):
    """Run a copy of the world to its end; raise a violation if it doesn't serve."""
    ending = world.fork()
    ending.packets = {}
    ending.settings = dataclasses.replace(ending.settings, packets=_PACKETS)
    chance = random.Random(seed)
    up = {r.identity for r in ending.running()}
    for replica in list(ending.running()):
        core = ending.own(replica.name).core
        core.group.random = random.Random(chance.getrandbits(32))
        for identity, peer in core.group.progress.items():
            if identity in up:
                peer.last_contact_ms = NOW_MS
    now_ms, before = NOW_MS, 0
    for tick in range(_TICKS):
        now_ms += _TICK_MS
        if tick % _LOOK_EACH == 0 and tick >= _AT_LEAST:
            before = before or _probe(ending, now_ms)
            if before and _settled(ending, before):
                return tick
        a_round(ending, now_ms)
    raise Violation("serves-again", _told(ending))


def _probe(world, now_ms):
    """Offer a serving leader a command; how much was committed before it."""
    for leader in world.leaders():
        if leader.core.writer.serving and leader.core.group.term >= max(
            r.core.group.term for r in world.running()
        ):
            before = len(world.history.committed)
            offer(world, leader.name, now_ms)
            return before + 1
    return 0


def a_round(world, now_ms, ticks=True):
    """All that is under way arrives, all that is being written is synced, all tick."""
    under_way, world.packets = world.packets, {}
    for packet in under_way:
        if world.replicas[packet.to].core is not None:
            event = events.Received(packet.sender, packet.message)
            world.handle(packet.to, event, now_ms=now_ms)
    for replica in world.running():
        storage = world.own(replica.name).storage
        for slot in storage.pending():
            last = storage.sync(slot.number)
            world.handle(replica.name, events.Written(last.index, last.term, 1.0), now_ms=now_ms)
    for replica in world.running() if ticks else ():
        world.handle(replica.name, events.Tick(), now_ms=now_ms)


def _settled(world, before):
    """Whether the command offered is committed, and every running member has it."""
    if len(world.history.committed) < before:
        return False
    leaders = [r for r in world.leaders() if r.core.writer.serving]
    if not leaders:
        return False
    leader = max(leaders, key=lambda r: r.core.group.term).core.group
    return all(
        r.core.group.commit >= before and r.core.group.synced >= before
        for r in world.running()
        if r.identity in groups.members(leader)
    )


def _told(world):
    told = []
    for replica in world.replicas.values():
        if replica.core is None:
            told.append(f"{replica.identity} down")
            continue
        group = replica.core.group
        told.append(
            f"{replica.identity} {group.role} term {group.term} last "
            f"{groups.last_term(group)}.{groups.last_index(group)} commit "
            f"{group.commit} of {''.join(sorted(groups.members(group)))}"
        )
    return "; ".join(told)


def after_a_loss(world, step):
    """For a search: judge the ending of each state that just lost something."""
    if step.kind in _LOSSES and within_tolerance(world):
        serves_again(world)


_LOSSES = ("crash", "lose-disk", "leave", "unheard")
