"""The holder of a service shard: reports in, durable orders out.

A placer polls its engines, settles what their reports prove, plans, and logs
an order before it sends it.  It sends nothing before the previous holder's
last call must have ended, nothing to an engine whose report it has not read
itself, and nothing that would outlast its own grant.
"""

from logbook import holder
from manifest import registry as registries
from waybill import failures
from waybill.effects import Reply, Wake

from dispatch import again, asked, demand, line, orders, placement, settle, world
from dispatch import ledger as ledgers
from dispatch.state import log

__all__ = ["taken_over", "tick", "on_called", "on_durable", "command"]

_OWN = 0.25


def taken_over(p, nowMs, terms):
    """The shard is recovered: read reports, but order nothing yet.  A life of ours
    that held it before is over, so only what it sent last may still be on its way."""
    p.ledger = ledgers.load(p.held.checkpoint)
    for record in p.held.pages:
        ledgers.apply(p.ledger, record)
    p.notBeforeMs = nowMs + (
        _OWN * terms.callMs if p.own and terms.turnMs else max(terms.callMs, terms.turnMs)
    )
    for items in p.ledger.engines.values():
        for entry in items.values():
            if entry["state"] == "taken":
                p.callEndMs[entry["order"]] = nowMs
    p.holdsMs = {id_: nowMs for id_ in p.ledger.holds}


def tick(p, nowMs, registry, shards, terms, grantEndMs, lost):
    """One round: poll, settle holds, plan, order.  `lost`: is a counter gone?"""
    if not p.held.ready or p.held.lost or nowMs >= grantEndMs:
        return []
    effects = _poll(p, nowMs, registry, shards, terms)
    _drop_gone(p, nowMs, registry, terms)
    _expire_holds(p, nowMs)
    line.drop_lost(p, lost)
    if nowMs >= p.notBeforeMs:
        for name, service in world.services_of(registry, p.shard, shards).items():
            if service.get("byDemand"):
                asked.plan(p, nowMs, registry, name, service, terms)
                effects += again.due(p, nowMs, registry, name, terms, grantEndMs)
            elif service["kind"] == "models":
                orders.plan(p, nowMs, registry, name, service, terms)
    return effects


def _poll(p, nowMs, registry, shards, terms):
    effects = []
    for name, service in world.services_of(registry, p.shard, shards).items():
        if service.get("byDemand") and service["kind"] == "plain":
            continue
        for engine in world.engines_of(registry, name):
            busy = p.polls.get(engine["name"])
            if busy is not None and nowMs - busy < _pause(p, engine, service, terms):
                continue
            if (
                busy is not None
                and f"report:{engine['name']}" in p.calls
                and (nowMs - busy < 2 * terms.callMs)
            ):
                continue
            p.polls[engine["name"]] = nowMs
            effects.append(
                again.call(
                    p, nowMs, f"report:{engine['name']}", "report", engine, {}, terms, "", ""
                )
            )
    return effects


def _pause(p, engine, service, terms):
    """How long to wait between reports; where orders tell their own end, reports are
    only for what was left in doubt."""
    if not service.get("byDemand") or any(
        e["state"] == "unknown" or (e["state"] == "intended" and e["order"] not in p.calls)
        for e in p.ledger.engines.get(engine["name"], {}).values()
    ):
        return terms.reportMs
    return 5 * terms.reportMs


def _drop_gone(p, nowMs, registry, terms):
    """Forget engines the platform calls gone.  What they were loading is counted
    until it can no longer ask the store; a new holder counts it from its start."""
    for engine in [e for e in p.ledger.incarnations if e not in registry.engines]:
        log(p, ledgers.dropped_record(engine))
        p.reports.pop(engine, None)
        p.polls.pop(engine, None)
    for order, service in list(p.ledger.lingering.items()):
        lastMs = max(terms.darkMs, 2 * p.loadMs.get(service, 0.0))
        if nowMs - p.lingerMs.setdefault(order, nowMs) >= lastMs:
            del p.lingerMs[order]
            log(p, ledgers.lingered_record(order))


