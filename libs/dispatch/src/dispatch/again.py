"""Calls to engines and what their answers prove.

An order is called once; its answer says whether it was taken.  An order that was
taken is given again when it should be done: an engine that holds it answers so at
once, sooner than its reports tell.  Giving it again can do no harm, since it is
the same order under the same epoch.
"""

from waybill.effects import Call, Wake

from dispatch import ledger as ledgers
from dispatch import line, world
from dispatch.state import log

__all__ = ["call", "due", "on_answer"]

_ADAPTER_MS = 15.0
_LEAST_PAUSE_MS = 20.0


def call(p, nowMs, id_, verb, engine, body, terms, item, order, notAfterMs=float("inf")):
    """A call to an engine, remembered until it ends."""
    p.calls[id_] = (verb, engine["name"], item, order, nowMs)
    return Call(
        f"{p.shard}|{p.epoch}|{id_}",
        engine["name"],
        engine["url"],
        verb,
        body,
        terms.callMs,
        notAfterMs,
    )


def on_answer(p, nowMs, id_, called, verb, engine, item, order, terms):
    """Log what an order's answer proves."""
    entry = p.ledger.engines.get(engine, {}).get(item)
    if entry is None or entry["order"] != order:
        return
    first = id_ == order
    state = _answered(called, verb)
    if not first and state in ("refused", "unknown", "taken"):
        return
    if state in ("loaded", "unloaded"):
        _done(p, nowMs, engine, item, entry, state)
    if first:
        p.callEndMs[order] = nowMs
    if state == "refused":
        p.refusedMs[engine, item] = nowMs
        p.demand.pauseMs[engine] = nowMs + terms.callMs / 10
    log(p, ledgers.state_record(engine, item, order, state))


def _done(p, nowMs, engine, item, entry, state):
    """An order was carried out, by the engine's own word."""
    p.changedMs[engine] = nowMs
    p.againMs.pop(entry["order"], None)
    if state == "loaded":
        p.demand.upMs[engine, item] = nowMs
        p.demand.before.setdefault(engine, set()).add(item)
        if "/" not in item:
            line.learn(p, nowMs, entry["service"], entry["order"])


def _answered(called, verb):
    """What an order's answer proves; no answer proves nothing."""
    if called.code == 202:
        return "taken"
    if called.code == 200:
        return "loaded" if verb == "load" else "unloaded"
    if called.code in (400, 404, 409, 412, 421, 429, 503) or not called.begun:
        return "refused"
    return "unknown"


def due(p, nowMs, registry, name, terms, grantEndMs):
    """Calls that give again what was taken and should be done by now."""
    lastMs = grantEndMs - terms.callMs
    if nowMs >= lastMs or p.held.lost:
        return []
    effects, soonMs = [], float("inf")
    for engine in world.engines_of(registry, name):
        if not world.usable(registry, engine):
            continue
        for item, entry in p.ledger.engines.get(engine["name"], {}).items():
            order, endMs = entry["order"], p.callEndMs.get(entry["order"])
            if entry["state"] != "taken" or endMs is None or f"again:{order}" in p.calls:
                continue
            usualMs = (
                p.loadMs.get(name, 500.0)
                if (entry["verb"] == "load" and "/" not in item)
                else _ADAPTER_MS
            )
            nextMs, pauseMs = p.againMs.get(order, (endMs + 0.7 * usualMs, 0.05 * usualMs))
            if nowMs < nextMs:
                soonMs = min(soonMs, nextMs)
                continue
            pauseMs = max(_LEAST_PAUSE_MS, 1.4 * pauseMs)
            p.againMs[order] = (nowMs + pauseMs, pauseMs)
            effects.append(
                call(
                    p,
                    nowMs,
                    f"again:{order}",
                    entry["verb"],
                    engine,
                    {"epoch": p.epoch, "item": item, "order": order},
                    terms,
                    item,
                    order,
                    lastMs,
                )
            )
            soonMs = min(soonMs, nowMs + pauseMs)
    return effects + ([Wake(soonMs)] if effects or soonMs < float("inf") else [])
