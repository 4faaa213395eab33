"""The holder of a service shard: reports in, durable orders out.

A placer polls its engines, settles what their reports prove, plans, and logs
an order before it sends it.  It sends nothing before the previous holder's
last call must have ended, nothing to an engine whose report it has not read
itself, and nothing that would outlast its own grant.
"""

from configuration import registry as registries
from replication import shard_log
from transport import failures
from transport.effects import Reply, Wake

from placement import (
    demand,
    demand_planner,
    engine_calls,
    engine_reports,
    engine_view,
    load_queue,
    order_notes,
    orders,
    placement,
    registry_view,
    suspects,
)
from placement import ledger as ledgers
from placement.engine_view import Poll
from placement.state import append_record

__all__ = ["on_taken_over", "tick", "on_called", "on_durable", "on_command", "new_poll"]

_OWN = 0.25
# Of a call's time: the least time between two plans that answers bring about.
_BETWEEN_PLANS = 0.01


def on_taken_over(p, now_ms, terms):
    """The shard is recovered: read reports, but order nothing yet.  A life of ours
    that held it before is over, so only what it sent last may still be on its way."""
    p.ledger = ledgers.load(p.held.checkpoint)
    for record in p.held.records:
        ledgers.apply(p.ledger, record)
    p.not_before_ms = now_ms + (
        _OWN * terms.call_ms if p.own and terms.turnMs else max(terms.call_ms, terms.turnMs)
    )
    for engine, entries in p.ledger.engines.items():
        engine_view.restore_calls(engine_view.view_of(p, engine), now_ms, entries)
    p.line.since_ms = {id_: now_ms for id_ in p.ledger.holds}


def tick(p, now_ms, registry, shards, terms, lease_end_ms, lost):
    """One round: poll, settle holds, plan, order.  `lost`: is a counter gone?"""
    if not p.held.ready or p.held.lost or now_ms >= lease_end_ms:
        return []
    effects = _poll(p, now_ms, registry, shards, terms)
    _drop_gone_engines(p, now_ms, registry, terms)
    _expire_holds(p, now_ms)
    load_queue.drop_lost_counters(p, lost)
    suspects.update_suspects(p, now_ms, registry, shards, terms)
    if now_ms >= p.not_before_ms:
        p.plan.planned_ms = now_ms
        for name, service in registry_view.services_of(registry, p.shard, shards).items():
            if service.get("byDemand"):
                demand_planner.plan(p, now_ms, registry, name, service, terms)
                effects += engine_calls.repeats_due(p, now_ms, registry, name, terms, lease_end_ms)
            elif service["kind"] == "models":
                orders.plan(p, now_ms, registry, name, service, terms)
    return effects + order_notes.drain(p)


def _poll(p, now_ms, registry, shards, terms):
    effects = []
    for name, service in registry_view.services_of(registry, p.shard, shards).items():
        if service.get("byDemand") and service["kind"] == "plain":
            continue
        for engine in registry_view.engines_of(registry, name):
            if not _poll_due(p, now_ms, engine, service, terms):
                continue
            poll = new_poll(p, now_ms, engine["name"])
            effects.append(
                engine_calls.call(p, now_ms, poll.id, "report", engine, {}, terms, "", "")
            )
    return effects


def new_poll(p, now_ms, engine):
    """The next call for an engine's report."""
    p.report_count += 1
    poll = Poll(f"report:{engine}:{p.report_count}", now_ms)
    engine_view.poll_sent(engine_view.view_of(p, engine), poll)
    return poll


def _poll_due(p, now_ms, engine, service, terms):
    """Whether a report is to be asked for: not beside one that may still be answered."""
    last = engine_view.view_of(p, engine["name"]).poll
    if last is None:
        return True
    since_ms = now_ms - last.asked_ms
    if last.id in p.calls and since_ms < 2 * terms.call_ms:
        return False
    return since_ms >= _pause(p, engine, service, terms)


def _pause(p, engine, service, terms):
    """How long to wait between reports; where orders tell their own end, reports are
    only for what was left in doubt, or for what the last one lacked."""
    view = engine_view.view_of(p, engine["name"])
    if not service.get("byDemand") or not engine_view.count_known(view) or view.missing_ms:
        return terms.report_ms
    if any(
        e["state"] == "unknown"
        or (e["state"] == "intended" and not engine_view.call_open(view, e["order"]))
        for e in p.ledger.engines.get(engine["name"], {}).values()
    ):
        return terms.report_ms
    return 5 * terms.report_ms


def _drop_gone_engines(p, now_ms, registry, terms):
    """Forget engines the platform calls gone.  What they were loading is counted
    until it can no longer ask the store; a new holder counts it from its start."""
    for engine in [e for e in p.ledger.incarnations if e not in registry.engines]:
        append_record(p, ledgers.dropped_record(engine))
        p.engines.pop(engine, None)
    for order, service in list(p.ledger.lingering.items()):
        last_ms = max(terms.dark_ms, 2 * p.plan.load_ms.get(service, 0.0))
        if now_ms - p.plan.lingering_ms.setdefault(order, now_ms) >= last_ms:
            del p.plan.lingering_ms[order]
            append_record(p, ledgers.lingered_record(order))


def _expire_holds(p, now_ms):
    for id_, hold in list(p.ledger.holds.items()):
        if now_ms - p.line.since_ms.setdefault(id_, now_ms) > hold["waitMs"]:
            append_record(p, ledgers.unhold_record(id_, "expired"))
            p.line.since_ms.pop(id_, None)


