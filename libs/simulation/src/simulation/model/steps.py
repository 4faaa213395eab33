"""Steps: what may happen to a world, and how it is brought about."""

from dataclasses import dataclass

from replication import state_machine
from transport import events
from transport.messages import BatchSection, FeedRequest, ShardAppend

from simulation.model.forks import NOW_MS
from simulation.model.machine import ELECT_MS
from simulation.model.world import CLIENT

__all__ = ["Step", "take", "offer", "Skipped"]

_LONG_AGO_MS = NOW_MS - 8 * ELECT_MS


class Skipped(Exception):
    """The step can't be taken in this state."""


@dataclass(frozen=True)
class Step:
    """`kind` names what happens, `name` to which replica, `detail` which of several."""

    kind: str
    name: str
    detail: object = None

    def __str__(self):
        told = "" if self.detail is None else f" {_told(self.detail)}"
        return f"{self.kind} {self.name}{told}"


def _told(detail):
    message = getattr(detail, "message", None)
    if message is None:
        return str(detail)
    shown = {k: v for k, v in vars(message).items() if k not in ("body", "entries", "group")}
    if hasattr(message, "entries"):
        shown["entries"] = [(x.index, x.term) for x in message.entries]
    return f"{type(message).__name__}{shown} from {detail.sender}"


def take(world, step):
    """Take a step in place."""
    replica = world.replicas.get(step.name)
    if replica is None:
        if step.kind != "add":
            raise Skipped
        world.spent["add"] = world.spent.get("add", 0) + 1
        world.add(step.name)
        return
    if (replica.core is None) != (step.kind in ("restart",)) and not (step.kind == "lose-disk"):
        raise Skipped
    if step.kind not in ("deliver", "synced"):
        kind = step.kind.partition("-")[0] if step.kind.startswith("torn") else step.kind
        world.spent[kind] = world.spent.get(kind, 0) + 1
    _TAKES[step.kind](world, step)


def _deliver(world, step, keep=False, **more):
    packet = _under_way(world, step.detail)
    if not keep:
        del world.packets[packet]
    event = events.Received(packet.sender, packet.message)
    world.handle(step.name, event, **more)


def _under_way(world, packet):
    """The very packet, or one like it, where steps before it were left out."""
    if packet in world.packets:
        return packet
    for other in world.packets:
        if (other.sender, other.to, type(other.message)) == (
            packet.sender,
            packet.to,
            type(packet.message),
        ):
            return other
    raise Skipped


def _silence(world, step):
    """The voter has not heard of its leader for an election's time."""
    world.own(step.name).core.group.heard_ms = NOW_MS - ELECT_MS
    _deliver(world, step)


def _torn(crash_at, torn):
    """Power is lost in the middle of what the message brings about."""

    def take_it(world, step):
        _deliver(world, step, crash_at=crash_at, torn=torn)
        if world.replicas[step.name].core is not None:
            raise Skipped

    return take_it


def _synced(world, step):
    replica = world.own(step.name)
    if step.detail not in [s.number for s in replica.storage.pending()]:
        raise Skipped
    last = replica.storage.sync(step.detail)
    world.handle(step.name, events.Written(last.index, last.term, 1.0))


def _timeout(world, step):
    group = world.own(step.name).core.group
    if group.role == "leader":
        raise Skipped
    group.elect_at_ms = NOW_MS
    world.handle(step.name, events.Tick())


def _ask(world, step):
    world.own(step.name).core.founder.asked_ms = -1e9
    world.handle(step.name, events.Tick())


def _heartbeat(world, step):
    """The leader's heartbeat to all is due, and nothing was sent again lately."""
    for peer in world.own(step.name).core.group.progress.values():
        peer.sent_ms = _LONG_AGO_MS
        peer.rewound_ms = _LONG_AGO_MS
    world.handle(step.name, events.Tick())


def _unheard(world, step):
    """The leader has heard of nobody for a while."""
    group = world.own(step.name).core.group
    group.led_from_ms = _LONG_AGO_MS
    for other in group.progress.values():
        other.heard_ms = _LONG_AGO_MS
    world.handle(step.name, events.Tick())


def _gone(world, step):
    """The leader has not heard of one replica for long."""
    group = world.own(step.name).core.group
    gone = world.replicas.get(step.detail)
    if gone is None:
        raise Skipped
    for identity, other in group.progress.items():
        if other.name == gone.name and identity != gone.identity or identity == gone.identity:
            other.heard_ms = _LONG_AGO_MS
    world.handle(step.name, events.Tick())


def _leave(world, step):
    """A replica is told to stop, and asks to be let go, once more if it did before."""
    world.handle(step.name, events.Shutdown())
    core = world.replicas[step.name].core
    if core is not None and core.leave is not None:
        core.leave.asked_ms = _LONG_AGO_MS
        world.handle(step.name, events.Tick())


def _stall(world, step):
    group = world.own(step.name).core.group
    if not group.writes:
        raise Skipped
    group.writes[0][3] = _LONG_AGO_MS
    world.handle(step.name, events.Tick())


def _command(world, step):
    if not world.replicas[step.name].core.writer.serving:
        raise Skipped
    offer(world, step.name)


def offer(world, name, now_ms=NOW_MS):
    """A client's next command to a serving leader."""
    replica = world.own(name)
    first = replica.core.writer.next.get(0, 1)
    world.history.commands += 1
    world.history.written = ""
    record = b"c%d" % world.history.commands
    world.history.sent[replica.identity, first] = record
    section = BatchSection(0, 0, state_machine.RECORDS, first, (record,))
    event = events.Received(CLIENT, ShardAppend(CLIENT, "1", section))
    world.handle(name, event, now_ms=now_ms)


def _read(world, step):
    replica = world.own(step.name)
    if not replica.core.writer.serving:
        raise Skipped
    number = float(world.spent["read"])
    world.history.written = ""
    world.history.reads[number] = len(world.history.committed)
    ask = FeedRequest(CLIENT, CLIENT, "1", "reader", number, replica.core.group.commit)
    world.handle(step.name, events.Received(CLIENT, ask))


_TAKES = {
    "deliver": _deliver,
    "duplicate": lambda world, step: _deliver(world, step, keep=True),
    "silence": _silence,
    "torn-before": _torn("sync", ""),
    "torn-none": _torn("install", "none"),
    "torn-first": _torn("install", "first"),
    "torn-last": _torn("install", "last"),
    "synced": _synced,
    "timeout": _timeout,
    "ask": _ask,
    "heartbeat": _heartbeat,
    "unheard": _unheard,
    "gone": _gone,
    "stall": _stall,
    "command": _command,
    "read": _read,
    "leave": _leave,
    "crash": lambda world, step: world.crash(step.name, step.detail or ()),
    "restart": lambda world, step: world.start(step.name),
    "lose-disk": lambda world, step: world.lose_disk(step.name),
}
