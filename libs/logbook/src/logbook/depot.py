"""A depot's core: one function that takes an event and returns effects.

It puts together the group (`election`, `copying`, `founding`) and, while this
depot leads and its term's first entry is committed, the log node's duties
(`desk`, `grants`, `feed`).
"""

from dataclasses import dataclass, field

from waybill import messages as m
from waybill.effects import Note, Send, Wake
from waybill.events import Closing, Received, Tick, Written

from logbook import copying, election, feed, founding, grants
from logbook import desk as desks
from logbook.group import Group, group_card

__all__ = ["Depot", "handle", "view_of"]


@dataclass
class Depot:
    group: Group
    shards: int
    card: m.Card
    desk: desks.Desk = field(default_factory=desks.Desk)
    nodes: grants.Nodes = field(default_factory=grants.Nodes)
    asks: feed.Asks = field(default_factory=feed.Asks)
    founder: founding.Founding = field(default_factory=founding.Founding)


def handle(depot, nowMs, event, cards, known):
    """`cards` are the fellows known by name; `known` is the group that any of
    them ever spoke of, or nothing."""
    g = depot.group
    if isinstance(event, Tick):
        effects = _tick(depot, nowMs, cards, known)
    elif isinstance(event, Written):
        if g.role == "leader":
            depot.desk.lastWriteMs = event.tookMs
        effects = copying.on_written(g, nowMs, event.index, event.term)
    elif isinstance(event, Closing):
        effects = election.hand_over(g, nowMs)
    elif isinstance(event, Received):
        effects = _receive(depot, nowMs, event.sender, event.message, known)
    else:
        effects = []
    return effects + _after(depot, nowMs)


def _tick(depot, nowMs, cards, known):
    g = depot.group
    grants.excuse_freeze(g, depot.nodes, nowMs)
    effects = founding.tick(g, depot.founder, nowMs, cards, known)
    effects += election.tick(g, nowMs)
    effects += founding.replace_tick(g, nowMs, cards)
    if g.role == "leader" and depot.desk.serving:
        effects += grants.grant_tick(g, depot.desk, depot.nodes, nowMs, depot.shards)
    return effects


def _receive(depot, nowMs, sender, message, known):
    g = depot.group
    if isinstance(message, m.Entries):
        return copying.on_entries(g, nowMs, sender, message)
    if isinstance(message, m.EntriesAck):
        if message.term > g.term:
            return election.step_back(g, message.term, nowMs)
        return copying.on_ack(g, nowMs, message)
    if isinstance(message, m.ViewPart):
        return copying.on_view(g, nowMs, sender, message)
    if isinstance(message, m.Canvass):
        return election.on_canvass(g, nowMs, sender, message)
    if isinstance(message, m.Ballot):
        return election.on_ballot(g, nowMs, message)
    if isinstance(message, m.TakeOver):
        return election.on_take_over(g, nowMs, message)
    if isinstance(message, m.FoundAsk):
        return founding.on_ask(g, depot.founder, nowMs, sender, message, known)
    if isinstance(message, m.FoundAgree):
        return founding.on_agree(g, depot.founder, nowMs, message)
    return _serve(depot, nowMs, sender, message)


def _serve(depot, nowMs, sender, message):
    """The log node's duties; any other depot says whom it follows instead."""
    g, d, n = depot.group, depot.desk, depot.nodes
    if not isinstance(message, (m.Ask, m.Append, m.RecoverAsk, m.Release)):
        return []
    if not d.serving:
        return [Send(sender, m.Greet(depot.card, False, (), group_card(g)))]
    if isinstance(message, m.Ask):
        grants.heard(n, nowMs, message)
        return feed.on_ask(g, n, depot.asks, nowMs, sender, message)
    if isinstance(message, m.Append):
        seen = n.seen.get(message.name)
        if seen and seen.incarnation == message.incarnation:
            seen.heardMs = nowMs
        return desks.stage(g, d, nowMs, sender, message.section)
    if isinstance(message, m.RecoverAsk):
        return grants.on_recover(g, d, sender, message)
    return grants.on_release(g, d, n, nowMs, message)


def _after(depot, nowMs):
    """What follows any event: open or close the desk, write, tell, feed."""
    g = depot.group
    effects = []
    if g.role != "leader":
        if depot.desk.serving:
            depot.desk = desks.Desk(batches=depot.desk.batches, records=depot.desk.records)
            depot.asks = feed.Asks()
            depot.nodes = grants.Nodes(tickMs=depot.nodes.tickMs)
    elif not depot.desk.serving and g.commit >= g.termIndex:
        depot.desk = desks.open_desk(g, depot.desk)
        effects.append(Note("serves", {"term": g.term, "commit": g.commit}))
    if depot.desk.serving:
        effects += desks.settle(g, depot.desk, nowMs)
        effects += feed.push(g, depot.nodes, nowMs)
        effects += feed.answer(g, depot.asks, nowMs)
        effects += desks.write_due(g, depot.desk, nowMs)
        at = desks.wake_at(g, depot.desk, nowMs)
        if at is not None:
            effects.append(Wake(at))
    return effects + copying.trim(g)


def view_of(depot):
    """What an operator may see of this depot."""
    g, d = depot.group, depot.desk
    return {
        "group": g.group,
        "identity": g.identity,
        "term": g.term,
        "role": g.role,
        "serving": d.serving,
        "commit": g.commit,
        "synced": g.synced,
        "members": [vars(x) for x in group_card(g).members],
        "leader": g.leaderAddress,
        "batches": d.batches,
        "records": d.records,
        "flushMs": round(d.flushMs, 3),
    }
