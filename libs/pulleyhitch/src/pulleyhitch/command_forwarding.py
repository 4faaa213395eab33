"""Commands on their way to the holder of a shard.

A command is offered again, under the same id, until the holder answers or its time is
up; then the asker is told that there is no clear answer.  A node that no majority has
confirmed anything to lately says so at once, so that its operator goes elsewhere.
"""

import json
from dataclasses import dataclass

from placement import world
from replication import follower as follows
from routing import router, tasks
from transport import failures
from transport.effects import Reply, Send
from transport.messages import Command, CommandAnswer

__all__ = [
    "CommandResult",
    "LOG_SHARD",
    "answer_deadline",
    "cancel",
    "holder_address",
    "on_answer",
    "is_isolated",
    "forward",
    "tick",
    "translate",
]

LOG_SHARD = -1
_CHANGE_VERBS = ("layout", "zone", "engines", "written")
# What a holder says that hasn't decided: the command is offered again.
_RETRIED_FAILURES = ("no-holder", "edition-ahead")
# Of the time in which service must be back: how long a command may go without a holder.
_SERVICE_BACK_SHARE = 0.75
# Of an operator's wait: how long a change may wait for the edition that it builds on.
_EDITION_WAIT_SHARE = 0.5
_NO_CONTACT_MS = -1e11


@dataclass(frozen=True)
class CommandResult:
    """A holder's answer to a command."""

    status: int
    body: dict


@dataclass
class PendingCommand:
    """A command that no holder has answered yet."""

    token: str
    shard: int
    verb: str
    body: dict
    deadline_ms: float
    edition_wait_end_ms: float = 0.0
    sent_ms: float = -1e12


def is_isolated(node, now_ms):
    """Whether no majority has confirmed anything to this node for longer than a change of
    leaders takes.  One that has only just started can't tell yet."""
    longest_ms = 2 * (node.times.elect_ms + node.times.ping_ms)
    return (
        node.follower.current_ms > _NO_CONTACT_MS
        and follows.age(node.follower, now_ms) > longest_ms
    )


def answer_deadline(node, now_ms):
    """When an operator who asks now must have an answer, clear or not."""
    bounds = node.config.bounds
    wait_ms = min(_SERVICE_BACK_SHARE * bounds.serviceBackMs, bounds.acknowledgeMs)
    if bounds.answerMs:
        wait_ms = min(wait_ms, bounds.answerMs)
    if is_isolated(node, now_ms):
        wait_ms = min(wait_ms, node.times.ping_ms)
    return now_ms + wait_ms


def forward(node, now_ms, token, shard, verb, body):
    """Offer an operator's command to the holder of its shard."""
    id_ = _next_id(node)
    deadline_ms = answer_deadline(node, now_ms)
    edition_wait_end_ms = now_ms + _EDITION_WAIT_SHARE * (deadline_ms - now_ms)
    body = _with_change_id(node, verb, body, id_)
    return _add_pending(
        node,
        now_ms,
        id_,
        PendingCommand(token, shard, verb, body, deadline_ms, edition_wait_end_ms),
    )


def _next_id(node):
    node.operator.count += 1
    return f"{node.card.incarnation}.{node.operator.count}"


def _with_change_id(node, verb, body, id_):
    """A change has an id.  One for a zone that has none of its operator's goes with the
    zone's state here, so that a copy that comes late, after others, changes nothing."""
    if verb not in _CHANGE_VERBS or body.get("change"):
        return body
    body = {**body, "change": id_}
    zone = body.get("zone")
    if verb == "zone" and isinstance(zone, str) and body.get("expect") is None:
        body["since"] = node.cluster.registry.zoneStamps.get(zone, 0)
    return body


def _add_pending(node, now_ms, id_, pending):
    node.operator.pending[id_] = pending
    return _send_to_holder(node, now_ms, pending, id_)


def _send_to_holder(node, now_ms, pending, id_):
    to = holder_address(node, pending.shard)
    if not to:
        return []
    pending.sent_ms = now_ms
    body_sent = pending.body
    if pending.verb == "written" and now_ms < pending.edition_wait_end_ms:
        body_sent = {**body_sent, "may_wait": True}
    body = json.dumps(body_sent).encode()
    return [Send(to, Command(id_, pending.shard, node.card.address, pending.verb, body))]


