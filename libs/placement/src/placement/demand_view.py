"""The input of one pass of placement by demand: engines, copies, request rates and priorities."""

from dataclasses import dataclass, field

from configuration.schema import rank_of

from placement import engine_view, registry_view
from placement import ledger as ledgers
from placement.demand import request_rate, unserved
from placement.placement import item_name

__all__ = [
    "DemandView",
    "adapter_rates",
    "priority",
    "copies_of",
    "hosts_of",
    "is_idle",
    "request_rates",
    "waiting_requests",
]

# Priority of an item with waiting requests, in requests per second: a base, and what each waiting
# request adds.
_BASE_PRIORITY = 0.4
_PER_REQUEST = 0.4
# Weight of a request that ended unserved, relative to a waiting one.
_UNSERVED_WEIGHT = 1.0
# With less unserved demand, an item isn't loaded for future requests.
_MIN_UNSERVED = 0.5
# How much less a request counts for each class that is more urgent than its own.
_CLASS_DISCOUNT = 0.2
# Requests per second below which the rate of an item is left out.
_MIN_RATE = 0.001


@dataclass
class DemandView:
    """`name`, `service`: the service and its configuration; `engines`: name -> Engine; `copies`:
    item -> how many engines hold or load it; `waiting`: item -> (since when, weight) of each
    waiting request; `wanted`: items with waiting requests or unserved demand; `rates`: item ->
    requests per second; `adapter_rates`: model -> requests per second for its adapters; `idle`:
    names of engines that can be given an order now; `hosts`: model -> names of engines where it
    is loaded."""

    placer: object
    now_ms: float
    registry: object
    name: str
    service: dict
    engines: dict
    copies: dict
    waiting: dict
    wanted: set = field(default_factory=set)
    rates: dict = field(default_factory=dict)
    adapter_rates: dict = field(default_factory=dict)
    idle: set = field(default_factory=set)
    hosts: dict = field(default_factory=dict)


def request_rates(demand, now_ms, registry):
    """item -> requests per second, of items with recent requests that the configuration lists."""
    rates = {item: request_rate(demand, now_ms, item) for item in demand.rates}
    return {
        item: requests_per_s
        for item, requests_per_s in rates.items()
        if requests_per_s > _MIN_RATE and registry_view.is_listed(registry, item)
    }


def adapter_rates(rates):
    """model -> requests per second for its adapters."""
    found: dict = {}
    for item, requests_per_s in rates.items():
        model, _, adapter = item.partition("/")
        if adapter:
            found[model] = found.get(model, 0.0) + requests_per_s
    return found


def waiting_requests(placer, now_ms, name):
    """item -> (since when, weight by class) of each request that waits for it."""
    found: dict = {}
    for id_, hold in placer.ledger.holds.items():
        if hold["service"] == name:
            since_ms = placer.wait_queue.since_ms.get(id_, now_ms)
            request = since_ms, 1 / (1 + _CLASS_DISCOUNT * rank_of(hold["class"]))
            for item in {hold["model"], item_name(hold["model"], hold["adapter"])}:
                found.setdefault(item, []).append(request)
    return found


def wanted_items(view):
    """Listed items with waiting requests or recent unserved demand.  The latter gets an item loaded
    for later requests even if a load takes longer than any request waits."""
    demand = view.placer.demand
    unserved_items = {
        item
        for item, known in demand.unserved.items()
        if known.service == view.name and unserved(demand, view.now_ms, item) > _MIN_UNSERVED
    }
    return {
        item
        for item in unserved_items | view.waiting.keys()
        if registry_view.is_listed(view.registry, item)
    }


def copies_of(placer, engines):
    """item -> how many engines hold or load it."""
    found: dict = {}
    for name in engines:
        for item, entry in placer.ledger.engines.get(name, {}).items():
            if entry["verb"] == "load":
                found[item] = found.get(item, 0) + 1
    return found


def priority(view, item):
    """How much value, in requests per second, may be evicted to load an item.  It grows with the
    number of waiting requests, the longest wait, their urgency and the unserved demand.  Without
    waiting requests, an item only displaces items that are requested less often."""
    requests = view.waiting.get(item, ())
    if not requests:
        return view.rates.get(item, 0.0)
    oldest_ms = min(since_ms for since_ms, _ in requests)
    waited_s = (view.now_ms - oldest_ms) / 1000
    waiting_weight = sum(weight for _, weight in requests) * (1 + waited_s)
    unserved_weight = _UNSERVED_WEIGHT * unserved(view.placer.demand, view.now_ms, item)
    return _BASE_PRIORITY + _PER_REQUEST * (waiting_weight + unserved_weight)


def hosts_of(placer, engines):
    """model -> names of the engines where it is loaded."""
    found: dict = {}
    for name in engines:
        for item in placer.ledger.engines.get(name, {}):
            if "/" not in item and ledgers.is_loaded(placer.ledger, name, item):
                found.setdefault(item, []).append(name)
    return found


def is_idle(placer, now_ms, engine):
    """Whether an engine can be given an order now."""
    if placer.demand.pauseMs.get(engine, 0.0) > now_ms:
        return False
    view = placer.engines.get(engine)
    if view is None or not engine_view.count_known(view):
        return False
    entries = placer.ledger.engines.get(engine, {})
    return all(entry["state"] == "loaded" for entry in entries.values())