def _expire_holds(p, nowMs):
    for id_, hold in list(p.ledger.holds.items()):
        if nowMs - p.holdsMs.setdefault(id_, nowMs) > hold["waitMs"]:
            log(p, ledgers.unhold_record(id_, "expired"))
            p.holdsMs.pop(id_, None)


def on_durable(p, nowMs, then, registry, terms, grantEndMs):
    """Something that waited for DURABLE may be done now."""
    kind = then[0]
    if kind == "reply":
        return [Reply(then[1], then[2])]
    if kind == "order":
        _, engine, item, order, verb, body = then
        facts = registry.engines.get(engine)
        lastMs = grantEndMs - terms.callMs
        if facts is None or nowMs >= lastMs or p.held.lost or not world.usable(registry, facts):
            log(p, ledgers.state_record(engine, item, order, "refused"))
            return []
        return [again.call(p, nowMs, order, verb, facts, body, terms, item, order, lastMs)]
    return []


def on_called(p, nowMs, id_, called, registry, shards, terms):
    """A call ended: a report is settled, an order's answer is logged."""
    known = p.calls.pop(id_, None)
    if known is None:
        return []
    verb, engine, item, order, askedMs = known
    if verb == "report":
        if called.code == 200:
            settle.on_report(p, nowMs, engine, called.body, askedMs - terms.lagMs, registry)
        elif engine in p.reports and nowMs - p.reports[engine].askedMs > terms.darkMs:
            del p.reports[engine]
        return []
    again.on_answer(p, nowMs, id_, called, verb, engine, item, order, terms)
    return [Wake(nowMs)] if terms.turnMs else []


def command(p, nowMs, token, verb, body, registry, terms):
    """A counter puts a task in line, or takes it out; answered once durable."""
    if verb == "wanted":
        for item, count in body["items"].items():
            demand.tell(p.demand, nowMs, item, count)
        return []
    if verb == "hold":
        return _hold(p, nowMs, token, body, registry, terms)
    id_ = str(body.get("id"))
    if id_ not in p.ledger.holds:
        return [Reply(token, {"id": id_, "gone": True})]
    p.holdsMs.pop(id_, None)
    log(
        p,
        ledgers.unhold_record(id_, str(body.get("why", "")) or "done"),
        ("reply", token, {"id": id_, "gone": True}),
    )
    return []


def _hold(p, nowMs, token, body, registry, terms):
    id_ = body["id"]
    if id_ in p.ledger.holds:
        answer = {"id": id_, "turn": p.ledger.holds[id_]["turn"]}
        known = holder.barrier(p.held, ("reply", token, answer))
        return [Reply(token, answer)] if known else []
    if body["model"] not in registries.models(registry):
        return [Reply(token, failures.UnknownModel(body["service"], body["model"]))]
    same = sum(1 for h in p.ledger.holds.values() if h["model"] == body["model"])
    if len(p.ledger.holds) >= terms.holdsMax or same >= terms.holdsPerModel:
        return [Reply(token, failures.Overloaded(int(10 * terms.callMs), "waitlist"))]
    loads = registries.services(registry)[body["service"]]["loads"]
    if not loads["atOnce"] or not loads["perMinute"]:
        return [Reply(token, failures.NoRoom(int(30 * terms.callMs), body["model"], "no-loads"))]
    item = placement.item_name(body["model"], body["adapter"])
    for asked_for in {body["model"], item}:
        demand.tell(p.demand, nowMs, asked_for, 1)
    waitMs = line.estimate(p, nowMs, body["service"], loads, item, terms)
    if waitMs is not None and waitMs > body["waitMs"]:
        return [Reply(token, failures.NoRoom(int(waitMs), body["model"], "loads-queue"))]
    p.holdsMs[id_] = nowMs
    log(
        p,
        ledgers.hold_record(
            {
                k: body[k]
                for k in ("id", "service", "model", "adapter", "class", "waitMs", "node", "life")
            }
        ),
        ("reply", token, {"id": id_, "turn": p.ledger.holdCount + 1}),
    )
    return [Wake(nowMs)] if terms.turnMs else []
