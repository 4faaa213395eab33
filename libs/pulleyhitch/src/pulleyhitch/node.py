"""A node's core: a state machine that takes events and returns effects.

It combines the libraries.  There are two roles: a counter routes requests and, as long as it holds
leases of shards, places models; a depot keeps a replica of the log.  Both follow the feed (the
stream of committed log records), exchange heartbeats with peers and serve operators.  The same
`handle` runs in real processes and in the simulator.
"""

import random
from dataclasses import dataclass

from membership import greetings, peer_table
from placement import cluster_state
from replication import depot as depots
from replication import follower as follows
from routing import engine_tracking, refusal_log, router
from transport import events, messages
from transport.effects import Finished, Send

from pulleyhitch import command_forwarding, operator_requests, quota_requests, shard_ownership
from pulleyhitch import config as configs

__all__ = ["Node", "make", "handle", "leader_address"]

# Part of `serviceBackMs` after which a silent peer counts as lost.
_PEER_LOST_RATIO = 0.25
# How long a stopping node waits for pending responses.
_PENDING_ANSWERS_MS = 1000.0
# Messages that a depot passes to its log replica, besides FeedRequest.
_DEPOT_MESSAGES = (
    messages.AppendEntries,
    messages.AppendReply,
    messages.ReplicaChunk,
    messages.ReplicaChunkReply,
    messages.VoteRequest,
    messages.VoteReply,
    messages.TransferLeadership,
    messages.BootstrapRequest,
    messages.BootstrapReply,
    messages.LeaveRequest,
    messages.LeaveReply,
    messages.ShardAppend,
    messages.RecoveryRequest,
    messages.LeaseRelease,
    messages.FeedChunkReply,
    messages.ShardChunkReply,
)


@dataclass
class Node:
    """State of a node.

    `card` is its identity as sent to peers, `peers` its view of the membership, `follower` its
    position in the feed, `cluster` the registry and ledgers built from the feed, `ownership`
    the shards it holds, `router` and `quotas` the state of callers' requests, and
    `operator` that of operators' requests.  `depot` is the log replica, None on a counter.
    `leaving` means that the node is draining and its readiness probe fails, `closing` that it
    accepts no new work."""

    card: messages.NodeInfo
    config: configs.Config
    peers: peer_table.PeerTable
    follower: follows.FeedFollower
    cluster: cluster_state.ClusterState
    ownership: shard_ownership.ShardOwnership
    router: router.Router
    operator: operator_requests.OperatorRequests
    quotas: quota_requests.Quotas
    depot: object = None
    times: object = None
    placement_settings: object = None
    closing: bool = False
    closing_ms: float = 0.0
    leaving: bool = False
    feed_query_count: int = 0
    membership_learned_ms: float = -1e12


def make(config, incarnation, seed, group=None, dialect=None):
    """A new node.  `group` is a depot's opened log replica, None on a counter; `dialect`
    translates the formats of a platform, None for the product's own."""
    reader = dialect.reader if dialect else None
    identity = group.identity if group else ""
    card = messages.NodeInfo(
        config.name,
        config.role,
        config.zone,
        config.address,
        config.http,
        incarnation,
        identity,
        bool(group) and not group.group,
    )
    times = configs.times(config)
    rng = random.Random(seed)
    node = Node(
        card,
        config,
        peer_table.PeerTable(
            card,
            config.seeds,
            rng,
            times.ping_ms * 1.5,
            _PEER_LOST_RATIO * config.bounds.serviceBackMs,
        ),
        follows.FeedFollower(),
        cluster_state.ClusterState(config.shards, config.zones, reader),
        shard_ownership.ShardOwnership(config.shards, config.zones, reader, config.provider),
        router.Router(configs.routing_settings(config)),
        operator_requests.OperatorRequests(),
        quota_requests.make(config, random.Random(seed + 1), group),
        times=times,
        placement_settings=configs.placement_settings(config),
    )
    node.cluster.registry.zonesKnown = config.zones
    node.cluster.registry.reader = reader
    if group is not None:
        node.depot = depots.Depot(group, config.shards, card)
    return node


