"""Cold engines: slow after their start, with a warm-up rate set in the layout.

While an engine is cold, all routing nodes (counters) together keep to that rate:
each gets a part of it and a token bucket that holds one token.  If there are more nodes than the
rate can be divided among, a hash of the engine's name selects those that may send.
An engine is cold for as long as the platform reports, and for the whole warm-up
after an evacuation, because the platform may not have reported it yet.
"""

from transport.rendezvous import weight

__all__ = ["update", "is_cold", "take_token", "ms_until_token"]

# The rate is divided among _MIN_NODES nodes, and this many more for each request a second.
_NODES_PER_RATE = 0.4
_MIN_NODES = 4


def update(router, now_ms, registry, services, usable):
    """Update which engines are cold; `usable(engine)` says whether an engine may serve."""
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
    """Whether an engine is still warming up."""
    return now_ms < router.cold_until_ms.get(engine["name"], -1.0)


def _rate(engine, service, nodes):
    """(requests a second, bucket capacity) of this node for a cold engine."""
    per_s, count = service["warmPerS"], max(1, len(nodes.names))
    senders = max(1, int(_NODES_PER_RATE * per_s) + _MIN_NODES)
    if count <= senders:
        return 0.9 * per_s / count, 1.0
    own_weight = weight(engine["name"], nodes.own_name)
    hash_rank = sum(
        1 for n in nodes.names if n != nodes.own_name and weight(engine["name"], n) > own_weight
    )
    return (0.9 * per_s / senders, 1.0) if hash_rank < senders else (0.0, 0.0)


def _tokens(router, now_ms, engine, service, nodes):
    """The tokens that this node has for a cold engine now."""
    per_s, capacity = _rate(engine, service, nodes)
    tokens, at_ms = router.cold_tokens.get(engine["name"], (capacity, now_ms))
    return min(capacity, tokens + (now_ms - at_ms) * per_s / 1000)


def take_token(router, now_ms, engine, service, nodes, peek=False):
    """Whether a request may be sent to a cold engine now; takes a token unless `peek` is set."""
    tokens = _tokens(router, now_ms, engine, service, nodes)
    if tokens < 1.0:
        return False
    if not peek:
        router.cold_tokens[engine["name"]] = (tokens - 1.0, now_ms)
    return True


def ms_until_token(router, now_ms, engine, service, nodes):
    """The milliseconds until this node has a token for a cold engine."""
    per_s, _ = _rate(engine, service, nodes)
    if per_s <= 0:
        return max(0.0, router.cold_until_ms.get(engine["name"], 0.0) - now_ms)
    return max(0.0, 1.0 - _tokens(router, now_ms, engine, service, nodes)) * 1000 / per_s
