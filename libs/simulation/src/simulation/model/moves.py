"""Moves for scripted runs: steps that are passed by where the core does not allow them."""

from simulation.model.steps import Skipped, Step, take

__all__ = ["attempt", "bring", "synced", "among", "win", "snapshot_to", "ENTRIES", "REPLY"]

# The core's own name for each message used here.
ENTRIES, REPLY = "AppendEntries", "AppendReply"
_CHUNK, _CHUNK_REPLY, _WHOLE = "ReplicaChunk", "ReplicaChunkReply", "SnapshotPart"
_ASKS_VOTE, _VOTE = "VoteRequest", "VoteReply"


def attempt(world, kind, name, detail=None):
    """Take a step if the core allows it."""
    if kind in ("deliver", "torn-none") and detail is None:
        return
    try:
        take(world, Step(kind, name, detail))
    except Skipped:
        pass


def bring(world, to, message, sender="", kind="deliver"):
    """Deliver the newest message of a type to a machine, if there is one."""
    found_packets = [
        p
        for p in world.packets
        if p.to == to and type(p.message).__name__ == message and sender in ("", p.sender)
    ]
    if found_packets:
        attempt(world, kind, to, found_packets[-1])


def synced(world, name):
    """All that a machine is writing is synced."""
    for slot in world.replicas[name].storage.pending():
        attempt(world, "synced", name, slot.number)


def among(world, names, rounds=6):
    """What is under way between some machines arrives, what they write is synced; the
    rest is lost."""
    for _ in range(rounds):
        for packet in list(world.packets):
            if packet.to in names and packet.sender in names:
                attempt(world, "deliver", packet.to, packet)
        for name in names:
            synced(world, name)
    world.packets = {}


def win(world, name, voter):
    """Elect a machine by one other vote; nothing else arrives."""
    for _ in range(4):
        world.packets = {}
        attempt(world, "timeout", name)
        for _ in range(2):
            bring(world, voter, _ASKS_VOTE, name, "silence")
            bring(world, name, _VOTE, voter)
        if world.replicas[name].core.group.role == "leader":
            break
    world.packets = {}
    synced(world, name)


def snapshot_to(world, to, sender):
    """The message that completes a snapshot, which is under way but not delivered.  Sent
    in chunks, the sender first asks what the receiver holds; one chunk is enough here."""
    for _ in range(3):
        whole = [p for p in world.packets if p.to == to and _completes(p.message)]
        if whole:
            return whole[-1]
        bring(world, to, _CHUNK, sender)
        bring(world, sender, _CHUNK_REPLY, to)
    return None


def _completes(message):
    if type(message).__name__ == _CHUNK:
        return bool(message.chunk.body)
    return type(message).__name__ == _WHOLE