def leader_address(node):
    """Address of the log's leader as far as known, or an empty string."""
    return node.peers.group.leader


def handle(node, now_ms, event):
    """Apply one event and return the effects to carry out."""
    if isinstance(event, events.Received):
        effects = _handle_message(node, now_ms, event.sender, event.message)
    elif isinstance(event, events.LocalRequest):
        effects = operator_requests.handle_request(node, now_ms, event)
    elif isinstance(event, events.CallEnded):
        effects = shard_ownership.on_call_result(
            node.ownership, now_ms, event, node.cluster, node.placement_settings
        )
    elif isinstance(event, events.Shutdown):
        effects = _begin_shutdown(node, now_ms)
    elif isinstance(event, events.Tick):
        effects = _tick(node, now_ms)
    else:
        effects = []
    if node.depot is not None and not isinstance(event, (events.LocalRequest, events.CallEnded)):
        effects += _handle_depot(node, now_ms, event)
    if node.closing:
        effects = _delay_finished(node, now_ms, effects + _counter_finished(node))
    effects += shard_ownership.flush(node.ownership, now_ms, node.card, leader_address(node))
    return command_forwarding.translate(node, now_ms, effects)


def _handle_depot(node, now_ms, event):
    """Pass an event to the log replica, and update this node's view of the membership from it."""
    if isinstance(event, events.Received) and not isinstance(
        event.message, _DEPOT_MESSAGES + (messages.FeedRequest,)
    ):
        return []
    was_serving = node.depot.writer.serving
    effects = depots.handle(node.depot, now_ms, event, node.peers.cards, node.peers.group.group)
    group = node.depot.group
    if node.card.empty and group.group:
        node.card = messages.NodeInfo(**{**vars(node.card), "empty": False})
        node.peers.card = node.depot.card = node.card
    peer_table.learn_group(node.peers, depots.group_card(group), node.card.address)
    if node.depot.writer.serving and not was_serving:
        effects += peer_table.announce(node.peers, now_ms)
    return effects


def _tick(node, now_ms):
    effects = peer_table.tick(node.peers, now_ms)
    effects += _query_feed(node, now_ms)
    if not node.closing:
        effects += shard_ownership.tick(
            node.ownership,
            now_ms,
            node.card,
            node.follower,
            node.cluster,
            node.times,
            node.placement_settings,
            leader_address(node),
            lambda name, life: peer_table.lost(node.peers, now_ms, name, life),
        )
    effects += router.tick(node.router, now_ms, node.cluster)
    effects += quota_requests.tick(node, now_ms, operator_requests.routing_peers)
    effects += _retry_waiting(node, now_ms)
    effects += refusal_log.take_notes(node.router)
    return effects + operator_requests.tick(node, now_ms)


def _query_feed(node, now_ms):
    """Request feed records from the leader.  If it is silent or unknown, look for it by sending
    Gossip to the depots in turn, and request records from watched counters too."""
    if now_ms - node.follower.requested_ms < node.times.ping_ms:
        return []
    query_address = leader_address(node)
    silent = (
        now_ms - max(node.follower.direct_ms, node.membership_learned_ms) > 2 * node.times.ping_ms
    )
    effects = []
    node.feed_query_count += 1
    if silent or not query_address:
        known_depots = peer_table.depot_addresses(node.peers) or list(node.peers.seeds)
        if known_depots:
            depot_address = known_depots[node.feed_query_count % len(known_depots)]
            effects.append(
                Send(depot_address, greetings.greeting(node.peers, True, now_ms, depot_address))
            )
            query_address = (
                query_address if node.feed_query_count % 2 and query_address else depot_address
            )
        for name in peer_table.watched(node.peers)[:2]:
            card = node.peers.cards[name]
            if card.role == "counter":
                effects.append(
                    follows.make_request(
                        node.follower, now_ms, operator_requests.requester_card(node), card.address
                    )
                )
    if query_address:
        effects.append(
            follows.make_request(
                node.follower, now_ms, operator_requests.requester_card(node), query_address
            )
        )
    return effects


