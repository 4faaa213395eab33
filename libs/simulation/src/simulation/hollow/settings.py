"""The size of a hollow fleet, and its configuration and layout.

The settings are those of the platform: depots hold grants, counters work
without news, four shards.  The layout is a written one whose items spell
their facts outright, so that its reader is a few lines.
"""

from dataclasses import dataclass, field

from configuration import documents
from placement import registry_view
from pulleyhitch import config as configs
from transport.rendezvous import weight

__all__ = [
    "Size",
    "READER",
    "Dialect",
    "SERVICE",
    "config_of",
    "layout",
    "names",
    "log_name",
    "model",
    "placed",
    "route",
    "shard",
    "SHARDS",
]

SHARDS = 4
SERVICE = "reroute"


@dataclass(frozen=True)
class Size:
    nodes: int = 30
    engines: int = 100
    models: int = 90
    adapters: int = 200
    asks_per_s: float = 400.0
    loadsPerS: float = 0.1
    changes_per_s: float = 0.0
    whole: bool = False
    restarts_per_s: float = 0.0
    depots: int = 5
    zones: int = 14
    window_s: float = 6.0
    seed: int = 1


@dataclass(frozen=True)
class Dialect:
    """What a core wants of a platform's dialect."""

    reader: object = field(default=None)


def _facts(item):
    return {k: v for k, v in item.items() if k != "name"}


READER = documents.Reader(
    edition="edition",
    routes="routes",
    services="services",
    tenants="tenants",
    upsert="upsert",
    remove="remove",
    route=_facts,
    service=_facts,
    tenant=_facts,
)


def names(size):
    return [f"depot{i}" for i in range(size.depots)] + [
        f"counter{i:03d}" for i in range(size.nodes - size.depots)
    ]


def log_name(size):
    """The depot that no shard falls to, so that the log node does nothing else."""
    free = [f"depot{i}" for i in range(size.depots)]
    for shard in range(SHARDS):
        if len(free) > 1:
            free.remove(max(free, key=lambda name: weight(shard, name)))
    return free[0]


def config_of(size, number, name):
    def address(n, port):
        return f"10.{n // 60000}.{n // 250 % 240}.{n % 250 + 1}:{port}"

    zones = [f"zone{i:02d}" for i in range(size.zones)]
    depot = number < size.depots
    found = configs.check(
        {
            "name": name,
            "role": "depot" if depot else "counter",
            "zone": zones[number % size.zones],
            "zones": zones,
            "address": address(number, 7400),
            "http": address(number, 7401),
            "seeds": [address(n, 7400) for n in range(min(3, size.depots))],
            "folder": "none" if depot else "",
            "shards": SHARDS,
            "depots": size.depots,
            "placers": "depot",
            "worksUnheard": True,
            "provider": "http://list",
            "providerPerS": 1.0,
            "retryRatio": 0.05,
        }
    )
    if not isinstance(found, configs.Config):
        raise ValueError(found)
    return found


def model(number):
    return f"model{number:04d}"


def placed(size, engine):
    """The models that an engine holds from the start: all but a fifth are up."""
    up = max(1, int(0.8 * size.models))
    each = max(2, -(-2 * up // size.engines))
    return {model((engine * each + i) % up) for i in range(min(each, up))}


def room_mb(size):
    each = max(2, -(-2 * max(1, int(0.8 * size.models)) // size.engines))
    return 10000.0 * (each + 1)


def layout(size, edition):
    """A whole layout: one service of all models, a route a region and one to change."""
    per, left = divmod(size.adapters, max(1, size.models))
    models = [
        {
            "name": model(i),
            "roomMb": 10000.0,
            "loadMs": 600.0,
            "adapterMb": 50.0,
            "adapters": [f"a{n}" for n in range(1, 1 + per + (i < left))],
        }
        for i in range(size.models)
    ]
    service = {
        "name": SERVICE,
        "kind": "models",
        "healthPath": "/health",
        "slots": 8,
        "warmMs": 1000.0,
        "warmPerS": 20.0,
        "roomMb": room_mb(size),
        "adapterPlaces": 8,
        "loadsPerS": 11.0,
        "cacheTokens": 100000,
        "models": models,
    }
    return {
        "edition": edition,
        "services": [service],
        "routes": [route(f"region{i}", edition) for i in range(7)],
    }


def route(name, edition):
    return {
        "name": name,
        "host": f"{name}.example",
        "prefix": "/",
        "kind": "stream",
        "holdMs": 20000.0,
        "aimMs": 500.0 + edition % 7,
        "rank": 3,
        "tries": 3,
        "resumable": True,
        "split": [{"service": SERVICE, "weight": 1.0}],
    }


def shard():
    return registry_view.shard_of(SERVICE, SHARDS)
