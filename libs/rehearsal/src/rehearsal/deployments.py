"""The two deployments of the brief, at their sizes, and a small one.

Model and engine names are made up; counts, zones and the mix of traffic are
the brief's.
"""

from dataclasses import dataclass

__all__ = ["Deployment", "ZATACKA", "BYGGESAG", "SMALL", "BY_NAME", "section",
           "engine_list"]


@dataclass(frozen=True)
class Deployment:
    name: str
    zones: tuple
    counters: int
    depots: int
    service: str
    engines: int
    plainService: str
    plainEngines: int
    models: int
    adapters: int
    roomMb: int
    places: int
    slots: int
    loads: tuple
    classes: tuple
    plainPerS: int


ZATACKA = Deployment("zatacka", ("pisek", "tabor", "budejovice"), 8, 3, "guidance", 9,
                     "tiles", 3, 30, 54, 100, 12, 16, (6, 120),
                     (("reroute", 70, True), ("update", 25, False), ("plan", 5, True)), 30)
BYGGESAG = Deployment("byggesag", ("aarhus", "viborg", "horsens"), 9, 3, "planning", 6,
                      "receipts", 3, 35, 40, 140, 12, 16, (2, 24),
                      (("counter", 70, False), ("draft", 25, True), ("review", 5, True)), 25)
SMALL = Deployment("small", ("north", "middle", "south"), 3, 3, "guidance", 3,
                   "tiles", 3, 6, 6, 100, 4, 8, (4, 240),
                   (("reroute", 70, True), ("update", 25, False), ("plan", 5, True)), 10)
BY_NAME = {d.name: d for d in (ZATACKA, BYGGESAG, SMALL)}


def section(d):
    """A partner's section that wishes for every model once, the first few twice."""
    models, wishes, routes = {}, {}, {}
    for number in range(d.models):
        name = f"m{number:02d}"
        count = d.adapters // d.models + (number < d.adapters % d.models)
        models[name] = {"roomMb": 20, "adapters": {f"a{k}": {"places": 1}
                                                   for k in range(count)}}
        if number < d.models - 2:
            wishes[f"w-{name}"] = {"service": d.service, "model": name,
                                   "copies": 2 if number < 4 else 1,
                                   "zones": [], "yields": 10 + number}
        if number < 2 and count:
            wishes[f"w-{name}-a0"] = {"service": d.service, "model": name, "adapter": "a0",
                                      "copies": 1, "zones": [], "yields": 10 + number}
        routes[f"r-{name}"] = {"service": d.service, "model": name}
    atOnce, perMinute = d.loads
    return {"services": {
        d.service: {"kind": "models", "shares": {d.name: 1.0},
                    "loads": {"atOnce": atOnce, "perMinute": perMinute}},
        d.plainService: {"kind": "plain"}},
        "models": models, "wishes": wishes, "routes": routes,
        "weightStore": {"atOnce": atOnce, "perMinute": perMinute}}


def engine_list(d, url_of):
    """The platform's list: every engine joining, zone by zone."""
    found = []
    for kind, service, count in (("e", d.service, d.engines),
                                 ("p", d.plainService, d.plainEngines)):
        for number in range(count):
            name = f"{kind}{number}"
            found.append({"name": name, "state": "join", "service": service,
                          "zone": d.zones[number % len(d.zones)], "url": url_of(name),
                          "roomMb": d.roomMb if kind == "e" else 0,
                          "adapterPlaces": d.places if kind == "e" else 0,
                          "slots": d.slots if kind == "e" else 64})
    return found
