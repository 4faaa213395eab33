"""Calls to engines and what their answers prove.

An order is called once; its answer says whether it was taken.  An order that was
taken is given again when it should be done: an engine that holds it answers so at
once, sooner than its reports tell.  Either call may reach the engine long after it
has ended here, so both name the count of orders that the engine is to have taken.
"""

from transport.effects import Call, Wake

from placement import ledger as ledgers
from placement import line, order_counts, order_notes, world
from placement.state import PendingCall, log

__all__ = ["call", "due", "on_answer", "order_body"]

_ADAPTER_MS = 15.0
# The status of an engine that isn't the one that an order was meant for.
_ANOTHER_ENGINE = 421
_LEAST_PAUSE_MS = 20.0


def order_body(p, engine, item, order):
    """What every call of an order says, the first one and those that give it again."""
    body = {"epoch": p.epoch, "order": order, "item": item}
    expected = order_counts.expected(p, engine)
    return body if expected is None else {**body, "expected": expected}


def call(p, now_ms, id_, verb, engine, body, terms, item, order, not_after_ms=float("inf")):
    """A call to an engine, remembered until it ends."""
    expected = body.get("expected")
    p.calls[id_] = PendingCall(verb, engine["name"], item, order, now_ms, expected)
    return Call(
        f"{p.shard}|{p.epoch}|{id_}",
        engine["name"],
        engine["url"],
        verb,
        body,
        terms.call_ms,
        not_after_ms,
    )


def on_answer(p, now_ms, id_, called, pending, terms):
    """Log what an order's answer proves."""
    engine, item, order = pending.engine, pending.item, pending.order
    first = id_ == order
    state = _answered(called, pending.verb, first)
    order_notes.answered(p, order, called, state, not first)
    if first and state == "taken":
        order_counts.taken(p, now_ms, engine, pending.expected)
    if called.code == _ANOTHER_ENGINE:
        _replaced(p, now_ms, engine, terms)
    if first and called.code and state in ("refused", "unknown"):
        order_counts.doubt(p, now_ms, engine)
    entry = p.ledger.engines.get(engine, {}).get(item)
    if entry is None or entry["order"] != order:
        return
    if not first and state in ("refused", "unknown", "taken"):
        return
    if state in ("loaded", "unloaded"):
        _done(p, now_ms, engine, item, entry, state)
    if first:
        p.call_end_ms[order] = now_ms
    if state == "refused":
        p.refused_ms[engine, item] = now_ms
        p.demand.pauseMs[engine] = now_ms + terms.call_ms / 10
    log(p, ledgers.state_record(engine, item, order, state))


def _replaced(p, now_ms, engine, terms):
    """Another engine has this one's address.  It answers reports as its own, so for a while
    none is believed and nothing is ordered; by then the platform's list has told."""
    p.reports.pop(engine, None)
    p.replaced_until_ms[engine] = now_ms + terms.dark_ms


def _done(p, now_ms, engine, item, entry, state):
    """An order was carried out, by the engine's own word."""
    p.changed_ms[engine] = now_ms
    p.again_ms.pop(entry["order"], None)
    if state == "loaded":
        p.demand.up_ms[engine, item] = now_ms
        p.demand.before.setdefault(engine, set()).add(item)
        if "/" not in item:
            line.learn(p, now_ms, entry["service"], entry["order"])


def _answered(called, verb, first):
    """What an order's answer proves; no answer proves nothing.  Nor does it prove that there
    is room if an engine, told for the first time to unload what it holds, says that it is
    done: the answer may belong to another call, and only a report tells."""
    if called.code == 202:
        return "taken"
    if called.code == 200 and verb == "load":
        return "loaded"
    if called.code == 200:
        return "unknown" if first else "unloaded"
    if called.code in (400, 404, 409, 412, 421, 429, 503) or not called.begun:
        return "refused"
    return "unknown"


def due(p, now_ms, registry, name, terms, lease_end_ms):
    """Calls that give again what was taken and should be done by now."""
    last_ms = lease_end_ms - terms.call_ms
    if now_ms >= last_ms or p.held.lost:
        return []
    effects, soon_ms = [], float("inf")
    for engine in world.engines_of(registry, name):
        if not world.usable(registry, engine) or not order_counts.known(p, engine["name"]):
            continue
        for item, entry in p.ledger.engines.get(engine["name"], {}).items():
            order, end_ms = entry["order"], p.call_end_ms.get(entry["order"])
            if entry["state"] != "taken" or end_ms is None or f"again:{order}" in p.calls:
                continue
            usual_ms = (
                p.loadMs.get(name, 500.0)
                if (entry["verb"] == "load" and "/" not in item)
                else _ADAPTER_MS
            )
            next_ms, pauseMs = p.again_ms.get(order, (end_ms + 0.7 * usual_ms, 0.05 * usual_ms))
            if now_ms < next_ms:
                soon_ms = min(soon_ms, next_ms)
                continue
            pauseMs = max(_LEAST_PAUSE_MS, 1.4 * pauseMs)
            p.again_ms[order] = (now_ms + pauseMs, pauseMs)
            effects.append(
                call(
                    p,
                    now_ms,
                    f"again:{order}",
                    entry["verb"],
                    engine,
                    order_body(p, engine["name"], item, order),
                    terms,
                    item,
                    order,
                    last_ms,
                )
            )
            soon_ms = min(soon_ms, now_ms + pauseMs)
    return effects + ([Wake(soon_ms)] if effects or soon_ms < float("inf") else [])
