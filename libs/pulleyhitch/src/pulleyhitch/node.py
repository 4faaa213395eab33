"""A node's core: every event goes in here, every effect comes out.

A counter routes and, holding grants, places; a depot keeps the log.  Both
follow the feed, know their fellows and answer operators.  The same function
runs in real processes and in the simulator.
"""

import random
from dataclasses import dataclass

from membership import greetings, peer_table
from placement import floor as floors
from replication import depot as depots
from replication import follower as follows
from routing import engine_lives, refusal_notes, router
from transport import events as e
from transport import messages as m
from transport.effects import Finished, Send

from pulleyhitch import command_forwarding, operator_requests, quota_requests, shard_ownership
from pulleyhitch import config as configs

__all__ = ["Node", "make", "handle", "leader_of"]

_LOST = 0.25
# How long a node that stops waits for answers that are under way.
_ANSWERS_MS = 1000.0
_DEPOT_TALK = (
    m.AppendEntries,
    m.AppendReply,
    m.ReplicaChunk,
    m.ReplicaChunkReply,
    m.VoteRequest,
    m.VoteReply,
    m.TransferLeadership,
    m.BootstrapRequest,
    m.BootstrapReply,
    m.LeaveRequest,
    m.LeaveReply,
    m.Append,
    m.RecoverAsk,
    m.Release,
    m.FeedChunkReply,
    m.ShardChunkReply,
)


@dataclass
class Node:
    card: m.Card
    config: configs.Config
    peers: peer_table.PeerTable
    follower: follows.Follow
    cluster: floors.Floor
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
    """A fresh node; `group` is a depot's opened replication group, `dialect` the
    platform's shapes, if it has its own."""
    reader = dialect.reader if dialect else None
    identity = group.identity if group else ""
    card = m.Card(
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
            card, config.seeds, rng, times.ping_ms * 1.5, _LOST * config.bounds.serviceBackMs
        ),
        follows.Follow(),
        floors.Floor(config.shards, config.zones, reader),
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


def leader_of(node):
    return node.peers.group.leader


def handle(node, now_ms, event):
    if isinstance(event, e.Received):
        effects = _receive(node, now_ms, event.sender, event.message)
    elif isinstance(event, e.Asked):
        effects = operator_requests.asked(node, now_ms, event)
    elif isinstance(event, e.Called):
        effects = shard_ownership.on_called(
            node.ownership, now_ms, event, node.cluster, node.placement_settings
        )
    elif isinstance(event, e.Closing):
        effects = _close(node, now_ms)
    elif isinstance(event, e.Tick):
        effects = _tick(node, now_ms)
    else:
        effects = []
    if node.depot is not None and not isinstance(event, (e.Asked, e.Called)):
        effects += _depot(node, now_ms, event)
    if node.closing:
        effects = _before_the_end(node, now_ms, effects)
    effects += shard_ownership.flush(node.ownership, now_ms, node.card, leader_of(node))
    return command_forwarding.translate(node, now_ms, effects)


def _depot(node, now_ms, event):
    if isinstance(event, e.Received) and not isinstance(event.message, _DEPOT_TALK + (m.Ask,)):
        return []
    served = node.depot.writer.serving
    effects = depots.handle(node.depot, now_ms, event, node.peers.cards, node.peers.group.group)
    group = node.depot.group
    if node.card.empty and group.group:
        node.card = m.Card(**{**vars(node.card), "empty": False})
        node.peers.card = node.depot.card = node.card
    peer_table.learn_group(node.peers, depots.group_card(group), node.card.address)
    if node.depot.writer.serving and not served:
        effects += peer_table.announce(node.peers, now_ms)
    return effects


def _tick(node, now_ms):
    effects = peer_table.tick(node.peers, now_ms)
    effects += _ask(node, now_ms)
    if not node.closing:
        effects += shard_ownership.tick(
            node.ownership,
            now_ms,
            node.card,
            node.follower,
            node.cluster,
            node.times,
            node.placement_settings,
            leader_of(node),
            lambda name, life: peer_table.lost(node.peers, now_ms, name, life),
        )
    effects += router.tick(node.router, now_ms, node.cluster)
    effects += quota_requests.tick(node, now_ms, operator_requests.crew)
    effects += _wake(node, now_ms)
    effects += refusal_notes.drain(node.router)
    return effects + operator_requests.tick(node, now_ms)