def _retry_waiting(node, now_ms):
    """Retry the requests that wait for a place on an engine."""
    engine_tracking.update(node.router, now_ms, node.cluster)
    if not any(task.waiting for task in node.router.tasks.values()):
        return []
    return router.retry_waiting(
        node.router,
        now_ms,
        node.cluster,
        follows.age(node.follower, now_ms),
        operator_requests.routing_peers(node, now_ms),
    )


def _apply_feed_update(node, now_ms, feed_update):
    if not cluster_state.apply_update(node.cluster, node.follower.state, feed_update):
        return []
    return _retry_waiting(node, now_ms)


def _handle_message(node, now_ms, sender, message):
    if isinstance(message, messages.Gossip):
        previous_group = node.peers.group
        effects = peer_table.on_greet(node.peers, now_ms, sender, message)
        if node.peers.group != previous_group:
            node.membership_learned_ms = now_ms
        return effects
    if isinstance(message, messages.FreshnessMark):
        follows.on_mark(node.follower, message)
        return follows.answer_relays(
            node.follower, now_ms
        ) + operator_requests.answer_confirmed_reads(node, now_ms)
    if isinstance(message, messages.FeedEntries):
        effects = _apply_feed_update(node, now_ms, follows.on_items(node.follower, message))
        effects += follows.answer_relays(node.follower, now_ms)
        return effects + operator_requests.answer_confirmed_reads(node, now_ms)
    if isinstance(message, messages.FeedChunk):
        effects, feed_update = follows.on_chunk(
            node.follower, now_ms, node.card.name, sender, message
        )
        effects += _apply_feed_update(node, now_ms, feed_update)
        return effects + operator_requests.answer_confirmed_reads(node, now_ms)
    if isinstance(message, messages.FeedChunkReply):
        return follows.on_chunk_reply(node.follower, now_ms, sender, message)
    if isinstance(message, messages.FeedRequest):
        if node.depot is None:
            return follows.on_relay_request(node.follower, now_ms, sender, message)
        return []
    if isinstance(message, messages.DurablePositions):
        return shard_ownership.on_durable(
            node.ownership,
            now_ms,
            message,
            node.follower,
            node.cluster,
            node.times,
            node.placement_settings,
        )
    if isinstance(message, messages.AppendRefused):
        return shard_ownership.on_refused(node.ownership, message)
    if isinstance(message, messages.ShardChunk):
        return shard_ownership.on_chunk(
            node.ownership, now_ms, sender, message, node.placement_settings
        )
    if isinstance(message, messages.QuotaRequest):
        return quota_requests.on_request(node, now_ms, sender, message)
    if isinstance(message, messages.QuotaReply):
        return quota_requests.on_grant(
            node, now_ms, sender, message, operator_requests.routing_peers
        )
    if isinstance(message, messages.ShardCommand):
        return operator_requests.on_command(node, now_ms, message)
    if isinstance(message, messages.ShardCommandReply):
        return command_forwarding.on_answer(node, now_ms, message)
    return []


def _counter_finished(node):
    """A counter may stop as soon as it has released its leases; a depot leaves its group first."""
    return [Finished()] if node.depot is None else []


def _delay_finished(node, now_ms, effects):
    """Drop `Finished` while responses are pending, for a bounded time; a later event repeats it."""
    timed_out = now_ms - node.closing_ms > _PENDING_ANSWERS_MS
    if timed_out or not (
        node.operator.pending or shard_ownership.has_pending_answers(node.ownership)
    ):
        return effects
    return [effect for effect in effects if not isinstance(effect, Finished)]


def _begin_shutdown(node, now_ms):
    """Begin an orderly stop: accept no new work, and release leases, naming successors."""
    node.closing, node.closing_ms = True, now_ms
    names = [
        n
        for n in peer_table.live(node.peers, now_ms)
        if node.peers.cards[n].role == node.config.placers
    ]
    return shard_ownership.release_all(
        node.ownership, node.card, leader_address(node), sorted(names)
    )
