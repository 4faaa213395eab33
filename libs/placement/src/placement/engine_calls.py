"""Calls to engines, and what their responses prove about orders.

The response to the first call of an order shows whether the engine took the order.  The call of
an order that was taken is repeated around the time when the order should be done: an engine that
holds the item confirms that at once, earlier than in its next report.  Either call may reach the
engine long after it has timed out here, so both name the count of orders that the engine must
have taken before.
"""

from transport.effects import EngineCall, Wake

from placement import engine_view, load_queue, order_notes, registry_view
from placement import ledger as ledgers
from placement.state import PendingCall, append_record

__all__ = ["call", "repeats_due", "on_order_response", "order_body"]

# Expected duration of adapter loads and of unloads.
_SHORT_ORDER_MS = 15.0
# The status code with which an engine refuses an order that was meant for another engine.
_MISDIRECTED = 421
_MIN_REPEAT_PAUSE_MS = 20.0
# Factor by which the pause between repeated calls grows.
_REPEAT_BACKOFF = 1.4
# Expected duration of a service's model loads until the first one has ended.
_DEFAULT_LOAD_MS = 500.0
# When the call of an order is first repeated, and the first pause after that, as shares of the
# order's expected duration.
_FIRST_REPEAT_SHARE, _FIRST_PAUSE_SHARE = 0.7, 0.05


def order_body(placer, engine, item, order):
    """The fields that the first call of an order and the repeated calls have in common."""
    body = {"epoch": placer.epoch, "order": order, "item": item}
    expected = engine_view.expected_count(engine_view.view_of(placer, engine))
    return body if expected is None else {**body, "expected": expected}


def call(placer, now_ms, id_, verb, engine, body, settings, item, order, not_after_ms=float("inf")):
    """The effect that calls an engine unless `not_after_ms` has passed; the call is recorded in
    `placer.calls` until it ends."""
    expected = body.get("expected")
    placer.calls[id_] = PendingCall(verb, engine["name"], item, order, now_ms, expected)
    return EngineCall(
        f"{placer.shard}|{placer.epoch}|{id_}",
        engine["name"],
        engine["url"],
        verb,
        body,
        settings.call_timeout_ms,
        not_after_ms,
    )


def on_order_response(placer, now_ms, id_, called, pending, registry, settings):
    """Log the state that the response to an order proves."""
    engine, item, order = pending.engine, pending.item, pending.order
    first = id_ == order
    state = _proven_state(called, pending.verb, first)
    order_notes.log_response(placer, order, called, state, not first)
    view = engine_view.view_of(placer, engine)
    if called.code == _MISDIRECTED:
        engine_view.address_reused(view, now_ms + settings.unreachable_ms)
    if first:
        _on_first_call_ended(view, now_ms, called, pending, state)
    entry = placer.ledger.engines.get(engine, {}).get(item)
    if entry is None or entry["order"] != order:
        return
    if not first and state in ("refused", "unknown", "taken"):
        return
    if state in ("loaded", "unloaded"):
        engine_view.entry_settled(view, now_ms, item, order)
        if state == "loaded" and registry_view.is_listed(registry, item):
            _record_load(placer.demand, now_ms, engine, item)
        if state == "loaded" and not first and "/" not in item:
            load_queue.learn_load_time(placer, now_ms, engine, entry)
    if state == "refused":
        placer.plan.refused_ms[engine, item] = now_ms
        placer.demand.pauseMs[engine] = now_ms + settings.call_timeout_ms / 10
    append_record(placer, ledgers.state_record(engine, item, order, state))


def _on_first_call_ended(view, now_ms, called, pending, state):
    """The first call of an order has ended: update or invalidate the engine's order count."""
    engine_view.call_ended(view, now_ms, pending.order)
    if state == "taken":
        engine_view.order_taken(view, now_ms, pending.expected)
    elif called.code and state in ("refused", "unknown"):
        engine_view.invalidate_count(view, now_ms)


def _record_load(demand, now_ms, engine, item):
    """The engine confirmed that it has loaded an item."""
    demand.loaded_at_ms[engine, item] = now_ms
    demand.loaded_before.setdefault(engine, set()).add(item)


def _proven_state(called, verb, first):
    """The state that a response proves; "unknown" if there was no response, and also if the first
    call of an unload order reports success at once: that response may belong to another call,
    and only a report shows that the room is free."""
    if called.code == 202:
        return "taken"
    if called.code == 200 and verb == "load":
        return "loaded"
    if called.code == 200:
        return "unknown" if first else "unloaded"
    if called.code in (400, 404, 409, 412, 421, 429, 503) or not called.request_sent:
        return "refused"
    return "unknown"


def repeats_due(placer, now_ms, registry, name, settings, lease_end_ms):
    """Repeated calls for orders that were taken and should be done by now."""
    not_after_ms = lease_end_ms - settings.call_timeout_ms
    if now_ms >= not_after_ms or placer.held.lost:
        return []
    effects, next_wake_ms = [], float("inf")
    for engine in registry_view.engines_of(registry, name):
        view = placer.engines.get(engine["name"])
        if (
            view is None
            or not registry_view.usable(registry, engine)
            or not engine_view.count_known(view)
        ):
            continue
        for item, entry in placer.ledger.engines.get(engine["name"], {}).items():
            order = entry["order"]
            order_call = view.calls.get(order)
            if entry["state"] != "taken" or order_call is None or order_call.ended_ms is None:
                continue
            if f"again:{order}" in placer.calls:
                continue
            next_ms, pause_ms = _next_repeat(
                order_call, _expected_duration_ms(placer, name, item, entry)
            )
            if now_ms < next_ms:
                next_wake_ms = min(next_wake_ms, next_ms)
                continue
            pause_ms = max(_MIN_REPEAT_PAUSE_MS, _REPEAT_BACKOFF * pause_ms)
            engine_view.schedule_repeat(view, order, now_ms + pause_ms, pause_ms)
            body = order_body(placer, engine["name"], item, order)
            effects.append(
                call(
                    placer,
                    now_ms,
                    f"again:{order}",
                    entry["verb"],
                    engine,
                    body,
                    settings,
                    item,
                    order,
                    not_after_ms,
                )
            )
            next_wake_ms = min(next_wake_ms, now_ms + pause_ms)
    return effects + ([Wake(next_wake_ms)] if effects or next_wake_ms < float("inf") else [])


def _next_repeat(order_call, expected_ms):
    """(when the call of an order is to be repeated, the pause from which the next one grows)."""
    if order_call.repeat_ms is None:
        return (
            order_call.ended_ms + _FIRST_REPEAT_SHARE * expected_ms,
            _FIRST_PAUSE_SHARE * expected_ms,
        )
    return order_call.repeat_ms, order_call.pause_ms


def _expected_duration_ms(placer, service, item, entry):
    """How long an order is expected to take once the engine has taken it."""
    if entry["verb"] == "load" and "/" not in item:
        return placer.plan.load_ms.get(service, _DEFAULT_LOAD_MS)
    return _SHORT_ORDER_MS
