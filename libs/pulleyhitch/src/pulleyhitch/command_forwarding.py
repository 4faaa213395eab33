"""Forwarding of commands to the lease holder of a shard.

A command is resent, under the same id, until the holder answers or the deadline passes; then
the client gets a failure, and the command may or may not have taken effect.  A large one is resent
less often, unless the holder changes.  A node that is cut
off from the majority fails fast, so that the operator can try another node.
"""

import json
from dataclasses import dataclass

from placement import registry_view
from replication import follower as follows
from routing import router, tasks
from transport import failures
from transport.effects import Reply, Send
from transport.messages import ShardCommand, ShardCommandReply

from pulleyhitch import json_text

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

# Pseudo shard whose holder is the leader of the log.
LOG_SHARD = -1
_CHANGE_VERBS = ("layout", "zone", "engines", "written")
# Failures that a holder returns before it has decided a command; the command is resent.
_RETRIED_FAILURES = ("no-holder", "edition-ahead")
# Part of `serviceBackMs` during which a command may wait for an answer of the holder.
_SERVICE_BACK_SHARE = 0.75
# Part of the deadline during which a change may wait for the edition that it builds on.
_EDITION_WAIT_SHARE = 0.5
# A command of this size is resent after twice the usual time, a larger one after more.
_RESENT_BYTES = 256 << 10
# A lower `current_ms` means that the feed has confirmed nothing yet.
_NO_CONTACT_MS = -1e11


@dataclass(frozen=True)
class CommandResult:
    """Result of a command or read: an HTTP status and a JSON body."""

    status: int
    body: dict


@dataclass
class PendingCommand:
    """A command without an answer so far; `token` is empty for a router's Hold.  Values of `body`
    may be JsonTexts.  `sent_to`: the address it was last sent to; `sent_bytes`: its size."""

    token: str
    shard: int
    verb: str
    body: dict
    deadline_ms: float
    edition_wait_end_ms: float = 0.0
    sent_ms: float = -1e12
    sent_to: str = ""
    sent_bytes: int = 0


def is_isolated(node, now_ms):
    """Whether no majority has confirmed this node's state for longer than an election takes.
    False on a node that has just started and has had no confirmation yet."""
    longest_ms = 2 * (node.times.election_ms + node.times.ping_ms)
    return (
        node.follower.current_ms > _NO_CONTACT_MS
        and follows.age(node.follower, now_ms) > longest_ms
    )


def answer_deadline(node, now_ms):
    """Time by which an operator's request that arrives now must be answered, decided or not."""
    bounds = node.config.bounds
    wait_ms = min(_SERVICE_BACK_SHARE * bounds.serviceBackMs, bounds.acknowledgeMs)
    if bounds.answerMs:
        wait_ms = min(wait_ms, bounds.answerMs)
    if is_isolated(node, now_ms):
        wait_ms = min(wait_ms, node.times.ping_ms)
    return now_ms + wait_ms


def forward(node, now_ms, token, shard, verb, body):
    """Send an operator's command to the holder of its shard."""
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
    """Add a change id to a change without one.  A change of a zone also gets the zone's stamp
    as known here, in `since`, unless the operator gave one in `expect`, so that a duplicate that
    arrives after later changes has no effect."""
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
    address = holder_address(node, pending.shard)
    if not address:
        return []
    body_sent = pending.body
    if pending.verb == "written" and now_ms < pending.edition_wait_end_ms:
        body_sent = {**body_sent, "may_wait": True}
    body = json_text.encode(body_sent)
    pending.sent_ms, pending.sent_to, pending.sent_bytes = now_ms, address, len(body)
    return [Send(address, ShardCommand(id_, pending.shard, node.card.address, pending.verb, body))]


def holder_address(node, shard):
    """Address of the lease holder of a shard, of the leader for LOG_SHARD; empty if unknown."""
    if shard == LOG_SHARD:
        return node.peers.group.leader
    assignment = node.follower.state.shards.get(shard)
    if assignment is None or not assignment.holder:
        return ""
    if assignment.holder == node.card.name:
        return node.card.address
    card = node.peers.cards.get(assignment.holder)
    return card.address if card else ""


def tick(node, now_ms):
    """Resend commands without an answer; fail those past their deadline."""
    effects = []
    for id_, pending in list(node.operator.pending.items()):
        if now_ms >= pending.deadline_ms:
            del node.operator.pending[id_]
            effects += _finish(node, now_ms, pending, failures.NoHolder(1000, pending.shard))
        elif now_ms - pending.sent_ms > _resend_after_ms(node, pending):
            effects += _send_to_holder(node, now_ms, pending, id_)
    return effects


def _resend_after_ms(node, pending):
    """How long after a command was sent it is sent again."""
    if holder_address(node, pending.shard) != pending.sent_to:
        return node.times.ping_ms
    return node.times.ping_ms * (1 + pending.sent_bytes // _RESENT_BYTES)


def cancel(node, token):
    """Drop the commands of a client that has disconnected."""
    for id_, pending in list(node.operator.pending.items()):
        if pending.token == token:
            del node.operator.pending[id_]


def on_answer(node, now_ms, message):
    """Handle a holder's answer; a command that it has not decided stays pending and is resent."""
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
    """Whether a change of a zone was refused only because this node's stamp was stale."""
    return body.get("failure") == "stamp-stale" and body.get("expected") == pending.body.get(
        "since"
    )


def _retry_on_current(node, now_ms, pending, since):
    """Repeat a change of a zone, under a new id, with the zone's current stamp as `since`."""
    id_ = _next_id(node)
    pending.body = {**pending.body, "change": id_, "since": since}
    return _add_pending(node, now_ms, id_, pending)


def _finish(node, now_ms, pending, outcome):
    """Pass on the outcome of a command: to the router for a hold, else to a waiting operator."""
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
    return router.hold_answered(node.router, now_ms, pending.body["id"], outcome)


def translate(node, now_ms, effects):
    """Replace the effects that concern other nodes: a router's Hold becomes a command to a
    placer, a Reply to another node's command becomes a message."""
    translated, remaining = [], list(effects)
    while remaining:
        effect = remaining.pop(0)
        if isinstance(effect, tasks.Hold):
            remaining = _hold(node, now_ms, effect) + remaining
        elif isinstance(effect, Reply) and effect.token.startswith("cmd|"):
            translated.append(_command_answer(effect))
        else:
            translated.append(effect)
    return translated


def _hold(node, now_ms, effect):
    """Send a router's Hold as a command to the placer of the service's shard."""
    shard = effect.shard
    if shard < 0:
        shard = registry_view.shard_of(effect.body["service"], node.config.shards)
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
    return Send(address, ShardCommandReply(id_, status, json.dumps(outcome).encode()))
