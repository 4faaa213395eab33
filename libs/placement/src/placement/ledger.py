"""The replicated state of a service shard: orders, items on engines, waiting requests.

Every entry of an engine is charged, whatever its state, until a report or a refusal proves that
the engine doesn't hold the item.  The lease holder and all followers update their ledgers with
`apply`.  Attributes and record keys are part of the stored format.
"""

import json
from dataclasses import dataclass, field

__all__ = [
    "Ledger",
    "apply",
    "dump",
    "load",
    "charged",
    "open_loads",
    "is_loading",
    "is_open_load",
    "is_loaded",
    "order_record",
    "state_record",
    "hold_record",
    "unhold_record",
    "unmet_record",
    "found_record",
    "dropped_record",
    "lingered_record",
    "suspect_record",
    "grown_record",
    "cleared_record",
]

_MAX_REJECTED = 500
_OPEN_STATES = ("intended", "taken", "unknown")


@dataclass
class Ledger:
    """`engines`: engine -> item -> entry; `incarnations`: engine -> last reported incarnation;
    `holds`: id -> waiting request; `holdCount`, `orderCount`: number of waiting requests and orders
    logged so far; `unmet`: service -> wish -> why; `told`: id -> [reason, retry after ms] of
    requests rejected while waiting; `lingering`: order -> service, of open loads on removed
    engines; `suspects`: engines that get no work."""

    engines: dict = field(default_factory=dict)
    incarnations: dict = field(default_factory=dict)
    holds: dict = field(default_factory=dict)
    holdCount: int = 0
    orderCount: int = 0
    unmet: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)
    lingering: dict = field(default_factory=dict)
    suspects: dict = field(default_factory=dict)


def _encode(data):
    return json.dumps(data, separators=(",", ":"), sort_keys=True).encode()


def order_record(engine, item, verb, order, mb, places, service):
    return _encode(
        {
            "k": "order",
            "engine": engine,
            "item": item,
            "verb": verb,
            "order": order,
            "mb": mb,
            "places": places,
            "service": service,
        }
    )


def state_record(engine, item, order, state):
    return _encode({"k": "state", "engine": engine, "item": item, "order": order, "state": state})


def found_record(engine, incarnation, items, service, keep=()):
    """An engine has a new incarnation, or holds `items` that no order explains.  `keep`: items
    whose orders may still reach the new incarnation."""
    return _encode(
        {
            "k": "found",
            "engine": engine,
            "incarnation": incarnation,
            "items": items,
            "service": service,
            "keep": sorted(keep),
        }
    )


def hold_record(hold):
    return _encode({"k": "hold", "hold": hold})


def unhold_record(id_, why, retry_ms=0):
    """A request no longer waits; with a `retry_ms`, it was rejected for the reason `why`."""
    return _encode({"k": "unhold", "id": id_, "why": why, "retryMs": retry_ms})


def unmet_record(service, unmet):
    return _encode({"k": "unmet", "service": service, "unmet": unmet})


def apply(ledger, record):
    """Apply a logged record; returns the engine that it concerns, or None.  Malformed records
    and kinds that a later version writes change nothing."""
    try:
        data = json.loads(record)
        kind = data["k"]
    except (ValueError, KeyError, TypeError):
        return None
    if kind == "order":
        ledger.orderCount += 1
        ledger.engines.setdefault(data["engine"], {})[data["item"]] = {
            "verb": data["verb"],
            "order": data["order"],
            "state": "intended",
            "mb": data["mb"],
            "places": data["places"],
            "service": data["service"],
        }
    elif kind == "state":
        _apply_state(ledger, data)
    elif kind == "found":
        _apply_found(ledger, data)
    elif kind == "hold":
        ledger.holdCount += 1
        ledger.holds[data["hold"]["id"]] = {**data["hold"], "turn": ledger.holdCount}
    elif kind == "unhold":
        if ledger.holds.pop(data["id"], None) and data.get("retryMs"):
            ledger.told[data["id"]] = [data["why"], data["retryMs"]]
            while len(ledger.told) > _MAX_REJECTED:
                del ledger.told[next(iter(ledger.told))]
    elif kind == "unmet":
        ledger.unmet[data["service"]] = data["unmet"]
    elif kind == "dropped":
        for entry in ledger.engines.pop(data["engine"], {}).values():
            if is_open_load(entry):
                ledger.lingering[entry["order"]] = entry["service"]
        ledger.incarnations.pop(data["engine"], None)
    elif kind == "grown":
        _apply_grown(ledger, data)
    elif kind == "lingered":
        ledger.lingering.pop(data["order"], None)
    elif kind == "suspect":
        ledger.suspects[data["engine"]] = True
    elif kind == "cleared":
        ledger.suspects.pop(data["engine"], None)
    return data.get("engine")


