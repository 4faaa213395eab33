"""Requests of callers and operators to this node, dispatched by verb.

An operator's change is forwarded to the lease holder of its shard (`command_forwarding`).  A
read is linearizable: it waits until the feed confirms a state that was current after the read
arrived, and fails if that does not happen in time.
"""

import dataclasses
import json
from dataclasses import dataclass, field

from configuration.schema import RANK
from membership import peer_table
from replication import follower as follows
from routing import choice, draining, resuming, router
from transport import failures
from transport.effects import Reply

from pulleyhitch import command_forwarding, introspection, passages, shard_ownership
from pulleyhitch.command_forwarding import LOG_SHARD, CommandResult

__all__ = [
    "OperatorRequests",
    "handle_request",
    "tick",
    "answer_confirmed_reads",
    "on_command",
    "routing_peers",
    "requester_card",
]

_FLEET = "fleet"
# Role in a stopping node's feed requests.
_STOPPING = "stopping"


@dataclass(frozen=True)
class PendingRead:
    """A read that the feed has not confirmed yet."""

    token: str
    body: dict
    requested_ms: float
    deadline_ms: float


@dataclass
class OperatorRequests:
    """Pending commands by id (also those of the router) and pending reads.

    `count` numbers operators' commands; `demand_reported_ms` is the time of the last report of
    demand to the placers."""

    pending: dict = field(default_factory=dict)
    reads: list = field(default_factory=list)
    count: int = 0
    demand_reported_ms: float = -1e12


def handle_request(node, now_ms, event):
    """Handle a request by its verb; its outcome comes as a Reply effect, now or later.  Verbs
    without a handler here are forwarded as commands to the holder of their shard."""
    handler = _VERBS.get(event.verb)
    if handler is not None:
        return handler(node, now_ms, event.token, event.body)
    shard = LOG_SHARD if event.verb == "fleet" else 0
    return command_forwarding.forward(node, now_ms, event.token, shard, event.verb, event.body)


def _ended(node, now_ms, token, body):
    age_ms = follows.age(node.follower, now_ms)
    peers = routing_peers(node, now_ms)
    effects = router.ended(node.router, now_ms, node.cluster, age_ms, peers, token, body["proof"])
    return effects + router.retry_waiting(node.router, now_ms, node.cluster, age_ms, peers)


def _silent(node, now_ms, token, body):
    age_ms = follows.age(node.follower, now_ms)
    return router.attempt_silent(
        node.router, now_ms, node.cluster, age_ms, routing_peers(node, now_ms), token
    )


def _resume(node, now_ms, token, body):
    return resuming.resume(
        node.router, now_ms, node.cluster, routing_peers(node, now_ms), token, body["incarnation"]
    )


def _believes(node, now_ms, token, body):
    return [Reply(token, CommandResult(200, introspection.node_state(node, now_ms)))]


def _read(node, now_ms, token, body):
    """Queue a read, and request from the leader the feed update that confirms it."""
    deadline_ms = command_forwarding.answer_deadline(node, now_ms)
    node.operator.reads.append(PendingRead(token, body, now_ms, deadline_ms))
    leader = node.peers.group.leader
    return (
        [follows.make_request(node.follower, now_ms, requester_card(node), leader)]
        if leader
        else []
    )


def _handle_abandoned(node, now_ms, token, body):
    """An operator has disconnected: drop its commands and reads."""
    command_forwarding.cancel(node, token)
    node.operator.reads = [read for read in node.operator.reads if read.token != token]
    return [Reply(token, failures.MajorityLost(1000))]


def _passage(node, now_ms, token, body):
    return passages.begin(node, now_ms, token, body, routing_peers(node, now_ms))


def _ready(node, now_ms, token, body):
    return [Reply(token, CommandResult(200 if passages.ready(node, now_ms) else 503, {}))]


def _leave(node, now_ms, token, body):
    """The process is to stop: requests are answered by the times in the body, ms from now."""
    node.leaving = True
    node.router.drain = draining.Drain(now_ms + body["acceptMs"], now_ms + body["waitMs"])
    return []


def _seeds(node, now_ms, token, body):
    node.peers.seeds = tuple(body["seeds"])
    return []


def _route(node, now_ms, token, body):
    name = body["name"]
    for section in node.cluster.registry.sections.values():
        if name in section["routes"]:
            return [Reply(token, CommandResult(200, section["routes"][name]))]
    return [Reply(token, failures.NotFound(f"route {name}"))]


def requester_card(node):
    """The card in this node's feed requests.  A stopping node still follows the feed, under a
    role that gets no lease."""
    return dataclasses.replace(node.card, role=_STOPPING) if node.closing else node.card


def routing_peers(node, now_ms):
    """The live counters, among which the places of engines are divided, as this node knows them."""
    return choice.RoutingNodes(
        node.card.name, peer_table.counters(node.peers, now_ms), node.card.zone
    )


def _task(node, now_ms, token, facts):
    if node.closing or draining.refuses_new_requests(node.router, now_ms):
        return [Reply(token, draining.CLOSING)]
    task = router.Task(
        token,
        facts["id"],
        facts["service"],
        facts["model"],
        facts["adapter"],
        facts["class"],
        facts["prompt"][:64],
        facts["repeatable"],
        facts["stream"],
        now_ms + facts["deadlineMs"],
        rank=RANK[facts["class"]],
    )
    return router.begin(
        node.router,
        now_ms,
        node.cluster,
        follows.age(node.follower, now_ms),
        routing_peers(node, now_ms),
        task,
    )


_VERBS = {
    "task": _task,
    "ended": _ended,
    "silent": _silent,
    "resume": _resume,
    "believes": _believes,
    "read": _read,
    "abandoned": _handle_abandoned,
    "passage": _passage,
    "ready": _ready,
    "leave": _leave,
    "seeds": _seeds,
    "route": _route,
}


def tick(node, now_ms):
    """Fail requests past their deadline, answer confirmed reads and report demand."""
    effects = command_forwarding.tick(node, now_ms)
    for read in list(node.operator.reads):
        if now_ms >= read.deadline_ms:
            node.operator.reads.remove(read)
            effects.append(Reply(read.token, failures.MajorityLost(1000)))
    effects += answer_confirmed_reads(node, now_ms)
    return effects + passages.report_demand(node, now_ms, command_forwarding.holder_address)


def answer_confirmed_reads(node, now_ms):
    """Answer the reads that the feed has confirmed by now."""
    effects = []
    for read in list(node.operator.reads):
        if node.follower.current_ms >= read.requested_ms:
            node.operator.reads.remove(read)
            effects.append(Reply(read.token, _read_result(node, now_ms, read)))
    return effects


def _read_result(node, now_ms, read):
    if read.body.get("what") != _FLEET:
        return CommandResult(200, introspection.read(node, now_ms, read.body))
    if not _is_log_leader(node):
        return failures.MajorityLost(1000)
    return introspection.fleet(node, now_ms)


def _is_log_leader(node):
    return node.depot is not None and node.depot.writer.serving


def on_command(node, now_ms, message):
    """Handle a command from another node, for a shard held here or for the log's leader."""
    token = f"cmd|{message.address}|{message.id}"
    try:
        body = json.loads(message.body)
    except ValueError:
        return []
    if message.shard == LOG_SHARD:
        return _read(node, now_ms, token, {"what": _FLEET}) if _is_log_leader(node) else []
    return shard_ownership.command(
        node.ownership,
        now_ms,
        token,
        message.shard,
        message.verb,
        body,
        node.follower,
        node.cluster,
        node.times,
        node.placement_settings,
    )
