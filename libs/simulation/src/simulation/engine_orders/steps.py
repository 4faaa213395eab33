"""Steps: what the holder, the engine and the network between them may do next.

The holder's part is the product's own code; which order it gives is left open, so that
whatever a plan may wish for is tried.
"""

from dataclasses import dataclass, replace

from placement import again, orders, placer, world
from placement import ledger as ledgers
from transport.effects import EngineCall
from transport.events import CallEnded

from simulation.engine_orders import truth
from simulation.engine_orders.settings import ENGINE, SERVICE, TERMS
from simulation.engine_orders.world import Asked, new_holder
from simulation.model.forks import fork

__all__ = ["Step", "choices", "take"]

_STEP_MS = 1000.0
_SHARDS = 2
_LEASE_MS = 1e12
# Kinds of steps that are not bounded by a search's limits.
_FREE = frozenset({"send", "arrive", "answer", "silence", "finish", "snapshot", "read"})
_STRANGERS = (200, 202, 409)


@dataclass(frozen=True)
class Step:
    """`kind` names what happens, `detail` to which order, message or report."""

    kind: str
    detail: object = None

    def __str__(self):
        return self.kind if self.detail is None else f"{self.kind} {self.detail}"


def choices(state, limits):
    """Every step that may come next, within the limits left for each kind."""
    found = [*_orders(state), *_sendings(state), *_messages(state), *_calls(state)]
    found += [*_reports(state), *_engine(state), *_changes(state)]
    return [
        step
        for step in found
        if step.kind in _FREE or limits.get(step.kind, 0) > state.spent.get(step.kind, 0)
    ]


def _orders(state):
    if state.staged or not state.may_order():
        return
    for item in state.settings.items():
        entry = state.entries().get(item)
        if entry is None and _fits(state, item):
            yield Step("load", item)
        elif entry is not None and not any(i.startswith(item + "/") for i in state.entries()):
            yield Step("unload", item)


def _fits(state, item):
    model = item.partition("/")[0]
    if item != model and not ledgers.loaded(state.placer.ledger, ENGINE, model):
        return False
    used_mb, used_places = world.charged(state.registry, state.placer.ledger, ENGINE)
    size_mb, places, _ = world.size_of(state.registry, item)
    return (
        used_mb + size_mb <= state.settings.room_mb
        and used_places + places <= state.settings.places
    )


def _sendings(state):
    for number in range(len(state.staged)):
        yield Step("send", number)
        yield Step("unsent", number)


def _messages(state):
    for number, message in enumerate(state.flying):
        yield Step("arrive", number)
        yield Step("duplicate", number)
        yield Step("lose", number)
        if message.call in state.placer.calls and message.call not in state.answers:
            yield Step("not-begun", number)


def _calls(state):
    for call, pending in state.placer.calls.items():
        if pending.verb == "report":
            continue
        if call in state.answers:
            yield Step("answer", call)
        if not state.settings.counts and any(m.call == call for m in state.flying):
            continue
        yield Step("silence", call)
        for status in _STRANGERS:
            yield Step("stranger", (call, status))
    if any(e["state"] == "taken" for e in state.entries().values()):
        yield Step("again")


def _reports(state):
    yield Step("report")
    yield Step("ask")
    for number, asked in enumerate(state.asked):
        yield Step("snapshot" if asked.told is None else "read", number)


def _engine(state):
    if state.engine.under_way is not None:
        yield Step("finish")
    yield Step("restart")


def _changes(state):
    if state.settings.counts or not state.flying:
        yield Step("takeover", "as logged")
        yield Step("takeover", "as durable")
    if state.settings.resized_mb and not state.resized:
        yield Step("resize")


def take(state, step):
    """Take a step in place; raises Violation if it shows a promise broken."""
    state.now_ms += _STEP_MS
    if step.kind not in _FREE:
        state.spent[step.kind] = state.spent.get(step.kind, 0) + 1
    _TAKES[step.kind](state, step.detail)
    state.placer.notes.clear()
    state.placer.held.unacked.clear()
    state.check()


def _give(verb):
    def give(state, item):
        size_mb, places, _ = world.size_of(state.registry, item)
        if verb == "unload":
            entry = state.entries()[item]
            size_mb, places = entry["mb"], entry["places"]
        orders.give(state.placer, ENGINE, item, verb, size_mb, places, SERVICE)
        held = state.placer.held
        state.staged += [then for _, then in held.waiting]
        held.waiting = []

    return give


