"""Operators at any node: changes forwarded, reads confirmed, fleet told.

A change goes to the holder of the shard it concerns and is offered again,
under the same id, until that holder answers or time is up.  A read waits
until this node has caught up with a mark it asked for after the read came in.
"""

import json
from dataclasses import dataclass, field

from dispatch import world
from fellows import circle as circles
from junction import choice, resuming, router
from logbook import follow as follows
from manifest.schema import RANK
from waybill import failures
from waybill.effects import Reply, Send
from waybill.messages import Command, CommandAnswer

from pulleyhitch import believing, keeping, passages

__all__ = [
    "Operating",
    "asked",
    "tick",
    "current",
    "on_command",
    "on_answer",
    "translate",
    "Answered",
    "crew",
]

_LOG_SHARD = -1


@dataclass
class _Pending:
    token: str
    shard: int
    verb: str
    body: dict
    endMs: float
    sentMs: float = -1e12
    last: object = None


@dataclass(frozen=True)
class Answered:
    status: int
    body: dict


@dataclass
class Operating:
    pending: dict = field(default_factory=dict)
    reads: list = field(default_factory=list)
    count: int = 0
    toldMs: float = -1e12


def asked(node, nowMs, event):
    verb, body = event.verb, event.body
    if verb == "task":
        return _task(node, nowMs, event.token, body)
    if verb == "ended":
        effects = router.ended(
            node.router,
            nowMs,
            node.floor,
            follows.age(node.follow, nowMs),
            crew(node, nowMs),
            event.token,
            body["proof"],
        )
        return effects + router.wake(
            node.router, nowMs, node.floor, follows.age(node.follow, nowMs), crew(node, nowMs)
        )
    if verb == "silent":
        return router.silent(
            node.router,
            nowMs,
            node.floor,
            follows.age(node.follow, nowMs),
            crew(node, nowMs),
            event.token,
        )
    if verb == "resume":
        return resuming.resume(
            node.router, nowMs, node.floor, crew(node, nowMs), event.token, body["incarnation"]
        )
    if verb == "believes":
        return [Reply(event.token, Answered(200, believing.all_of(node, nowMs)))]
    if verb == "read":
        node.operator.reads.append(
            (event.token, body, nowMs, nowMs + 0.5 * node.config.bounds.serviceBackMs)
        )
        return (
            [follows.ask(node.follow, nowMs, node.card, node.circle.group.leader)]
            if node.circle.group.leader
            else []
        )
    if verb == "passage":
        return passages.begin(node, nowMs, event.token, body, crew(node, nowMs))
    if verb == "ready":
        return [Reply(event.token, Answered(200 if passages.ready(node, nowMs) else 503, {}))]
    if verb == "leave":
        node.leaving = True
        return []
    if verb == "seeds":
        node.circle.seeds = tuple(body["seeds"])
        return []
    if verb == "since":
        since = node.floor.registry.zoneStamps.get(body["zone"], 0)
        return [Reply(event.token, Answered(200, {"since": since}))]
    if verb == "route":
        return [Reply(event.token, _route(node, body["name"]))]
    shard = _LOG_SHARD if verb == "fleet" else 0
    return _send(
        node,
        nowMs,
        event.token,
        shard,
        verb,
        body,
        body.get("id") or f"{node.card.incarnation}.{_next(node)}",
    )


def crew(node, nowMs):
    return choice.Crew(node.card.name, circles.counters(node.circle, nowMs), node.card.zone)


def _next(node):
    node.operator.count += 1
    return node.operator.count


def _route(node, name):
    for section in node.floor.registry.sections.values():
        if name in section["routes"]:
            return Answered(200, section["routes"][name])
    return failures.NotFound(f"route {name}")


def _task(node, nowMs, token, told):
    if node.closing:
        return [Reply(token, failures.Overloaded(1000, "closing"))]
    task = router.Task(
        token,
        told["id"],
        told["service"],
        told["model"],
        told["adapter"],
        told["class"],
        told["prompt"][:64],
        told["repeatable"],
        told["stream"],
        nowMs + told["deadlineMs"],
        rank=RANK[told["class"]],
    )
    return router.begin(
        node.router, nowMs, node.floor, follows.age(node.follow, nowMs), crew(node, nowMs), task
    )