def on_durable(p, now_ms, then, registry, terms, lease_end_ms):
    """Something that waited for DURABLE may be done now."""
    kind = then[0]
    if kind == "reply":
        return [Reply(then[1], then[2])]
    if kind == "order":
        _, engine, item, order, verb, body = then
        facts = registry.engines.get(engine)
        last_ms = lease_end_ms - terms.call_ms
        may_send = facts is not None and now_ms < last_ms and not p.held.lost
        if may_send and verb == "load":
            may_send = _fits_current_sizes(p, registry, facts)
        if not may_send or not registry_view.usable(registry, facts):
            append_record(p, ledgers.state_record(engine, item, order, "refused"))
            return []
        engine_view.order_sent(engine_view.view_of(p, engine), order)
        return [engine_calls.call(p, now_ms, order, verb, facts, body, terms, item, order, last_ms)]
    return []


def _fits_current_sizes(p, registry, facts):
    """Whether a load still fits with the sizes told now: another configuration may be in force
    than when the order was logged, and have grown what is charged beyond the room."""
    logged_mb, logged_places = ledgers.charged(p.ledger, facts["name"])
    used_mb, used_places = registry_view.charged(registry, p.ledger, facts["name"])
    room_mb, places = registry_view.engine_room(registry, facts)
    return used_mb <= max(room_mb, logged_mb) and used_places <= max(places, logged_places)


def on_called(p, now_ms, id_, called, registry, shards, terms):
    """A call ended: a report is settled, an order's answer is logged."""
    pending = p.calls.pop(id_, None)
    if pending is None:
        return []
    if pending.verb == "report":
        engine = pending.engine
        if called.code == 200:
            asked_ms = pending.asked_ms - terms.lagMs
            engine_reports.on_report(p, now_ms, engine, called.body, asked_ms, registry)
        else:
            engine_view.report_failed(engine_view.view_of(p, engine), now_ms, terms.dark_ms)
        return order_notes.drain(p)
    engine_calls.on_order_response(p, now_ms, id_, called, pending, terms)
    return _soon(p, now_ms, terms) + order_notes.drain(p)


def _soon(p, now_ms, terms):
    """Plan again now, but not for each of many answers that come at once."""
    return (
        [Wake(max(now_ms, p.plan.planned_ms + _BETWEEN_PLANS * terms.call_ms))]
        if terms.turnMs
        else []
    )


def on_command(p, now_ms, token, verb, body, registry, terms):
    """A counter puts a task in line, or takes it out; answered once durable."""
    if verb == "wanted":
        for item, count in body["items"].items():
            demand.record_requests(p.demand, now_ms, item, count)
            _pay(p, item)
        suspects.record_outcomes(p.watch, now_ms, body.get("outcomes", {}), terms.dark_ms)
        return []
    if verb == "hold":
        return _on_hold(p, now_ms, token, body, registry, terms)
    id_ = str(body.get("id"))
    if id_ not in p.ledger.holds:
        return [Reply(token, {"id": id_, "gone": True})]
    hold = p.ledger.holds[id_]
    for item in {hold["model"], placement.item_name(hold["model"], hold["adapter"])}:
        _pay(p, item)
    p.line.since_ms.pop(id_, None)
    append_record(
        p,
        ledgers.unhold_record(id_, str(body.get("why", "")) or "done"),
        ("reply", token, {"id": id_, "gone": True}),
    )
    return []


def _pay(p, item):
    """Whoever asks for an item, or leaves the line, while it is up has been served by it."""
    if item in p.demand.owed and any(
        ledgers.is_loaded(p.ledger, engine, item) for engine in p.ledger.engines
    ):
        demand.clear_unserved(p.demand, item)


def _on_hold(p, now_ms, token, body, registry, terms):
    id_ = body["id"]
    if id_ in p.ledger.holds:
        answer = {"id": id_, "turn": p.ledger.holds[id_]["turn"]}
        known = shard_log.barrier(p.held, ("reply", token, answer))
        return [Reply(token, answer)] if known else []
    if body["model"] not in registries.models(registry):
        return [Reply(token, failures.UnknownModel(body["service"], body["model"]))]
    item = placement.item_name(body["model"], body["adapter"])
    for asked_for in {body["model"], item}:
        demand.record_requests(p.demand, now_ms, asked_for, 1)
        demand.record_unserved(p.demand, now_ms, body["service"], asked_for)
    same = sum(1 for h in p.ledger.holds.values() if h["model"] == body["model"])
    if len(p.ledger.holds) >= terms.holds_max or same >= terms.holds_per_model:
        return [Reply(token, failures.Overloaded(int(10 * terms.call_ms), "waitlist"))]
    loads = registries.services(registry)[body["service"]]["loads"]
    if not loads["atOnce"] or not loads["perMinute"]:
        return [Reply(token, failures.NoRoom(int(30 * terms.call_ms), body["model"], "no-loads"))]
    wait_ms = load_queue.estimate_wait(p, now_ms, body["service"], loads, item, terms)
    if wait_ms is not None and wait_ms > body["waitMs"]:
        return [Reply(token, failures.NoRoom(int(wait_ms), body["model"], "loads-queue"))]
    p.line.since_ms[id_] = now_ms
    append_record(
        p,
        ledgers.hold_record(
            {
                k: body[k]
                for k in ("id", "service", "model", "adapter", "class", "waitMs", "node", "life")
            }
        ),
        ("reply", token, {"id": id_, "turn": p.ledger.holdCount + 1}),
    )
    return _soon(p, now_ms, terms)
