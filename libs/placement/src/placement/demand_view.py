"""What one pass of placement by demand looks at: engines, copies, askings and claims."""

from dataclasses import dataclass, field

from configuration.schema import rank_of

from placement import order_counts
from placement.demand import rate
from placement.placement import item_name

__all__ = ["View", "adapter_rates", "claim", "copies_of", "idle", "rates_of", "waiting_of"]

# A claim's least, and what each caller adds for a second that it has waited.
_LEAST = 0.4
_EACH = 0.4
# How much less a caller counts for each class that is more urgent than its own.
_LESS_URGENT = 0.2
# Askings a second that make no difference any more.
_FORGOTTEN = 0.001


@dataclass
class View:
    """`engines`: name -> Engine; `copies`: item -> how many hold or load it; `waiting`: item
    -> (since when, weight) of each caller in line; `rates`: item -> askings a second;
    `adapters`: model -> askings a second for its adapters."""

    placer: object
    now_ms: float
    registry: object
    name: str
    service: dict
    engines: dict
    copies: dict
    waiting: dict
    rates: dict = field(default_factory=dict)
    adapters: dict = field(default_factory=dict)


def rates_of(demand, now_ms):
    """item -> askings a second, of what has been asked for lately at all."""
    rates = {item: rate(demand, now_ms, item) for item in demand.rates}
    return {item: asked for item, asked in rates.items() if asked > _FORGOTTEN}


def adapter_rates(rates):
    """model -> askings a second for its adapters."""
    found = {}
    for item, asked in rates.items():
        model, _, adapter = item.partition("/")
        if adapter:
            found[model] = found.get(model, 0.0) + asked
    return found


def waiting_of(placer, now_ms, name):
    """item -> (since when, weight by class) of each that waits for it in line."""
    found = {}
    for id_, hold in placer.ledger.holds.items():
        if hold["service"] == name:
            since_ms = placer.holds_ms.get(id_, now_ms)
            caller = since_ms, 1 / (1 + _LESS_URGENT * rank_of(hold["class"]))
            for item in {hold["model"], item_name(hold["model"], hold["adapter"])}:
                found.setdefault(item, []).append(caller)
    return found


def copies_of(placer, engines):
    """item -> how many engines hold it or are loading it."""
    found = {}
    for name in engines:
        for item, entry in placer.ledger.engines.get(name, {}).items():
            if entry["verb"] == "load":
                found[item] = found.get(item, 0) + 1
    return found


def claim(view, item):
    """How much may be lost, in askings a second, for an item that is waited for: the
    more so the more wait for it, the longer they have and the more urgent they are."""
    callers = view.waiting.get(item, ())
    oldest_ms = min((since_ms for since_ms, _ in callers), default=view.now_ms)
    waited_s = (view.now_ms - oldest_ms) / 1000
    return _LEAST + _EACH * sum(weight for _, weight in callers) * (1 + waited_s)


def idle(view, engine):
    """Whether an order may be given to an engine now."""
    placer = view.placer
    if placer.demand.pauseMs.get(engine, 0.0) > view.now_ms:
        return False
    if not order_counts.known(placer, engine):
        return False
    items = placer.ledger.engines.get(engine, {})
    return all(entry["state"] == "loaded" for entry in items.values())
