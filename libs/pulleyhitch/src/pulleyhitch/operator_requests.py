"""Operators at any node: changes forwarded, reads confirmed, fleet told.

A change goes to the holder of the shard it concerns and is offered again,
under the same id, until that holder answers or time is up.  A read waits
until this node has caught up with a mark it asked for after the read came in.
"""

import dataclasses
import json
from dataclasses import dataclass, field

from configuration.schema import RANK
from membership import peer_table
from placement import world
from replication import follower as follows
from routing import choice, resuming, router
from transport import failures
from transport.effects import Reply, Send
from transport.messages import Command, CommandAnswer

from pulleyhitch import introspection, passages, shard_ownership

__all__ = [
    "OperatorRequests",
    "asked",
    "tick",
    "current",
    "on_command",
    "on_answer",
    "translate",
    "Answered",
    "crew",
    "asker",
]

_LOG_SHARD = -1
_STOPPING = "stopping"


@dataclass
class _Pending:
    token: str
    shard: int
    verb: str
    body: dict
    end_ms: float
    sent_ms: float = -1e12
    last: object = None


@dataclass(frozen=True)
class Answered:
    status: int
    body: dict


@dataclass
class OperatorRequests:
    pending: dict = field(default_factory=dict)
    reads: list = field(default_factory=list)
    count: int = 0
    told_ms: float = -1e12


def asked(node, now_ms, event):
    verb, body = event.verb, event.body
    if verb == "task":
        return _task(node, now_ms, event.token, body)
    if verb == "ended":
        age_ms, sharing = follows.age(node.follow, now_ms), crew(node, now_ms)
        effects = router.ended(
            node.router, now_ms, node.floor, age_ms, sharing, event.token, body["proof"]
        )
        return effects + router.wake(node.router, now_ms, node.floor, age_ms, sharing)
    if verb == "silent":
        return router.silent(
            node.router,
            now_ms,
            node.floor,
            follows.age(node.follow, now_ms),
            crew(node, now_ms),
            event.token,
        )
    if verb == "resume":
        return resuming.resume(
            node.router, now_ms, node.floor, crew(node, now_ms), event.token, body["incarnation"]
        )
    if verb == "believes":
        return [Reply(event.token, Answered(200, introspection.all_of(node, now_ms)))]
    if verb == "read":
        node.operator.reads.append(
            (event.token, body, now_ms, now_ms + 0.5 * node.config.bounds.serviceBackMs)
        )
        return (
            [follows.ask(node.follow, now_ms, asker(node), node.peers.group.leader)]
            if node.peers.group.leader
            else []
        )
    if verb == "passage":
        return passages.begin(node, now_ms, event.token, body, crew(node, now_ms))
    if verb == "ready":
        return [Reply(event.token, Answered(200 if passages.ready(node, now_ms) else 503, {}))]
    if verb == "leave":
        node.leaving = True
        return []
    if verb == "seeds":
        node.peers.seeds = tuple(body["seeds"])
        return []
    if verb == "since":
        since = node.floor.registry.zoneStamps.get(body["zone"], 0)
        return [Reply(event.token, Answered(200, {"since": since}))]
    if verb == "route":
        return [Reply(event.token, _route(node, body["name"]))]
    shard = _LOG_SHARD if verb == "fleet" else 0
    return _send(
        node,
        now_ms,
        event.token,
        shard,
        verb,
        body,
        f"{node.card.incarnation}.{_next(node)}",
    )


def asker(node):
    """Who asks for news: a node that stops still does, but is given no lease."""
    return dataclasses.replace(node.card, role=_STOPPING) if node.closing else node.card


def crew(node, now_ms):
    return choice.Crew(node.card.name, peer_table.counters(node.peers, now_ms), node.card.zone)


def _next(node):
    node.operator.count += 1
    return node.operator.count


def _route(node, name):
    for section in node.floor.registry.sections.values():
        if name in section["routes"]:
            return Answered(200, section["routes"][name])
    return failures.NotFound(f"route {name}")


