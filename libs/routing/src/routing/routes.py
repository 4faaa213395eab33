"""Matches a caller's request to a route by host and longest path prefix, and picks one of the
services that the route is split among."""

import hashlib

__all__ = ["match", "service_for"]


def _index(registry):
    """{host: {prefix: (name, route)}}, built once for each layout."""
    if "routes" not in registry.memo:
        found: dict = {}
        for section in registry.sections.values():
            for name, route in section["routes"].items():
                if "prefix" in route:
                    found.setdefault(route["host"].lower(), {})[route["prefix"]] = (name, route)
        registry.memo["routes"] = found
    return registry.memo["routes"]


def match(registry, host, path):
    """(name, route) of the longest prefix of the path, or None."""
    prefixes = _index(registry).get(host.lower().partition(":")[0])
    path = path.partition("?")[0]
    end = len(path)
    while prefixes and (end := path.rfind("/", 0, end)) >= 0:
        found = prefixes.get(path[: end + 1])
        if found is not None:
            return found
    return None


def service_for(route, id_):
    """A service of the route's split, by weight; the same id always gets the same service."""
    split = [s for s in route["split"] if s["weight"] > 0]
    if len(split) == 1:
        return split[0]["service"]
    digest = hashlib.blake2b(id_.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64 * sum(s["weight"] for s in split)
    for share in split:
        position -= share["weight"]
        if position < 0:
            return share["service"]
    return split[-1]["service"]
