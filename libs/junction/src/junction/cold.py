"""Engines that are slow after their start, where the layout says what they bear.

While one is cold, all counters together send it no more a second than it bears:
each has a part of that rate, and at most one request at once.  Where there are
more counters than may press at once, a hash of the engine names those who may.
An engine counts as cold as long as the platform says, and for the whole warm-up
when it comes back from an evacuation, since nobody may have told of it yet.
"""

from waybill.rendezvous import weight

__all__ = ["notice", "is_cold", "take", "ready_in"]

_SPARE = 0.4
_ALLOWED = 4


def notice(r, nowMs, registry, services, usable):
    """Keep up with which engines are cold; `usable(engine)` as the floor has it."""
    for name, engine in registry.engines.items():
        service = services.get(engine["service"])
        if service is None or "warmPerS" not in service:
            continue
        known = r.seenEngines.get(name)
        if known is None or known[0] is not engine:
            if engine.get("warmMs"):
                r.coldUntilMs[name] = nowMs + engine["warmMs"] + 100
        may = usable(engine)
        if known is not None and may and not known[1]:
            r.coldUntilMs[name] = max(
                r.coldUntilMs.get(name, 0.0), nowMs + service.get("warmMs", 0.0)
            )
        r.seenEngines[name] = (engine, may)
    for name in [n for n in r.seenEngines if n not in registry.engines]:
        del r.seenEngines[name]
        r.coldUntilMs.pop(name, None)
        r.coldTokens.pop(name, None)


def is_cold(r, nowMs, engine):
    return nowMs < r.coldUntilMs.get(engine["name"], -1.0)


def _rate(engine, service, crew):
    """(requests a second that are ours, most at once) on a cold engine."""
    perS, count = service["warmPerS"], max(1, len(crew.names))
    pressing = max(1, int(_SPARE * perS) + _ALLOWED)
    if count <= pressing:
        return 0.9 * perS / count, 1.0
    mine = weight(engine["name"], crew.me)
    turn = sum(1 for n in crew.names if n != crew.me and weight(engine["name"], n) > mine)
    return (0.9 * perS / pressing, 1.0) if turn < pressing else (0.0, 0.0)


def _tokens(r, nowMs, engine, service, crew):
    perS, most = _rate(engine, service, crew)
    tokens, atMs = r.coldTokens.get(engine["name"], (most, nowMs))
    return min(most, tokens + (nowMs - atMs) * perS / 1000)


def take(r, nowMs, engine, service, crew, peek=False):
    """Whether one more request may go to a cold engine now; takes its place."""
    tokens = _tokens(r, nowMs, engine, service, crew)
    if tokens < 1.0:
        return False
    if not peek:
        r.coldTokens[engine["name"]] = (tokens - 1.0, nowMs)
    return True


def ready_in(r, nowMs, engine, service, crew):
    """In how many ms a cold engine may have one more of ours."""
    perS, _ = _rate(engine, service, crew)
    if perS <= 0:
        return max(0.0, r.coldUntilMs.get(engine["name"], 0.0) - nowMs)
    return max(0.0, 1.0 - _tokens(r, nowMs, engine, service, crew)) * 1000 / perS
