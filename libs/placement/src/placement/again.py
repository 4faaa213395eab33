"""Calls to engines and what their answers prove.

An order is called once; its answer says whether it was taken.  An order that was
taken is given again when it should be done: an engine that holds it answers so at
once, sooner than its reports tell.  Either call may reach the engine long after it
has ended here, so both name the count of orders that the engine is to have taken.
"""

from transport.effects import EngineCall, Wake

from placement import engine_view, line, order_notes, world
from placement import ledger as ledgers
from placement.state import PendingCall, log

__all__ = ["call", "due", "on_answer", "order_body"]

_ADAPTER_MS = 15.0
# The status of an engine that isn't the one that an order was meant for.
_ANOTHER_ENGINE = 421
_LEAST_PAUSE_MS = 20.0
# Each pause between two calls that give an order again is so much longer.
_SLOWER = 1.4
_UNKNOWN_LOAD_MS = 500.0
# Of the time that an order usually takes: when it is first given again, and the first pause.
_FIRST_REPEAT, _FIRST_PAUSE = 0.7, 0.05


def order_body(p, engine, item, order):
    """What every call of an order says, the first one and those that give it again."""
    body = {"epoch": p.epoch, "order": order, "item": item}
    expected = engine_view.expected_count(engine_view.view_of(p, engine))
    return body if expected is None else {**body, "expected": expected}


def call(p, now_ms, id_, verb, engine, body, terms, item, order, not_after_ms=float("inf")):
    """A call to an engine, remembered until it ends."""
    expected = body.get("expected")
    p.calls[id_] = PendingCall(verb, engine["name"], item, order, now_ms, expected)
    return EngineCall(
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
    view = engine_view.view_of(p, engine)
    if called.code == _ANOTHER_ENGINE:
        engine_view.address_reused(view, now_ms + terms.dark_ms)
    if first:
        _first_ended(view, now_ms, called, pending, state)
    entry = p.ledger.engines.get(engine, {}).get(item)
    if entry is None or entry["order"] != order:
        return
    if not first and state in ("refused", "unknown", "taken"):
        return
    if state in ("loaded", "unloaded"):
        _done(p, now_ms, engine, item, entry, state)
        if state == "loaded" and not first and "/" not in item:
            line.learn(p, now_ms, engine, entry)
    if state == "refused":
        p.plan.refused_ms[engine, item] = now_ms
        p.demand.pauseMs[engine] = now_ms + terms.call_ms / 10
    log(p, ledgers.state_record(engine, item, order, state))


def _first_ended(view, now_ms, called, pending, state):
    """The call that sent an order has ended: what that says of the engine's count."""
    engine_view.call_ended(view, now_ms, pending.order)
    if state == "taken":
        engine_view.order_taken(view, now_ms, pending.expected)
    elif called.code and state in ("refused", "unknown"):
        engine_view.doubt_count(view, now_ms)


def _done(p, now_ms, engine, item, entry, state):
    """An order was carried out, by the engine's own word."""
    engine_view.settled(p.engines[engine], now_ms, item, entry["order"])
    if state == "loaded":
        p.demand.up_ms[engine, item] = now_ms
        p.demand.before.setdefault(engine, set()).add(item)


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
        view = p.engines.get(engine["name"])
        if view is None or not world.usable(registry, engine) or not engine_view.count_known(view):
            continue
        for item, entry in p.ledger.engines.get(engine["name"], {}).items():
            order = entry["order"]
            call_of = view.calls.get(order)
            if entry["state"] != "taken" or call_of is None or call_of.ended_ms is None:
                continue
            if f"again:{order}" in p.calls:
                continue
            next_ms, pause_ms = _next_repeat(call_of, _usual_ms(p, name, item, entry))
            if now_ms < next_ms:
                soon_ms = min(soon_ms, next_ms)
                continue
            pause_ms = max(_LEAST_PAUSE_MS, _SLOWER * pause_ms)
            engine_view.repeat_at(view, order, now_ms + pause_ms, pause_ms)
            body = order_body(p, engine["name"], item, order)
            effects.append(
                call(
                    p,
                    now_ms,
                    f"again:{order}",
                    entry["verb"],
                    engine,
                    body,
                    terms,
                    item,
                    order,
                    last_ms,
                )
            )
            soon_ms = min(soon_ms, now_ms + pause_ms)
    return effects + ([Wake(soon_ms)] if effects or soon_ms < float("inf") else [])


def _next_repeat(call_of, usual_ms):
    """(when an order is to be given again, the pause before that)."""
    if call_of.repeat_ms is None:
        return call_of.ended_ms + _FIRST_REPEAT * usual_ms, _FIRST_PAUSE * usual_ms
    return call_of.repeat_ms, call_of.pause_ms


def _usual_ms(p, service, item, entry):
    """How long an order usually takes once the engine has taken it."""
    if entry["verb"] == "load" and "/" not in item:
        return p.plan.load_ms.get(service, _UNKNOWN_LOAD_MS)
    return _ADAPTER_MS
