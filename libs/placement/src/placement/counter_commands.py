"""Commands of counters (nodes that route requests) to the lease holder of a service shard.

A counter knows the configuration that it has applied, which may be older or newer than the one
known here: a command may name a service, a model or an engine that isn't configured here.
"""

from configuration import registry as registries
from replication import shard_log
from transport import failures
from transport.effects import Reply

from placement import demand, load_queue, placement, registry_view, suspects
from placement import ledger as ledgers
from placement.replanning import replan_soon
from placement.state import append_record

__all__ = ["on_command"]

# When a request for an item that isn't listed here may be sent again.
_UNLISTED_RETRY_MS = 1000


def on_command(placer, now_ms, token, verb, body, registry, settings):
    """Handle a command of a counter (a node that routes requests).  It reports demand, or starts or
    ends the wait of a request; the latter two are answered once their record is committed."""
    if verb == "wanted":
        for item, count in body["items"].items():
            demand.record_requests(placer.demand, now_ms, item, count)
            _mark_served(placer, item)
        suspects.record_outcomes(
            placer.outcome_history, now_ms, body.get("outcomes", {}), settings.unreachable_ms
        )
        return []
    if verb == "hold":
        return _on_hold(placer, now_ms, token, body, registry, settings)
    id_ = str(body.get("id"))
    if id_ not in placer.ledger.holds:
        return [Reply(token, {"id": id_, "gone": True})]
    hold = placer.ledger.holds[id_]
    for item in {hold["model"], placement.item_name(hold["model"], hold["adapter"])}:
        _mark_served(placer, item)
    placer.wait_queue.since_ms.pop(id_, None)
    append_record(
        placer,
        ledgers.unhold_record(id_, str(body.get("why", "")) or "done"),
        ("reply", token, {"id": id_, "gone": True}),
    )
    return []


def _mark_served(placer, item):
    """Clear the unserved demand of an item that is loaded and so can serve its requests."""
    if item in placer.demand.unserved and any(
        ledgers.is_loaded(placer.ledger, engine, item) for engine in placer.ledger.engines
    ):
        demand.clear_unserved(placer.demand, item)


def _on_hold(placer, now_ms, token, body, registry, settings):
    id_ = body["id"]
    if id_ in placer.ledger.holds:
        answer = {"id": id_, "turn": placer.ledger.holds[id_]["turn"]}
        durable = shard_log.barrier(placer.held, ("reply", token, answer))
        return [Reply(token, answer)] if durable else []
    item = placement.item_name(body["model"], body["adapter"])
    service = registries.services(registry).get(body["service"])
    if service is None or not registry_view.is_listed(registry, item):
        return [Reply(token, failures.NoRoom(_UNLISTED_RETRY_MS, body["model"], "unlisted"))]
    for requested_item in {body["model"], item}:
        demand.record_requests(placer.demand, now_ms, requested_item, 1)
        demand.record_unserved(placer.demand, now_ms, body["service"], requested_item)
    same_model = sum(1 for h in placer.ledger.holds.values() if h["model"] == body["model"])
    if len(placer.ledger.holds) >= settings.max_holds or same_model >= settings.max_holds_per_model:
        return [Reply(token, failures.Overloaded(int(10 * settings.call_timeout_ms), "waitlist"))]
    loads = service["loads"]
    if not loads["atOnce"] or not loads["perMinute"]:
        return [
            Reply(
                token,
                failures.NoRoom(int(30 * settings.call_timeout_ms), body["model"], "no-loads"),
            )
        ]
    wait_ms = load_queue.estimate_wait(placer, now_ms, body["service"], loads, item, settings)
    if wait_ms is not None and wait_ms > body["waitMs"]:
        return [Reply(token, failures.NoRoom(int(wait_ms), body["model"], "loads-queue"))]
    placer.wait_queue.since_ms[id_] = now_ms
    append_record(
        placer,
        ledgers.hold_record(
            {
                k: body[k]
                for k in ("id", "service", "model", "adapter", "class", "waitMs", "node", "life")
            }
        ),
        ("reply", token, {"id": id_, "turn": placer.ledger.holdCount + 1}),
    )
    return replan_soon(placer, now_ms, settings)