def _send(node, nowMs, token, shard, verb, body, id_):
    """Offer a command to its holder, until it answers or time is up."""
    if verb in ("layout", "zone", "engines", "written") and not body.get("change"):
        body = {**body, "change": id_}
    endMs = nowMs + min(0.75 * node.config.bounds.serviceBackMs, node.config.bounds.acknowledgeMs)
    node.operator.pending[id_] = _Pending(token, shard, verb, body, endMs)
    return _offer(node, nowMs, id_)


def _holder_address(node, shard):
    if shard == _LOG_SHARD:
        return node.circle.group.leader
    part = node.follow.book.shards.get(shard)
    if part is None or not part.holder:
        return ""
    if part.holder == node.card.name:
        return node.card.address
    card = node.circle.cards.get(part.holder)
    return card.address if card else ""


def _offer(node, nowMs, id_):
    pending = node.operator.pending[id_]
    to = _holder_address(node, pending.shard)
    if not to:
        return []
    pending.sentMs = nowMs
    return [
        Send(
            to,
            Command(
                id_,
                pending.shard,
                node.card.address,
                pending.verb,
                json.dumps(pending.body).encode(),
            ),
        )
    ]


def tick(node, nowMs):
    effects = []
    for id_, pending in list(node.operator.pending.items()):
        if nowMs >= pending.endMs:
            del node.operator.pending[id_]
            failure = failures.NoHolder(1000, pending.shard)
            effects += _finish(node, nowMs, pending, failure)
        elif nowMs - pending.sentMs > node.times.pingMs:
            effects += _offer(node, nowMs, id_)
    for read in list(node.operator.reads):
        if nowMs >= read[3]:
            node.operator.reads.remove(read)
            effects.append(Reply(read[0], failures.MajorityLost(1000)))
    return effects + current(node, nowMs) + passages.tell_wanted(node, nowMs, _holder_address)


def current(node, nowMs):
    """Answer the reads that a confirmed mark has overtaken."""
    effects = []
    for read in list(node.operator.reads):
        if node.follow.currentMs >= read[2]:
            node.operator.reads.remove(read)
            effects.append(Reply(read[0], Answered(200, believing.read(node, nowMs, read[1]))))
    return effects


def on_command(node, nowMs, message):
    token = f"cmd|{message.address}|{message.id}"
    try:
        body = json.loads(message.body)
    except ValueError:
        return []
    if message.shard == _LOG_SHARD:
        if node.depot is None or not node.depot.desk.serving:
            return []
        return [Reply(token, believing.fleet(node, nowMs))]
    return keeping.command(
        node.keepers,
        nowMs,
        token,
        message.shard,
        message.verb,
        body,
        node.follow,
        node.floor,
        node.times,
        node.terms,
    )


def on_answer(node, nowMs, message):
    pending = node.operator.pending.get(message.id)
    if pending is None:
        return []
    body = json.loads(message.body)
    if body.get("failure") == "no-holder":
        return []
    del node.operator.pending[message.id]
    return _finish(node, nowMs, pending, Answered(message.status, body))


def _finish(node, nowMs, pending, outcome):
    if pending.verb == "hold":
        if isinstance(outcome, Answered) and outcome.status != 200:
            outcome = failures.NoRoom(
                int(outcome.body.get("retryMs", 3000)),
                pending.body["model"],
                str(outcome.body.get("cause", "waitlist")),
            )
        elif isinstance(outcome, Answered):
            outcome = outcome.body
        return router.held(node.router, nowMs, pending.body["id"], outcome)
    return [Reply(pending.token, outcome)] if pending.token else []


def translate(node, nowMs, effects):
    """Turn holds into commands and answers to commands into messages."""
    out, queue = [], list(effects)
    while queue:
        effect = queue.pop(0)
        if isinstance(effect, router.Hold):
            shard = (
                effect.shard
                if effect.shard >= 0
                else world.shard_of(effect.body["service"], node.config.shards)
            )
            id_ = f"{effect.verb}.{effect.body['id']}"
            body = {**effect.body, "node": node.card.name, "life": node.card.incarnation}
            queue = _send(node, nowMs, "", shard, effect.verb, body, id_) + queue
        elif isinstance(effect, Reply) and effect.token.startswith("cmd|"):
            out.append(_command_answer(effect))
        else:
            out.append(effect)
    return out


def _command_answer(effect):
    _, address, id_ = effect.token.split("|", 2)
    outcome, status = effect.outcome, 200
    if isinstance(outcome, failures.Failure):
        outcome, status = failures.as_json(outcome), outcome.status
    return Send(address, CommandAnswer(id_, status, json.dumps(outcome).encode()))
