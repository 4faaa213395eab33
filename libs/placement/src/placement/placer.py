"""The lease holder of a service shard: reads reports and gives durable orders.

A placer polls its engines, updates the entries of the ledger from their reports, computes plans
and logs each order before sending it.  It sends no order until the last call of the previous lease
holder must have ended, none to an engine whose report it hasn't read itself, and none whose call
could outlast its own lease.
"""

from transport.effects import Reply

from placement import (
    demand_planner,
    dropped_items,
    engine_calls,
    engine_reports,
    engine_view,
    load_queue,
    order_notes,
    orders,
    registry_view,
    suspects,
)
from placement import ledger as ledgers
from placement.engine_view import Poll
from placement.replanning import replan_soon
from placement.state import append_record

__all__ = ["on_taken_over", "tick", "on_called", "on_durable", "new_poll"]

# Share of the call timeout for which a new lease holder gives no orders if it was also the
# previous one.
_SELF_TAKEOVER_FACTOR = 0.25


def on_taken_over(placer, now_ms, settings):
    """The shard's log is recovered: load the ledger, and set the time before which no orders are
    given.  The wait is short if this node was the previous lease holder: only its own last calls
    may still be in flight."""
    placer.ledger = ledgers.load(placer.held.checkpoint)
    for record in placer.held.records:
        ledgers.apply(placer.ledger, record)
    placer.not_before_ms = now_ms + (
        _SELF_TAKEOVER_FACTOR * settings.call_timeout_ms
        if placer.held_before and settings.turnMs
        else max(settings.call_timeout_ms, settings.turnMs)
    )
    for engine, entries in placer.ledger.engines.items():
        engine_view.restore_calls(engine_view.view_of(placer, engine), now_ms, entries)
    placer.wait_queue.since_ms = {id_: now_ms for id_ in placer.ledger.holds}


def tick(placer, now_ms, registry, shards, settings, lease_end_ms, lost):
    """Poll engines, expire waiting requests, plan and give orders.  `lost(name, life)`: whether a
    counter (a node that routes requests) is gone."""
    if not placer.held.ready or placer.held.lost or now_ms >= lease_end_ms:
        return []
    effects = _poll_engines(placer, now_ms, registry, shards, settings)
    dropped_items.drop_gone_engines(placer, now_ms, registry, settings)
    dropped_items.forget_dropped(placer, registry, shards)
    _expire_holds(placer, now_ms)
    load_queue.drop_lost_counters(placer, lost)
    suspects.update_suspects(placer, now_ms, registry, shards, settings)
    if now_ms >= placer.not_before_ms:
        placer.plan.planned_ms = now_ms
        for name, service in registry_view.services_of(registry, placer.shard, shards).items():
            if service.get("byDemand"):
                demand_planner.plan(placer, now_ms, registry, name, service, settings)
                effects += engine_calls.repeats_due(
                    placer, now_ms, registry, name, settings, lease_end_ms
                )
            elif service["kind"] == "models":
                orders.plan(placer, now_ms, registry, name, service, settings)
    return effects + order_notes.drain(placer)


def _poll_engines(placer, now_ms, registry, shards, settings):
    effects = []
    for name, service in registry_view.services_of(registry, placer.shard, shards).items():
        if service.get("byDemand") and service["kind"] == "plain":
            continue
        for engine in registry_view.engines_of(registry, name):
            if not _poll_due(placer, now_ms, engine, service, settings):
                continue
            poll = new_poll(placer, now_ms, engine["name"])
            effects.append(
                engine_calls.call(placer, now_ms, poll.id, "report", engine, {}, settings, "", "")
            )
    return effects


def new_poll(placer, now_ms, engine):
    """Record and return the next poll of an engine, with an id of its own."""
    placer.report_count += 1
    poll = Poll(f"report:{engine}:{placer.report_count}", now_ms)
    engine_view.poll_sent(engine_view.view_of(placer, engine), poll)
    return poll


def _poll_due(placer, now_ms, engine, service, settings):
    """Whether to request a report now; not while the last poll may still be answered."""
    last_poll = engine_view.view_of(placer, engine["name"]).poll
    if last_poll is None:
        return True
    since_ms = now_ms - last_poll.requested_ms
    if last_poll.id in placer.calls and since_ms < 2 * settings.call_timeout_ms:
        return False
    return since_ms >= _poll_interval(placer, engine, service, settings)


def _poll_interval(placer, engine, service, settings):
    """How long to wait between two polls.  With placement by demand, repeated calls show when an
    order is done, so frequent reports are needed only while a state is uncertain."""
    view = engine_view.view_of(placer, engine["name"])
    if not service.get("byDemand") or not engine_view.count_known(view) or view.first_missing_ms:
        return settings.report_interval_ms
    if any(
        entry["state"] == "unknown"
        or (entry["state"] == "intended" and not engine_view.call_open(view, entry["order"]))
        for entry in placer.ledger.engines.get(engine["name"], {}).values()
    ):
        return settings.report_interval_ms
    return 5 * settings.report_interval_ms


def _expire_holds(placer, now_ms):
    for id_, hold in list(placer.ledger.holds.items()):
        if now_ms - placer.wait_queue.since_ms.setdefault(id_, now_ms) > hold["waitMs"]:
            append_record(placer, ledgers.unhold_record(id_, "expired"))
            placer.wait_queue.since_ms.pop(id_, None)


def on_durable(placer, now_ms, then, registry, settings, lease_end_ms):
    """A record is committed: send the reply or the order that waited for it."""
    kind = then[0]
    if kind == "reply":
        return [Reply(then[1], then[2])]
    if kind == "order":
        _, engine, item, order, verb, body = then
        facts = registry.engines.get(engine)
        not_after_ms = lease_end_ms - settings.call_timeout_ms
        may_send = facts is not None and now_ms < not_after_ms and not placer.held.lost
        if may_send and verb == "load":
            may_send = _fits_current_sizes(placer, registry, facts)
        if not may_send or not registry_view.usable(registry, facts):
            append_record(placer, ledgers.state_record(engine, item, order, "refused"))
            return []
        engine_view.order_sent(engine_view.view_of(placer, engine), order)
        return [
            engine_calls.call(
                placer, now_ms, order, verb, facts, body, settings, item, order, not_after_ms
            )
        ]
    return []


def _fits_current_sizes(placer, registry, facts):
    """Whether a load still fits with the current sizes: the configuration may have changed since
    the order was logged, and the charges may now exceed the engine's room."""
    logged_mb, logged_places = ledgers.charged(placer.ledger, facts["name"])
    used_mb, used_places = registry_view.charged(registry, placer.ledger, facts["name"])
    room_mb, places = registry_view.engine_room(registry, facts)
    return used_mb <= max(room_mb, logged_mb) and used_places <= max(places, logged_places)


def on_called(placer, now_ms, id_, called, registry, shards, settings):
    """A call to an engine ended: process the report or the response to an order."""
    pending = placer.calls.pop(id_, None)
    if pending is None:
        return []
    if pending.verb == "report":
        engine = pending.engine
        if called.code == 200:
            requested_ms = pending.sent_ms - settings.lagMs
            engine_reports.on_report(placer, now_ms, engine, called.body, requested_ms, registry)
        else:
            engine_view.report_failed(
                engine_view.view_of(placer, engine), now_ms, settings.unreachable_ms
            )
        return order_notes.drain(placer)
    engine_calls.on_order_response(placer, now_ms, id_, called, pending, registry, settings)
    return replan_soon(placer, now_ms, settings) + order_notes.drain(placer)
