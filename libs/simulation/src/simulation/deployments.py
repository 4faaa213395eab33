"""The two deployments of the brief, at their sizes, and a small one.

Model and engine names are made up; counts, zones and the mix of traffic are
the brief's.
"""

from dataclasses import dataclass

__all__ = ["Deployment", "ZATACKA", "BYGGESAG", "SMALL", "BY_NAME", "sections", "engine_list"]


@dataclass(frozen=True)
class Deployment:
    name: str
    guest: str
    zones: tuple
    counters: int
    depots: int
    service: str
    engines: int
    plain_service: str
    plain_engines: int
    models: int
    adapters: int
    roomMb: int
    places: int
    slots: int
    loads: tuple
    classes: tuple
    plain_per_s: int
    loadMs: float = 300.0


# Classes are (name, weight, streamed, deadline in ms).
ZATACKA = Deployment(
    "zatacka",
    "byggesag",
    ("pisek", "tabor", "budejovice"),
    8,
    3,
    "guidance",
    9,
    "tiles",
    3,
    30,
    54,
    100,
    12,
    16,
    (6, 120),
    (("reroute", 70, True, 8000), ("update", 25, False, 12000), ("plan", 5, True, 30000)),
    30,
    600.0,
)
BYGGESAG = Deployment(
    "byggesag",
    "zatacka",
    ("aarhus", "viborg", "horsens"),
    9,
    3,
    "planning",
    6,
    "receipts",
    3,
    35,
    40,
    140,
    12,
    16,
    (2, 24),
    (("counter", 70, False, 8000), ("draft", 25, True, 12000), ("review", 5, True, 30000)),
    25,
    2500.0,
)
SMALL = Deployment(
    "small",
    "guest",
    ("north", "middle", "south"),
    3,
    3,
    "guidance",
    3,
    "tiles",
    3,
    6,
    6,
    100,
    4,
    8,
    (4, 240),
    (("reroute", 70, True, 8000), ("update", 25, False, 12000), ("plan", 5, True, 30000)),
    10,
)
BY_NAME = {d.name: d for d in (ZATACKA, BYGGESAG, SMALL)}


def sections(d, crowded=False):
    """Both partners' sections, in the order in which they can be set: the guest
    must be there before the owner may give it a share, and the service before
    the guest may wish for it.  Every model is wished for but the last two; with
    `crowded` the guest wants more than the pool has, and somebody must lose."""
    guests = {n for n in range(d.models - 2) if n % 3 == 2}
    empty = {"services": {}, "models": {}, "wishes": {}, "routes": {}}
    owner = {
        **_part(d, [n for n in range(d.models) if n not in guests], False),
        "services": {
            d.service: {
                "kind": "models",
                "shares": {d.name: 0.7, d.guest: 0.3},
                "loads": {"atOnce": d.loads[0], "perMinute": d.loads[1]},
            },
            d.plain_service: {"kind": "plain"},
        },
        "weightStore": {"atOnce": d.loads[0], "perMinute": d.loads[1]},
    }
    return [(d.guest, empty), (d.name, owner), (d.guest, _part(d, sorted(guests), crowded))]


def _part(d, numbers, crowded):
    models, wishes, routes = {}, {}, {}
    for number in numbers:
        name = f"m{number:02d}"
        count = d.adapters // d.models + (number < d.adapters % d.models)
        models[name] = {"roomMb": 20, "adapters": {f"a{k}": {"places": 1} for k in range(count)}}
        if number < d.models - 2:
            copies = d.engines if crowded else 2 if number < 4 else 1
            wishes[f"w-{name}"] = {
                "service": d.service,
                "model": name,
                "copies": copies,
                "zones": [],
                "yields": 10 + number,
            }
        if number < 2 and count:
            wishes[f"w-{name}-a0"] = {
                "service": d.service,
                "model": name,
                "adapter": "a0",
                "copies": 1,
                "zones": [],
                "yields": 10 + number,
            }
        routes[f"r-{name}"] = {"service": d.service, "model": name}
    return {"models": models, "wishes": wishes, "routes": routes}


def engine_list(d, url_of):
    """The platform's list: every engine joining, zone by zone."""
    found = []
    for kind, service, count in (
        ("e", d.service, d.engines),
        ("p", d.plain_service, d.plain_engines),
    ):
        for number in range(count):
            name = f"{kind}{number}"
            found.append(
                {
                    "name": name,
                    "state": "join",
                    "service": service,
                    "zone": d.zones[number % len(d.zones)],
                    "url": url_of(name),
                    "roomMb": d.roomMb if kind == "e" else 0,
                    "adapterPlaces": d.places if kind == "e" else 0,
                    "slots": d.slots if kind == "e" else 64,
                }
            )
    return found
