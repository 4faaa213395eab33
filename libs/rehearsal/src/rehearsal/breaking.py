"""The broken pieces that mutants put in the place of the real ones."""

import sys

from junction import pieces
from logbook import follow

__all__ = [
    "eager",
    "trusting",
    "any_run",
    "fearless",
    "lazy",
    "forgetful",
    "older",
    "no_canvass",
    "own_floor",
    "never_lingers",
    "shareless",
    "stale",
]


def eager(real):
    def ended(r, nowMs, floor, ageMs, crew, token, proof):
        proof = "not-run" if proof == "unknown" else proof
        return real(r, nowMs, floor, ageMs, crew, token, proof)

    return ended


def trusting(stream, piece):
    stream.next += 1
    return pieces.Pass(piece, piece["last"])


def any_run(stream, piece):
    """Whatever comes after a break is passed on, from its beginning if need be."""
    stream.resumes, stream.incarnation = "resumes" in piece, piece.get("incarnation", "")
    stream.next = 0 if stream.resumes else stream.next + 1
    return pieces.Pass(piece, piece["last"])


def fearless(real):
    def begin(r, nowMs, floor, ageMs, crew, task):
        return real(r, nowMs, floor, 0.0, crew, task)

    return begin


def lazy(real):
    """A feed that sends only once in a long while."""

    def push_to(g, node, nowMs):
        return real(g, node, nowMs) if nowMs - node.sentMs > 6000 else []

    return push_to


def forgetful(real):
    def on_view(f, message):
        f.place = 0
        return real(f, message)

    return on_view


def older(f, place):
    return follow.FeedView(f.term, f.place - 1, 0, follow.books.view(f.book))


def no_canvass(real):
    """Nobody canvasses after the first leader."""

    def tick(g, nowMs):
        return [] if g.role != "leader" and g.term >= 1 else real(g, nowMs)

    return tick


def own_floor(r, nowMs, engine, crew, rank, service=None):
    """Every counter its own ramp, never below one place."""
    ageMs = nowMs - r.firstMs.get(engine["name"], (None, nowMs))[1]
    part = min(1.0, 0.1 + ageMs / r.terms.rampMs)
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
