"""Scripted runs: the shortest known way to what a mutant breaks.

On the core as it is each must run to its end; with the mutant that it belongs to, it
breaks an invariant.  Steps that the core does not allow are passed by.
"""

from simulation.model.endings import serves_again, within_tolerance
from simulation.model.hooks import settled
from simulation.model.machine import Settings
from simulation.model.moves import ENTRIES, REPLY, among, attempt, bring, snapshot_to, synced, win
from simulation.model.starts import calm, calm_messages, late, led, removed
from simulation.model.world import found

__all__ = ["SCRIPTS", "run"]


def older_term():
    """An entry of an older term comes to be on a majority, and a later leader lacks it:
    the entry may not have counted as committed."""
    world = led(Settings(per_send=1), commands=0)
    attempt(world, "command", "A")
    synced(world, "A")
    win(world, "B", "C")
    attempt(world, "unheard", "A")
    win(world, "A", "C")
    attempt(world, "heartbeat", "A")
    bring(world, "C", ENTRIES, "A")
    bring(world, "A", REPLY, "C")
    bring(world, "C", ENTRIES, "A")
    synced(world, "C")
    bring(world, "A", REPLY, "C")
    attempt(world, "unheard", "B")
    win(world, "B", "C")
    return world


def late_snapshot():
    """A snapshot arrives after entries past it were acknowledged."""
    world = late()
    attempt(world, "command", "A")
    synced(world, "A")
    refusal = next(p for p in world.packets if p.to == "A")
    for packet in [p for p in world.packets if p.to == "B"]:
        attempt(world, "deliver", "B", packet)
        synced(world, "B")
    for packet in [p for p in world.packets if p.to == "A" and p.message.index == 6]:
        attempt(world, "deliver", "A", packet)
    attempt(world, "deliver", "A", refusal)
    attempt(world, "deliver", "B", snapshot_to(world, "B", "A"))
    return world


def unsynced_commit():
    """A snapshot arrives whose end is known here as committed, but not yet synced."""
    world = late()
    refusal = next(p for p in world.packets if p.to == "A")
    synced(world, "A")
    bring(world, "C", ENTRIES, "A")
    synced(world, "C")
    bring(world, "A", REPLY, "C")
    attempt(world, "deliver", "A", refusal)
    first = next(p for p in world.packets if p.to == "B" and p.sender == "A")
    attempt(world, "deliver", "B", first)
    attempt(world, "heartbeat", "A")
    bring(world, "B", ENTRIES, "A")
    attempt(world, "deliver", "B", snapshot_to(world, "B", "A"))
    return world


def older_snapshot():
    """A snapshot arrives after more than it has was committed."""
    world = late()
    bring(world, "A", REPLY, "B")
    snapshot = snapshot_to(world, "B", "A")
    for _ in range(3):
        calm_messages(world)
        attempt(world, "command", "A")
    calm_messages(world)
    world.packets = {snapshot: None}
    attempt(world, "deliver", "B", snapshot)
    return world


def deposed_read():
    """A leader that was followed without knowing is asked for what is committed."""
    world = led()
    win(world, "B", "C")
    attempt(world, "heartbeat", "B")
    among(world, "BC")
    attempt(world, "command", "B")
    among(world, "BC")
    attempt(world, "read", "A")
    return world


def differing_logs():
    """Entries arrive whose predecessor differs from what is here."""
    world = led()
    attempt(world, "command", "A")
    synced(world, "A")
    win(world, "B", "C")
    attempt(world, "heartbeat", "B")
    among(world, "BC")
    attempt(world, "command", "B")
    bring(world, "A", ENTRIES, "B")
    return world


def removed_member():
    """An acknowledgement of a member arrives after its removal."""
    world = led()
    attempt(world, "heartbeat", "A")
    bring(world, "C", ENTRIES, "A")
    kept = [p for p in world.packets if p.sender == "C"]
    world.packets = {}
    attempt(world, "crash", "C", ())
    world.add("D")
    removed(world)
    world.packets = dict.fromkeys(kept)
    bring(world, "A", REPLY, "C")
    return world


def added_member():
    """The leader is lost right after it added a member that has not heard of it yet."""
    world = led()
    attempt(world, "crash", "C", ())
    world.add("D")
    removed(world)
    attempt(world, "heartbeat", "A")
    bring(world, "B", ENTRIES, "A")
    attempt(world, "crash", "A", ())
    return world


def leaver_needed():
    """A member asks to leave while another lacks what the two others have committed."""
    world = led()
    attempt(world, "command", "A")
    synced(world, "A")
    bring(world, "B", ENTRIES, "A")
    synced(world, "B")
    bring(world, "A", REPLY, "B")
    world.packets = {}
    attempt(world, "leave", "B")
    among(world, "AB")
    return world


def two_groups():
    """A founder loses its disk, and meets two machines that are empty as well."""
    world = found(Settings(founded=False))
    attempt(world, "ask", "A")
    among(world, "ABC")
    attempt(world, "timeout", "A")
    calm(world)
    attempt(world, "lose-disk", "A")
    attempt(world, "restart", "A")
    world.add("D")
    world.add("E")
    world.packets = {}
    for name in "ADE":
        attempt(world, "ask", name)
        among(world, "ADE")
    attempt(world, "timeout", "A")
    among(world, "ADE")
    return world


def _differing_past_a_snapshot():
    """A member holds entries of its own time as leader past the new leader's snapshot."""
    world = led(Settings(keep_bytes=1, keep_entries=0))
    for _ in range(2):
        attempt(world, "command", "A")
        synced(world, "A")
    win(world, "B", "C")
    # As if much had been logged since its last snapshot: the next commit takes one.
    world.own("B").core.group.bytes_since_snapshot = 1 << 20
    attempt(world, "heartbeat", "B")
    among(world, "BC")
    attempt(world, "heartbeat", "B")
    bring(world, "A", ENTRIES, "B")
    bring(world, "B", REPLY, "A")
    return world


def differing_snapshot():
    """A snapshot replaces a log that differs from it, past its end as well."""
    world = _differing_past_a_snapshot()
    attempt(world, "deliver", "A", snapshot_to(world, "A", "B"))
    return world


def torn_snapshot():
    """Power is lost while a snapshot replaces a log that differs past its end."""
    world = _differing_past_a_snapshot()
    attempt(world, "torn-none", "A", snapshot_to(world, "A", "B"))
    attempt(world, "restart", "A")
    return world


SCRIPTS = {
    script.__name__: script
    for script in (
        older_term,
        late_snapshot,
        unsynced_commit,
        older_snapshot,
        deposed_read,
        differing_logs,
        removed_member,
        added_member,
        leaver_needed,
        two_groups,
        differing_snapshot,
        torn_snapshot,
    )
}
_SETTINGS = {
    "differing_snapshot": Settings(keep_bytes=1, keep_entries=0),
    "torn_snapshot": Settings(keep_bytes=1, keep_entries=0),
    "older_term": Settings(per_send=1),
    "late_snapshot": Settings(keep_bytes=1, keep_entries=1),
    "unsynced_commit": Settings(keep_bytes=1, keep_entries=1),
    "older_snapshot": Settings(keep_bytes=1, keep_entries=1),
}


def run(name, judged=None):
    """Run one script, and what follows once trouble ends; raises what it breaks."""
    with settled(_SETTINGS.get(name, Settings()), judged):
        world = SCRIPTS[name]()
        if within_tolerance(world):
            serves_again(world)
    return world
