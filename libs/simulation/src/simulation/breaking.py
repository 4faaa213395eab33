"""The broken pieces that mutants put in the place of the real ones."""

import sys

from replication import snapshot_transfer, state_machine
from routing import pieces
from transport.effects import Send
from transport.messages import FeedChunk
from transport.transfer_messages import Chunk

__all__ = [
    "eager",
    "trusting",
    "any_run",
    "fearless",
    "lazy",
    "never_reached",
    "older",
    "no_election",
    "own_floor",
    "never_lingers",
    "shareless",
    "stale",
]


def eager(real):
    def ended(r, now_ms, floor, age_ms, crew, token, proof):
        proof = "not-run" if proof == "unknown" else proof
        return real(r, now_ms, floor, age_ms, crew, token, proof)

    return ended


def trusting(stream, piece):
    stream.next += 1
    return pieces.Forward(piece, piece["last"])


def any_run(stream, piece):
    """Whatever comes after a break is passed on, from its beginning if need be."""
    stream.resumes, stream.incarnation = "resumes" in piece, piece.get("incarnation", "")
    stream.next = 0 if stream.resumes else stream.next + 1
    return pieces.Forward(piece, piece["last"])


def fearless(real):
    def begin(r, now_ms, floor, age_ms, crew, task):
        return real(r, now_ms, floor, 0.0, crew, task)

    return begin


def lazy(real):
    """A feed that sends only once in a long while."""

    def push_to(replica, nodes, node, now_ms):
        return real(replica, nodes, node, now_ms) if now_ms - node.sent_ms > 6000 else []

    return push_to


def never_reached(follow, place):
    """A follower that takes any state, also one older than its own."""
    return False


def older(follow, now_ms, sender, place):
    """A fellow hands on a state from before its own."""
    body = state_machine.snapshot(follow.state)
    snapshot = snapshot_transfer.make_snapshot(follow.position - 1, 0, body)
    chunk = Chunk(snapshot.id, 1, 0, body)
    return [Send(sender, FeedChunk(follow.term, chunk))]


def no_election(real):
    """Nobody canvasses after the first leader."""

    def tick(g, now_ms):
        return [] if g.role != "leader" and g.term >= 1 else real(g, now_ms)

    return tick


def own_floor(r, now_ms, engine, crew, rank, service=None):
    """Every counter its own ramp, never below one place."""
    age_ms = now_ms - r.ramp_starts.get(engine["name"], (None, now_ms))[1]
    part = min(1.0, 0.1 + age_ms / r.settings.ramp_ms)
    return max(1, int(engine["slots"] * part / (len(crew.names) if part < 1 else 1)))


def never_lingers(entry):
    """Open loads count, but not in the record of an engine called gone."""
    return (
        sys._getframe(1).f_code.co_name != "apply"
        and entry["verb"] == "load"
        and entry["state"] in ("intended", "taken", "unknown")
    )


def shareless(real):
    return lambda engines, wishes, shares, present: real(engines, wishes, {}, present)


def stale(real):
    def routing(c):
        found = real(c)
        return type(found)(**{**vars(found), "staleMs": 3000.0})

    return routing