def holder_address(node, shard):
    """Where the holder of a shard is reached; empty if nobody knows."""
    if shard == LOG_SHARD:
        return node.peers.group.leader
    part = node.follower.state.shards.get(shard)
    if part is None or not part.holder:
        return ""
    if part.holder == node.card.name:
        return node.card.address
    card = node.peers.cards.get(part.holder)
    return card.address if card else ""


def tick(node, now_ms):
    """Offer again what has no answer yet; end what has waited long enough."""
    effects = []
    for id_, pending in list(node.operator.pending.items()):
        if now_ms >= pending.deadline_ms:
            del node.operator.pending[id_]
            effects += _finish(node, now_ms, pending, failures.NoHolder(1000, pending.shard))
        elif now_ms - pending.sent_ms > node.times.ping_ms:
            effects += _send_to_holder(node, now_ms, pending, id_)
    return effects


def cancel(node, token):
    """The asker has left: its command isn't offered any more."""
    for id_, pending in list(node.operator.pending.items()):
        if pending.token == token:
            del node.operator.pending[id_]


def on_answer(node, now_ms, message):
    """The holder has answered; anything undecided is offered again."""
    pending = node.operator.pending.get(message.id)
    if pending is None:
        return []
    body = json.loads(message.body)
    if body.get("failure") in _RETRIED_FAILURES:
        return []
    del node.operator.pending[message.id]
    if pending.verb == "zone" and _is_stale_here(pending, body):
        return _retry_on_current(node, now_ms, pending, body["current"])
    return _finish(node, now_ms, pending, CommandResult(message.status, body))


def _is_stale_here(pending, body):
    """Whether an order for a zone was turned away only because this node was behind."""
    return body.get("failure") == "stamp-stale" and body.get("expected") == pending.body.get(
        "since"
    )


def _retry_on_current(node, now_ms, pending, since):
    """The same order on top of the zone's present state, if its operator still waits."""
    id_ = _next_id(node)
    pending.body = {**pending.body, "change": id_, "since": since}
    return _add_pending(node, now_ms, id_, pending)


def _finish(node, now_ms, pending, outcome):
    if pending.verb != "hold":
        return [Reply(pending.token, outcome)] if pending.token else []
    if isinstance(outcome, CommandResult) and outcome.status != 200:
        outcome = failures.NoRoom(
            int(outcome.body.get("retryMs", 3000)),
            pending.body["model"],
            str(outcome.body.get("cause", "waitlist")),
        )
    elif isinstance(outcome, CommandResult):
        outcome = outcome.body
    return router.held(node.router, now_ms, pending.body["id"], outcome)


def translate(node, now_ms, effects):
    """Turn holds into commands and answers to commands into messages."""
    out, remaining = [], list(effects)
    while remaining:
        effect = remaining.pop(0)
        if isinstance(effect, tasks.Hold):
            remaining = _hold(node, now_ms, effect) + remaining
        elif isinstance(effect, Reply) and effect.token.startswith("cmd|"):
            out.append(_command_answer(effect))
        else:
            out.append(effect)
    return out


def _hold(node, now_ms, effect):
    """A router's wish for the placer of a service, under an id of its own."""
    shard = effect.shard
    if shard < 0:
        shard = world.shard_of(effect.body["service"], node.config.shards)
    body = {**effect.body, "node": node.card.name, "life": node.card.incarnation}
    bounds = node.config.bounds
    deadline_ms = now_ms + min(_SERVICE_BACK_SHARE * bounds.serviceBackMs, bounds.acknowledgeMs)
    pending = PendingCommand("", shard, effect.verb, body, deadline_ms)
    return _add_pending(node, now_ms, f"{effect.verb}.{effect.body['id']}", pending)


def _command_answer(effect):
    _, address, id_ = effect.token.split("|", 2)
    outcome, status = effect.outcome, 200
    if isinstance(outcome, failures.Failure):
        outcome, status = failures.as_json(outcome), outcome.status
    return Send(address, CommandAnswer(id_, status, json.dumps(outcome).encode()))