def _ask(node, now_ms):
    """Ping the log node; when it is silent, ask around, and ask fellows too."""
    if now_ms - node.follower.asked_ms < node.times.ping_ms:
        return []
    to = leader_of(node)
    silent = (
        now_ms - max(node.follower.direct_ms, node.membership_learned_ms) > 2 * node.times.ping_ms
    )
    effects = []
    node.feed_query_count += 1
    if silent or not to:
        around = peer_table.depot_addresses(node.peers) or list(node.peers.seeds)
        if around:
            target = around[node.feed_query_count % len(around)]
            effects.append(Send(target, greetings.greeting(node.peers, True, now_ms, target)))
            to = to if node.feed_query_count % 2 and to else target
        for name in peer_table.watched(node.peers)[:2]:
            card = node.peers.cards[name]
            if card.role == "counter":
                effects.append(
                    follows.ask(node.follower, now_ms, operator_requests.asker(node), card.address)
                )
    if to:
        effects.append(follows.ask(node.follower, now_ms, operator_requests.asker(node), to))
    return effects


def _wake(node, now_ms):
    """Those in line try again; whom there is to share with matters only to them."""
    engine_lives.notice(node.router, now_ms, node.cluster)
    if not any(task.waiting for task in node.router.tasks.values()):
        return []
    return router.wake(
        node.router,
        now_ms,
        node.cluster,
        follows.age(node.follower, now_ms),
        operator_requests.crew(node, now_ms),
    )


def _news(node, now_ms, news):
    if not floors.on_news(node.cluster, node.follower.state, news):
        return []
    return _wake(node, now_ms)


def _receive(node, now_ms, sender, message):
    if isinstance(message, m.Greet):
        before = node.peers.group
        effects = peer_table.on_greet(node.peers, now_ms, sender, message)
        if node.peers.group != before:
            node.membership_learned_ms = now_ms
        return effects
    if isinstance(message, m.Mark):
        follows.on_mark(node.follower, message)
        return follows.relay(node.follower, now_ms) + operator_requests.current(node, now_ms)
    if isinstance(message, m.FeedItems):
        effects = _news(node, now_ms, follows.on_items(node.follower, message))
        effects += follows.relay(node.follower, now_ms)
        return effects + operator_requests.current(node, now_ms)
    if isinstance(message, m.FeedChunk):
        effects, news = follows.on_chunk(node.follower, now_ms, node.card.name, sender, message)
        effects += _news(node, now_ms, news)
        return effects + operator_requests.current(node, now_ms)
    if isinstance(message, m.FeedChunkReply):
        return follows.on_chunk_reply(node.follower, now_ms, sender, message)
    if isinstance(message, m.Ask):
        if node.depot is None:
            return follows.on_relay_ask(node.follower, now_ms, sender, message)
        return []
    if isinstance(message, m.Durable):
        return shard_ownership.on_durable(
            node.ownership,
            now_ms,
            message,
            node.follower,
            node.cluster,
            node.times,
            node.placement_settings,
        )
    if isinstance(message, m.Refused):
        return shard_ownership.on_refused(node.ownership, message)
    if isinstance(message, m.ShardChunk):
        return shard_ownership.on_chunk(
            node.ownership, now_ms, sender, message, node.placement_settings
        )
    if isinstance(message, m.QuotaAsk):
        return quota_requests.on_ask(node, now_ms, sender, message)
    if isinstance(message, m.QuotaGrant):
        return quota_requests.on_grant(node, now_ms, sender, message, operator_requests.crew)
    if isinstance(message, m.Command):
        return operator_requests.on_command(node, now_ms, message)
    if isinstance(message, m.CommandAnswer):
        return command_forwarding.on_answer(node, now_ms, message)
    return []


def _before_the_end(node, now_ms, effects):
    """Hold `Finished` back while somebody waits for an answer, though not for long."""
    waited = now_ms - node.closing_ms > _ANSWERS_MS
    if waited or not (node.operator.pending or shard_ownership.answers_waiting(node.ownership)):
        return effects
    return [effect for effect in effects if not isinstance(effect, Finished)]


def _close(node, now_ms):
    """Orderly stop: no new work, leases back with a successor named."""
    node.closing, node.closing_ms = True, now_ms
    names = [
        n
        for n in peer_table.live(node.peers, now_ms)
        if node.peers.cards[n].role == node.config.placers
    ]
    return shard_ownership.release_all(node.ownership, node.card, leader_of(node), sorted(names))
