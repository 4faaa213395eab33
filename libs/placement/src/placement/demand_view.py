"""What one pass of placement by demand looks at: engines, copies, askings and claims."""

from dataclasses import dataclass, field

from configuration.schema import rank_of

from placement import engine_view
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

# A claim's least, and what each caller adds for a second that it has waited.
_BASE_PRIORITY = 0.4
_PER_REQUEST = 0.4
# What one who has waited in vain counts beside one who waits.
_UNSERVED_WEIGHT = 1.0
# Callers who left unserved: with fewer nothing is brought up for those to come.
_MIN_UNSERVED = 0.5
# How much less a caller counts for each class that is more urgent than its own.
_CLASS_DISCOUNT = 0.2
# Askings a second that make no difference any more.
_MIN_RATE = 0.001


@dataclass
class DemandView:
    """`engines`: name -> Engine; `copies`: item -> how many hold or load it; `waiting`: item
    -> (since when, weight) of each caller in line; `wished`: items that are waited for, or
    owed to callers who have left; `rates`: item -> askings a second;
    `adapters`: model -> askings a second for its adapters; `idle`: names of the engines that
    may be given an order now; `hosts`: model -> names of the engines where it is up."""

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


def request_rates(demand, now_ms):
    """item -> askings a second, of what has been asked for lately at all."""
    rates = {item: request_rate(demand, now_ms, item) for item in demand.rates}
    return {item: asked for item, asked in rates.items() if asked > _MIN_RATE}


def adapter_rates(rates):
    """model -> askings a second for its adapters."""
    found: dict = {}
    for item, asked in rates.items():
        model, _, adapter = item.partition("/")
        if adapter:
            found[model] = found.get(model, 0.0) + asked
    return found


def waiting_requests(placer, now_ms, name):
    """item -> (since when, weight by class) of each that waits for it in line."""
    found: dict = {}
    for id_, hold in placer.ledger.holds.items():
        if hold["service"] == name:
            since_ms = placer.wait_queue.since_ms.get(id_, now_ms)
            caller = since_ms, 1 / (1 + _CLASS_DISCOUNT * rank_of(hold["class"]))
            for item in {hold["model"], item_name(hold["model"], hold["adapter"])}:
                found.setdefault(item, []).append(caller)
    return found


def wanted_items(view):
    """Items that somebody waits for, or did not long ago without being served: whoever asks
    next finds them up, also if a load takes longer than anybody waits."""
    demand = view.placer.demand
    owing = {
        item
        for item, known in demand.unserved.items()
        if known.service == view.name and unserved(demand, view.now_ms, item) > _MIN_UNSERVED
    }
    return owing | view.waiting.keys()


def copies_of(placer, engines):
    """item -> how many engines hold it or are loading it."""
    found: dict = {}
    for name in engines:
        for item, entry in placer.ledger.engines.get(name, {}).items():
            if entry["verb"] == "load":
                found[item] = found.get(item, 0) + 1
    return found


def priority(view, item):
    """How much may be lost, in askings a second, for an item that is waited for: the
    more so the more wait for it, the longer they have, the more urgent they are and the
    more have waited in vain before them.  While nobody waits, only what is asked for less
    often gives way for those to come."""
    callers = view.waiting.get(item, ())
    if not callers:
        return view.rates.get(item, 0.0)
    oldest_ms = min(since_ms for since_ms, _ in callers)
    waited_s = (view.now_ms - oldest_ms) / 1000
    waiting = sum(weight for _, weight in callers) * (1 + waited_s)
    in_vain = _UNSERVED_WEIGHT * unserved(view.placer.demand, view.now_ms, item)
    return _BASE_PRIORITY + _PER_REQUEST * (waiting + in_vain)


def hosts_of(placer, engines):
    """model -> names of the engines where it is up."""
    found: dict = {}
    for name in engines:
        for item in placer.ledger.engines.get(name, {}):
            if "/" not in item and ledgers.is_loaded(placer.ledger, name, item):
                found.setdefault(item, []).append(name)
    return found


def is_idle(placer, now_ms, engine):
    """Whether an order may be given to an engine now."""
    if placer.demand.pauseMs.get(engine, 0.0) > now_ms:
        return False
    view = placer.engines.get(engine)
    if view is None or not engine_view.count_known(view):
        return False
    entries = placer.ledger.engines.get(engine, {})
    return all(entry["state"] == "loaded" for entry in entries.values())