def _send(state, number):
    """The order's record is safe, and with it all that was logged before."""
    then = state.staged.pop(number)
    state.durable = fork(state.placer.ledger)
    _fly(state, _on_durable(state, then, _LEASE_MS))


def _unsent(state, number):
    """The lease ends before the order could be sent."""
    _on_durable(state, state.staged.pop(number), state.now_ms)


def _on_durable(state, then, lease_end_ms):
    return placer.on_durable(state.placer, state.now_ms, then, state.registry, TERMS, lease_end_ms)


def _fly(state, effects):
    for call in effects:
        if not isinstance(call, EngineCall):
            continue
        size_mb, places, _ = world.size_of(state.registry, call.body["item"])
        state.flying.append(
            truth.Message(
                call.id.split("|", 2)[2],
                call.verb,
                call.body["item"],
                call.body.get("expected"),
                call.body["epoch"],
                size_mb,
                places,
            )
        )


def _arrive(state, number):
    _deliver(state, state.flying.pop(number))


def _duplicate(state, number):
    _deliver(state, state.flying[number])


def _deliver(state, message):
    state.engine, status = truth.ordered(state.engine, message)
    if message.call in state.placer.calls:
        state.answers.setdefault(message.call, status)


def _lose(state, number):
    state.flying.pop(number)


def _not_begun(state, number):
    message = state.flying.pop(number)
    _end(state, message.call, 0, begun=False)


def _answer(state, call):
    _end(state, call, state.answers[call])


def _silence(state, call):
    _end(state, call, 0)


def _stranger(state, detail):
    call, status = detail
    _end(state, call, status)


def _end(state, call, status, begun=True, body=None):
    state.answers.pop(call, None)
    called = CallEnded(call, status, body or {}, begun)
    placer.on_called(state.placer, state.now_ms, call, called, state.registry, _SHARDS, TERMS)


def _again(state, _detail):
    _fly(state, again.due(state.placer, state.now_ms, state.registry, SERVICE, TERMS, _LEASE_MS))


def _ask(state, _detail):
    poll = placer.poll_of(state.placer, state.now_ms, ENGINE)
    facts = state.registry.engines[ENGINE]
    again.call(state.placer, state.now_ms, poll.id, "report", facts, {}, TERMS, "", "")
    state.asked.append(Asked(poll.id))


def _snapshot(state, number):
    state.asked[number] = replace(state.asked[number], told=truth.told(state.engine))


def _read(state, number):
    asked = state.asked.pop(number)
    _end(state, asked.call, 200, body=asked.told)


def _report(state, detail):
    """A report that is asked for, given and read while nothing else happens."""
    _ask(state, detail)
    _snapshot(state, -1)
    state.now_ms += _STEP_MS
    _read(state, -1)


def _finish(state, _detail):
    state.engine = truth.finished(state.engine)


def _restart(state, _detail):
    state.engine = truth.restarted(state.engine)


def _takeover(state, detail):
    """Another holder recovers the shard; what the old one has sent stays on its way."""
    old = state.placer
    known = old.ledger if detail == "as logged" else state.durable
    state.placer = new_holder(old.epoch + 1)
    state.placer.held.checkpoint = ledgers.dump(known)
    placer.taken_over(state.placer, state.now_ms, TERMS)
    state.placer.held.checkpoint = b""
    state.placer.not_before_ms = state.now_ms
    state.durable = fork(state.placer.ledger)
    state.staged, state.answers, state.asked = [], {}, []


def _resize(state, _detail):
    state.resized = True


_TAKES = {
    "load": _give("load"),
    "unload": _give("unload"),
    "send": _send,
    "unsent": _unsent,
    "arrive": _arrive,
    "duplicate": _duplicate,
    "lose": _lose,
    "not-begun": _not_begun,
    "answer": _answer,
    "silence": _silence,
    "stranger": _stranger,
    "again": _again,
    "ask": _ask,
    "snapshot": _snapshot,
    "read": _read,
    "report": _report,
    "finish": _finish,
    "restart": _restart,
    "takeover": _takeover,
    "resize": _resize,
}