def _apply_state(ledger, data):
    items = ledger.engines.get(data["engine"], {})
    entry = items.get(data["item"])
    if entry is None or entry["order"] != data["order"]:
        return
    state = data["state"]
    if state in ("unloaded", "forgotten") or (state == "refused" and entry["verb"] == "load"):
        for item in [i for i in items if i == data["item"] or i.startswith(data["item"] + "/")]:
            del items[item]
    elif state in ("refused", "loaded"):
        entry["verb"], entry["state"] = "load", "loaded"
    else:
        entry["state"] = state


def _apply_found(ledger, data):
    if ledger.incarnations.get(data["engine"]) != data["incarnation"]:
        old = ledger.engines.get(data["engine"], {})
        ledger.engines[data["engine"]] = {i: old[i] for i in data.get("keep", ()) if i in old}
        ledger.incarnations[data["engine"]] = data["incarnation"]
    items = ledger.engines.setdefault(data["engine"], {})
    for item, facts in data["items"].items():
        items[item] = {
            "verb": "load",
            "order": "",
            "state": facts["state"],
            "mb": facts["mb"],
            "places": facts["places"],
            "service": data["service"],
            "sized": facts.get("sized", True),
        }


def _apply_grown(ledger, data):
    entry = ledger.engines.get(data["engine"], {}).get(data["item"])
    if entry is not None:
        entry["mb"], entry["places"] = data["mb"], data["places"]


def charged(ledger, engine):
    """(room, adapter places) of an engine's entries, by their sizes when ordered."""
    items = ledger.engines.get(engine, {}).values()
    return sum(i["mb"] for i in items), sum(i["places"] for i in items)


def open_loads(ledger, service, adapters=True):
    """How many loads may still be reading from the weight store.  Without `adapters`, loads of
    adapters aren't counted, except those on removed engines."""
    return sum(
        1
        for items in ledger.engines.values()
        for item, entry in items.items()
        if entry["service"] == service and is_open_load(entry) and (adapters or "/" not in item)
    ) + sum(1 for other in ledger.lingering.values() if other == service)


def is_open_load(entry):
    """Whether an entry is a load that may still be in progress."""
    return entry["verb"] == "load" and entry["state"] in _OPEN_STATES


def is_loading(ledger, items):
    """Whether one of `items` is being loaded by an engine that isn't suspect."""
    return any(
        entry is not None and is_open_load(entry)
        for engine, held in ledger.engines.items()
        if engine not in ledger.suspects
        for entry in map(held.get, items)
    )


def is_loaded(ledger, engine, item):
    """Whether an item is loaded; for an adapter also its model, if that has an entry."""
    items = ledger.engines.get(engine, {})
    model = items.get(item.partition("/")[0])
    return _is_loaded_entry(items.get(item)) and (model is None or _is_loaded_entry(model))


def _is_loaded_entry(entry):
    return bool(entry) and entry["verb"] == "load" and entry["state"] == "loaded"


def dump(ledger):
    return json.dumps(vars(ledger), separators=(",", ":")).encode()


def load(body):
    """The ledger of a checkpoint, an empty one if there is none."""
    return Ledger(**json.loads(body)) if body else Ledger()


def dropped_record(engine):
    """An engine was removed.  Its open loads still count: the weight store may still serve them."""
    return _encode({"k": "dropped", "engine": engine})


def grown_record(engine, item, mb, places):
    """The configuration gave an item on an engine a larger size."""
    return _encode({"k": "grown", "engine": engine, "item": item, "mb": mb, "places": places})


def suspect_record(engine):
    """Too many attempts at an engine failed: it gets no work for a while."""
    return _encode({"k": "suspect", "engine": engine})


def cleared_record(engine):
    """A suspect engine gets work again."""
    return _encode({"k": "cleared", "engine": engine})


def lingered_record(order):
    """The open load of a removed engine no longer counts."""
    return _encode({"k": "lingered", "order": order})
