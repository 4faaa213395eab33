"""Engines that are slow after their start, where the layout says what they bear.

While one is cold, all counters together send it no more a second than it bears:
each has a part of that rate, and at most one request at once.  Where there are
more counters than may press at once, a hash of the engine names those who may.
An engine counts as cold as long as the platform says, and for the whole warm-up
when it comes back from an evacuation, since nobody may have told of it yet.
"""

from transport.rendezvous import weight

__all__ = ["update", "is_cold", "take_token", "ms_until_token"]

_NODES_PER_RATE = 0.4
_MIN_NODES = 4


def update(router, now_ms, registry, services, usable):
    """Keep up with which engines are cold; `usable(engine)` as the floor has it."""
    for name, engine in registry.engines.items():
        service = services.get(engine["service"])
        if service is None or "warmPerS" not in service:
            continue
        known = router.known_engines.get(name)
        if known is None or known[0] is not engine:
            if engine.get("warmMs"):
                router.cold_until_ms[name] = now_ms + engine["warmMs"] + 100
        is_usable = usable(engine)
        if known is not None and is_usable and not known[1]:
            router.cold_until_ms[name] = max(
                router.cold_until_ms.get(name, 0.0), now_ms + service.get("warmMs", 0.0)
            )
        router.known_engines[name] = (engine, is_usable)
    for name in [n for n in router.known_engines if n not in registry.engines]:
        del router.known_engines[name]
        router.cold_until_ms.pop(name, None)
        router.cold_tokens.pop(name, None)


def is_cold(router, now_ms, engine):
    return now_ms < router.cold_until_ms.get(engine["name"], -1.0)


def _rate(engine, service, nodes):
    """(requests a second that are ours, most at once) on a cold engine."""
    per_s, count = service["warmPerS"], max(1, len(nodes.names))
    senders = max(1, int(_NODES_PER_RATE * per_s) + _MIN_NODES)
    if count <= senders:
        return 0.9 * per_s / count, 1.0
    mine = weight(engine["name"], nodes.own_name)
    hash_rank = sum(
        1 for n in nodes.names if n != nodes.own_name and weight(engine["name"], n) > mine
    )
    return (0.9 * per_s / senders, 1.0) if hash_rank < senders else (0.0, 0.0)


def _tokens(router, now_ms, engine, service, nodes):
    per_s, most = _rate(engine, service, nodes)
    tokens, at_ms = router.cold_tokens.get(engine["name"], (most, now_ms))
    return min(most, tokens + (now_ms - at_ms) * per_s / 1000)


def take_token(router, now_ms, engine, service, nodes, peek=False):
    """Whether one more request may go to a cold engine now; takes its place."""
    tokens = _tokens(router, now_ms, engine, service, nodes)
    if tokens < 1.0:
        return False
    if not peek:
        router.cold_tokens[engine["name"]] = (tokens - 1.0, now_ms)
    return True


def ms_until_token(router, now_ms, engine, service, nodes):
    """In how many ms a cold engine may have one more of ours."""
    per_s, _ = _rate(engine, service, nodes)
    if per_s <= 0:
        return max(0.0, router.cold_until_ms.get(engine["name"], 0.0) - now_ms)
    return max(0.0, 1.0 - _tokens(router, now_ms, engine, service, nodes)) * 1000 / per_s
