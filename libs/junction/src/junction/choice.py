"""Which engine a leg goes to.

A rendezvous hash over model, adapter and the opening of the prompt keeps like
prompts on one engine's cache, with a bound on how much more than its share an
engine takes.  A freshly started engine's limit grows from almost nothing.
Lower classes may fill only a part of an engine's slots.
"""

from waybill.rendezvous import weight

__all__ = ["choose", "limit", "notice", "broke"]

_PART = {0: 1.0, 1: 0.85, 2: 0.6}
_BOUND = 1.25


def limit(r, nowMs, engine, counters, rank):
    """How many legs this node may have on an engine for a task of this rank."""
    age = nowMs - r.firstMs.get(engine["name"], (None, nowMs))[1]
    part = min(1.0, 0.1 + age / r.terms.rampMs)
    slots = engine["slots"] * part
    if part < 1.0:
        slots = slots / max(1, counters)
    return max(1, int(slots * _PART[rank]))


def notice(r, nowMs, engine, incarnation):
    """A new incarnation, or an engine that broke a leg, starts small again."""
    known = r.firstMs.get(engine)
    if known is None or known[0] != incarnation:
        r.firstMs[engine] = (incarnation, nowMs)


def broke(r, nowMs, engine):
    known = r.firstMs.get(engine)
    r.firstMs[engine] = (known[0] if known else "", nowMs)


def choose(r, nowMs, engines, counters, task, rank):
    free = [e for e in engines
            if r.busy.get(e["name"], 0) < limit(r, nowMs, e, counters, rank)]
    if not free:
        return None
    total = sum(r.busy.get(e["name"], 0) for e in engines) + 1
    bound = max(1, -(-int(total * _BOUND * 100) // (len(engines) * 100)))
    key = f"{task.model}|{task.adapter}|{task.opening}"
    order = sorted(free, key=lambda e: weight(key, e["name"]), reverse=True)
    for engine in order:
        if r.busy.get(engine["name"], 0) < bound:
            return engine
    return min(order, key=lambda e: r.busy.get(e["name"], 0))
