"""Engines that are slow after their start, where the layout says what they bear.

While one is cold, all counters together send it no more a second than it bears:
each has a part of that rate, and at most one request at once.  Where there are
more counters than may press at once, a hash of the engine names those who may.
An engine counts as cold as long as the platform says, and for the whole warm-up
when it comes back from an evacuation, since nobody may have told of it yet.
"""

from transport.rendezvous import weight

__all__ = ["notice", "is_cold", "take", "ready_in"]

_SPARE = 0.4
_ALLOWED = 4


def notice(r, now_ms, registry, services, usable):
    """Keep up with which engines are cold; `usable(engine)` as the floor has it."""
    for name, engine in registry.engines.items():
        service = services.get(engine["service"])
        if service is None or "warmPerS" not in service:
            continue
        known = r.seen_engines.get(name)
        if known is None or known[0] is not engine:
            if engine.get("warmMs"):
                r.cold_until_ms[name] = now_ms + engine["warmMs"] + 100
        may = usable(engine)
        if known is not None and may and not known[1]:
            r.cold_until_ms[name] = max(
                r.cold_until_ms.get(name, 0.0), now_ms + service.get("warmMs", 0.0)
            )
        r.seen_engines[name] = (engine, may)
    for name in [n for n in r.seen_engines if n not in registry.engines]:
        del r.seen_engines[name]
        r.cold_until_ms.pop(name, None)
        r.cold_tokens.pop(name, None)


def is_cold(r, now_ms, engine):
    return now_ms < r.cold_until_ms.get(engine["name"], -1.0)


def _rate(engine, service, crew):
    """(requests a second that are ours, most at once) on a cold engine."""
    per_s, count = service["warmPerS"], max(1, len(crew.names))
    pressing = max(1, int(_SPARE * per_s) + _ALLOWED)
    if count <= pressing:
        return 0.9 * per_s / count, 1.0
    mine = weight(engine["name"], crew.me)
    turn = sum(1 for n in crew.names if n != crew.me and weight(engine["name"], n) > mine)
    return (0.9 * per_s / pressing, 1.0) if turn < pressing else (0.0, 0.0)


def _tokens(r, now_ms, engine, service, crew):
    per_s, most = _rate(engine, service, crew)
    tokens, at_ms = r.cold_tokens.get(engine["name"], (most, now_ms))
    return min(most, tokens + (now_ms - at_ms) * per_s / 1000)


def take(r, now_ms, engine, service, crew, peek=False):
    """Whether one more request may go to a cold engine now; takes its place."""
    tokens = _tokens(r, now_ms, engine, service, crew)
    if tokens < 1.0:
        return False
    if not peek:
        r.cold_tokens[engine["name"]] = (tokens - 1.0, now_ms)
    return True


def ready_in(r, now_ms, engine, service, crew):
    """In how many ms a cold engine may have one more of ours."""
    per_s, _ = _rate(engine, service, crew)
    if per_s <= 0:
        return max(0.0, r.cold_until_ms.get(engine["name"], 0.0) - now_ms)
    return max(0.0, 1.0 - _tokens(r, now_ms, engine, service, crew)) * 1000 / per_s
