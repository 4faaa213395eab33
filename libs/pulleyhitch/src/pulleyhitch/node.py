"""A node's core: every event goes in here, every effect comes out.

A counter routes and, holding grants, places; a depot keeps the log.  Both
follow the feed, know their fellows and answer operators.  The same function
runs in real processes and in the simulator.
"""

import random
from dataclasses import dataclass

from dispatch import floor as floors
from fellows import circle as circles
from junction import router
from logbook import depot as depots
from logbook import follow as follows
from waybill import events as e
from waybill import messages as m
from waybill.effects import Send

from pulleyhitch import config as configs
from pulleyhitch import keeping, operating

__all__ = ["Node", "make", "handle", "leader_of"]

_LOST = 0.25
_DEPOT_TALK = (
    m.Entries,
    m.EntriesAck,
    m.ViewPart,
    m.Canvass,
    m.Ballot,
    m.TakeOver,
    m.FoundAsk,
    m.FoundAgree,
    m.Append,
    m.RecoverAsk,
    m.Release,
)


@dataclass
class Node:
    card: m.Card
    config: configs.Config
    circle: circles.Circle
    follow: follows.Follow
    floor: floors.Floor
    keepers: keeping.Keeping
    router: router.Router
    operator: operating.Operating
    depot: object = None
    times: object = None
    terms: object = None
    closing: bool = False
    leaving: bool = False
    askTurn: int = 0
    learnedMs: float = -1e12


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
        circles.Circle(
            card, config.seeds, rng, times.pingMs * 1.5, _LOST * config.bounds.serviceBackMs
        ),
        follows.Follow(),
        floors.Floor(config.shards, config.zones, reader),
        keeping.Keeping(config.shards, config.zones, reader, config.provider),
        router.Router(configs.routing(config)),
        operating.Operating(),
        times=times,
        terms=configs.terms(config),
    )
    node.floor.registry.zonesKnown = config.zones
    node.floor.registry.reader = reader
    if group is not None:
        node.depot = depots.Depot(group, config.shards, card)
    return node


def leader_of(node):
    return node.circle.group.leader


def handle(node, nowMs, event):
    if isinstance(event, e.Received):
        effects = _receive(node, nowMs, event.sender, event.message)
    elif isinstance(event, e.Asked):
        effects = operating.asked(node, nowMs, event)
    elif isinstance(event, e.Called):
        effects = keeping.on_called(node.keepers, nowMs, event, node.floor, node.terms)
    elif isinstance(event, e.Closing):
        effects = _close(node, nowMs)
    elif isinstance(event, e.Tick):
        effects = _tick(node, nowMs)
    else:
        effects = []
    if node.depot is not None and not isinstance(event, (e.Asked, e.Called)):
        effects += _depot(node, nowMs, event)
    effects += keeping.flush(node.keepers, nowMs, node.card, leader_of(node))
    return operating.translate(node, nowMs, effects)


def _depot(node, nowMs, event):
    if isinstance(event, e.Received) and not isinstance(event.message, _DEPOT_TALK + (m.Ask,)):
        return []
    served = node.depot.desk.serving
    effects = depots.handle(node.depot, nowMs, event, node.circle.cards, node.circle.group.group)
    group = node.depot.group
    if node.card.empty and group.group:
        node.card = m.Card(**{**vars(node.card), "empty": False})
        node.circle.card = node.depot.card = node.card
    circles.learn_group(node.circle, depots.group_card(group), node.card.address)
    if node.depot.desk.serving and not served:
        effects += circles.announce(node.circle, nowMs)
    return effects


def _tick(node, nowMs):
    effects = circles.tick(node.circle, nowMs)
    if not node.closing:
        effects += _ask(node, nowMs)
        effects += keeping.tick(
            node.keepers,
            nowMs,
            node.card,
            node.follow,
            node.floor,
            node.times,
            node.terms,
            leader_of(node),
            lambda name, life: circles.lost(node.circle, nowMs, name, life),
        )
    effects += router.tick(node.router, nowMs)
    effects += _wake(node, nowMs)
    return effects + operating.tick(node, nowMs)


def _ask(node, nowMs):
    """Ping the log node; when it is silent, ask around, and ask fellows too."""
    if nowMs - node.follow.askedMs < node.times.pingMs:
        return []
    to = leader_of(node)
    silent = nowMs - max(node.follow.directMs, node.learnedMs) > 2 * node.times.pingMs
    effects = []
    node.askTurn += 1
    if silent or not to:
        around = circles.depot_addresses(node.circle) or list(node.circle.seeds)
        if around:
            target = around[node.askTurn % len(around)]
            effects.append(Send(target, circles.greeting(node.circle, True, nowMs, target)))
            to = to if node.askTurn % 2 and to else target
        for name in circles.watched(node.circle)[:2]:
            card = node.circle.cards[name]
            if card.role == "counter":
                effects.append(follows.ask(node.follow, nowMs, node.card, card.address))
    if to:
        effects.append(follows.ask(node.follow, nowMs, node.card, to))
    return effects


def _wake(node, nowMs):
    return router.wake(
        node.router, nowMs, node.floor, follows.age(node.follow, nowMs), operating.crew(node, nowMs)
    )


def _news(node, nowMs, news):
    if not floors.on_news(node.floor, node.follow.book, news):
        return []
    return _wake(node, nowMs)


def _receive(node, nowMs, sender, message):
    if isinstance(message, m.Greet):
        before = node.circle.group
        effects = circles.on_greet(node.circle, nowMs, sender, message)
        if node.circle.group != before:
            node.learnedMs = nowMs
        return effects
    if isinstance(message, m.Mark):
        follows.on_mark(node.follow, message)
        return follows.relay(node.follow) + operating.current(node, nowMs)
    if isinstance(message, m.FeedItems):
        effects = _news(node, nowMs, follows.on_items(node.follow, message))
        return effects + follows.relay(node.follow) + operating.current(node, nowMs)
    if isinstance(message, m.FeedView):
        effects = _news(node, nowMs, follows.on_view(node.follow, message))
        return effects + operating.current(node, nowMs)
    if isinstance(message, m.Ask):
        if node.depot is None:
            return follows.on_relay_ask(node.follow, nowMs, sender, message)
        return []
    if isinstance(message, m.Durable):
        return keeping.on_durable(
            node.keepers, nowMs, message, node.follow, node.floor, node.times, node.terms
        )
    if isinstance(message, m.Refused):
        return keeping.on_refused(node.keepers, message)
    if isinstance(message, m.RecoverPage):
        return keeping.on_page(node.keepers, nowMs, message, node.terms)
    if isinstance(message, m.Command):
        return operating.on_command(node, nowMs, message)
    if isinstance(message, m.CommandAnswer):
        return operating.on_answer(node, nowMs, message)
    return []


def _close(node, nowMs):
    """Orderly stop: no new work, grants back with a successor named."""
    node.closing = True
    names = [
        n
        for n in circles.live(node.circle, nowMs)
        if node.circle.cards[n].role == node.config.placers
    ]
    return keeping.release_all(node.keepers, node.card, leader_of(node), sorted(names))
