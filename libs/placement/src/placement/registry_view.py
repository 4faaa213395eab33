"""Derives the input of placement from the registry: engines, wishes, shares and sizes.

Shard 0 holds the layout and the engine list.  Each service belongs to one of the other shards,
chosen by a hash of its name.
"""

import functools
import hashlib

from configuration import registry as registries

from placement.placement import BEST_EFFORT, Engine, Wish, item_name

__all__ = [
    "shard_of",
    "services_of",
    "usable",
    "wishes_of",
    "shares_of",
    "is_listed",
    "item_size",
    "entry_charge",
    "charged",
    "engines_of",
    "placement_engines",
    "engine_room",
]


@functools.lru_cache(4096)
def shard_of(service, shards):
    """The shard that a service belongs to."""
    digest = hashlib.blake2b(service.encode(), digest_size=8).digest()
    return 1 + int.from_bytes(digest, "big") % (shards - 1)


def services_of(registry, shard, shards):
    """name -> service, of the services that belong to a shard."""
    return {n: s for n, s in registries.services(registry).items() if shard_of(n, shards) == shard}


def usable(registry, engine):
    """Whether an engine may get new work: it has joined, and its zone is not evacuated."""
    return engine["state"] == "join" and engine["zone"] not in registry.zones


def engines_of(registry, service):
    """A service's engines, sorted by name."""
    found = [(name, e) for name, e in registry.engines.items() if e["service"] == service]
    return [engine for _, engine in sorted(found)]


def item_size(registry, item):
    """(room in MB, adapter places, partner) of an item, or None if no layout defines it."""
    model, _, adapter = item.partition("/")
    found = registries.models(registry).get(model)
    if found is None:
        return None
    if not adapter:
        return found["roomMb"], 0, found["partner"]
    if adapter not in found["adapters"]:
        return None
    facts = found["adapters"][adapter]
    return facts.get("roomMb", 0), facts["places"], found["partner"]


def is_listed(registry, item):
    """Whether a layout defines an item."""
    return item_size(registry, item) is not None


def entry_charge(registry, item, entry):
    """(room, adapter places) to charge for a ledger entry: the larger of its size when it was
    ordered and its size in the current layout."""
    current = item_size(registry, item) or (0, 0)
    return max(entry["mb"], current[0]), max(entry["places"], current[1])


def charged(registry, ledger, engine):
    """(room, adapter places) that all ledger entries of an engine may be using."""
    items = ledger.engines.get(engine, {})
    charges = [entry_charge(registry, item, entry) for item, entry in items.items()]
    return sum(mb for mb, _ in charges), sum(places for _, places in charges)


def shares_of(service):
    """partner -> share of the service's room; all of it for the service's partner if no shares are
    configured."""
    return service["shares"] or {service["partner"]: 1.0}


def wishes_of(registry, service, ledger):
    """The wishes of the layout, then one for each item that waiting requests need, then one for
    each item already on an engine, which stays only while its room isn't needed."""
    models = registries.models(registry)
    found = []
    for partner, section in sorted(registry.sections.items()):
        for name, wish in sorted(section["wishes"].items()):
            if wish["service"] == service:
                found.append(
                    _make_wish(
                        models,
                        f"{partner}:{name}",
                        partner,
                        wish["model"],
                        wish["adapter"],
                        wish["copies"],
                        tuple(wish["zones"]),
                        wish["yields"],
                    )
                )
    first_turns: dict = {}
    for hold in ledger.holds.values():
        if hold["service"] == service:
            key = (hold["model"], hold["adapter"])
            first_turns[key] = min(first_turns.get(key, hold["turn"]), hold["turn"])
    for number, (_turn, (model, adapter)) in enumerate(
        sorted((t, k) for k, t in first_turns.items())
    ):
        item = item_name(model, adapter)
        if item_size(registry, item):
            found.append(
                _make_wish(
                    models,
                    f"hold:{item}",
                    models[model]["partner"],
                    model,
                    adapter,
                    1,
                    (),
                    BEST_EFFORT + number,
                )
            )
    return found + _already_placed(registry, models, service, ledger)


def _already_placed(registry, models, service, ledger):
    found = []
    for engine, items in sorted(ledger.engines.items()):
        for item, entry in sorted(items.items()):
            if entry["service"] == service and item_size(registry, item):
                model, _, adapter = item.partition("/")
                found.append(
                    _make_wish(
                        models,
                        f"kept:{engine}:{item}",
                        "",
                        model,
                        adapter,
                        1,
                        (),
                        BEST_EFFORT * 100,
                        engine,
                    )
                )
    return found


def _make_wish(models, id_, partner, model, adapter, copies, zones, yields, only=""):
    facts = models[model]
    places = facts["adapters"][adapter]["places"] if adapter else 0
    return Wish(id_, partner, model, adapter, copies, zones, yields, facts["roomMb"], places, only)


def placement_engines(registry, service, reports):
    """Usable engines with a current report; each capacity is the smaller of the configured and
    the reported one."""
    found = []
    for engine in engines_of(registry, service):
        report = reports.get(engine["name"])
        if usable(registry, engine) and report is not None:
            room_mb, places = engine_room(registry, engine)
            found.append(
                Engine(
                    engine["name"],
                    engine["zone"],
                    min(room_mb, report.roomMb),
                    min(places, report.places),
                )
            )
    return found


def engine_room(registry, engine):
    """(room, adapter places) of an engine: its own values, or the defaults of its service."""
    service = registries.services(registry).get(engine["service"], {})
    return (
        engine["roomMb"] or service.get("roomMb", 0),
        engine["adapterPlaces"] or service.get("adapterPlaces", 0),
    )