def _task(node, now_ms, token, told):
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
        now_ms + told["deadlineMs"],
        rank=RANK[told["class"]],
    )
    return router.begin(
        node.router, now_ms, node.floor, follows.age(node.follow, now_ms), crew(node, now_ms), task
    )


def _send(node, now_ms, token, shard, verb, body, id_):
    """Offer a command to its holder, until it answers or time is up."""
    if verb in ("layout", "zone", "engines", "written") and not body.get("change"):
        body = {**body, "change": id_}
    end_ms = now_ms + min(0.75 * node.config.bounds.serviceBackMs, node.config.bounds.acknowledgeMs)
    node.operator.pending[id_] = _Pending(token, shard, verb, body, end_ms)
    return _offer(node, now_ms, id_)


def _holder_address(node, shard):
    if shard == _LOG_SHARD:
        return node.peers.group.leader
    part = node.follow.state.shards.get(shard)
    if part is None or not part.holder:
        return ""
    if part.holder == node.card.name:
        return node.card.address
    card = node.peers.cards.get(part.holder)
    return card.address if card else ""


def _offer(node, now_ms, id_):
    pending = node.operator.pending[id_]
    to = _holder_address(node, pending.shard)
    if not to:
        return []
    pending.sent_ms = now_ms
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


def tick(node, now_ms):
    effects = []
    for id_, pending in list(node.operator.pending.items()):
        if now_ms >= pending.end_ms:
            del node.operator.pending[id_]
            failure = failures.NoHolder(1000, pending.shard)
            effects += _finish(node, now_ms, pending, failure)
        elif now_ms - pending.sent_ms > node.times.ping_ms:
            effects += _offer(node, now_ms, id_)
    for read in list(node.operator.reads):
        if now_ms >= read[3]:
            node.operator.reads.remove(read)
            effects.append(Reply(read[0], failures.MajorityLost(1000)))
    return effects + current(node, now_ms) + passages.tell_wanted(node, now_ms, _holder_address)


def current(node, now_ms):
    """Answer the reads that a confirmed mark has overtaken."""
    effects = []
    for read in list(node.operator.reads):
        if node.follow.current_ms >= read[2]:
            node.operator.reads.remove(read)
            effects.append(Reply(read[0], Answered(200, introspection.read(node, now_ms, read[1]))))
    return effects


def on_command(node, now_ms, message):
    token = f"cmd|{message.address}|{message.id}"
    try:
        body = json.loads(message.body)
    except ValueError:
        return []
    if message.shard == _LOG_SHARD:
        if node.depot is None or not node.depot.writer.serving:
            return []
        return [Reply(token, introspection.fleet(node, now_ms))]
    return shard_ownership.command(
        node.owners,
        now_ms,
        token,
        message.shard,
        message.verb,
        body,
        node.follow,
        node.floor,
        node.times,
        node.terms,
    )


def on_answer(node, now_ms, message):
    pending = node.operator.pending.get(message.id)
    if pending is None:
        return []
    body = json.loads(message.body)
    if body.get("failure") == "no-holder":
        return []
    del node.operator.pending[message.id]
    return _finish(node, now_ms, pending, Answered(message.status, body))


def _finish(node, now_ms, pending, outcome):
    if pending.verb == "hold":
        if isinstance(outcome, Answered) and outcome.status != 200:
            outcome = failures.NoRoom(
                int(outcome.body.get("retryMs", 3000)),
                pending.body["model"],
                str(outcome.body.get("cause", "waitlist")),
            )
        elif isinstance(outcome, Answered):
            outcome = outcome.body
        return router.held(node.router, now_ms, pending.body["id"], outcome)
    return [Reply(pending.token, outcome)] if pending.token else []


def translate(node, now_ms, effects):
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
            queue = _send(node, now_ms, "", shard, effect.verb, body, id_) + queue
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
