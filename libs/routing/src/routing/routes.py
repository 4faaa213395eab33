"""Which route a caller's request takes, by host and longest path prefix, and
which of the route's services a task is split to."""

import hashlib

__all__ = ["match", "service_for"]


def _index(registry):
    """{host: {prefix: (name, route)}}, made once for each layout."""
    if "routes" not in registry.memo:
        found: dict = {}
        for section in registry.sections.values():
            for name, route in section["routes"].items():
                if "prefix" in route:
                    found.setdefault(route["host"].lower(), {})[route["prefix"]] = (name, route)
        registry.memo["routes"] = found
    return registry.memo["routes"]


def match(registry, host, path):
    """(name, route facts) of the longest prefix that begins the path, or None."""
    prefixes = _index(registry).get(host.lower().partition(":")[0])
    path = path.partition("?")[0]
    end = len(path)
    while prefixes and (end := path.rfind("/", 0, end)) >= 0:
        found = prefixes.get(path[: end + 1])
        if found is not None:
            return found
    return None


def service_for(route, id_):
    """A service of the route's split, by weight; the same id gets the same one."""
    split = [s for s in route["split"] if s["weight"] > 0]
    if len(split) == 1:
        return split[0]["service"]
    digest = hashlib.blake2b(id_.encode(), digest_size=8).digest()
    left = int.from_bytes(digest, "big") / 2**64 * sum(s["weight"] for s in split)
    for share in split:
        left -= share["weight"]
        if left < 0:
            return share["service"]
    return split[-1]["service"]
