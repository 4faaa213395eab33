"""Tenants' limits at this node: tokens for the tasks that come in, and, on a depot, what it
gives to other nodes.

A task of a limited tenant takes one token before its first attempt or place in line; what
is tried again for it takes none.  Depots are those of the newest membership known here.
"""

from dataclasses import dataclass, field

from configuration import registry as registries
from quotas import depot_choice, granting, spending
from quotas import standing as standings
from quotas.terms import Limit
from replication import follower as follows
from routing import router, waiting_line
from transport import failures
from transport.effects import Note, Send
from transport.messages import QuotaGrant

from pulleyhitch import config as configs

__all__ = ["Quotas", "begin", "described", "make", "on_ask", "on_grant", "tick"]

_UNANSWERED_RETRY_MS = 1000
_LINE_FULL_RETRY_MS = 3000
# How often the ring is told of refusals.
_NOTE_MS = 5000.0
_FIRST_NUMBERS = 1 << 48


@dataclass
class Quotas:
    """`standing` and `granting` are a depot's; `untold`: refusals by tenant since the ring
    was last told."""

    spending: spending.Spending
    granting: granting.Granting
    standing: standings.Standing | None = None
    untold: dict = field(default_factory=dict)
    told_ms: float = -1e12


def make(config, random, group):
    """What a fresh node begins with; `group` is a depot's opened replication group."""
    terms = configs.quota_settings(config)
    number = random.randrange(_FIRST_NUMBERS)
    stands = None
    if group is not None:
        restarted = bool(group.group)
        stands = standings.Standing(group.identity, terms.trust_ms, config.depots, restarted)
    spends = spending.Spending(config.name, terms, number)
    return Quotas(spends, granting.Granting(terms), stands)


def begin(node, now_ms, age_ms, crew, task):
    """A caller's task has come in: it goes on, waits for a token, or gets its final answer."""
    limit = _limit(node, task.tenant)
    task.awaiting_quota = limit is not None
    effects = router.begin(node.router, now_ms, node.cluster, age_ms, crew, task)
    if limit is None or task.token not in node.router.tasks:
        return effects
    _learn_depots(node)
    outcome = spending.take(node.quotas.spending, now_ms, limit, task.token)
    if isinstance(outcome, spending.Pending):
        if not waiting_line.is_open(node.router, task):
            spending.forget(node.quotas.spending, task.token)
            full = failures.Overloaded(_LINE_FULL_RETRY_MS, "line-full")
            return effects + router.refuse(node.router, task, full)
        waiting_line.await_quota(task, now_ms)
    else:
        effects += _decided(node, now_ms, crew, task, outcome)
    return effects + _advance(node, now_ms, lambda *_: crew)


def _limit(node, name):
    """The limit of a tenant that has one, or None."""
    facts = registries.tenants(node.cluster.registry).get(name)
    if facts is None or not facts["ratePerS"] > 0:
        return None
    burst = max(0.0, float(facts["burst"]))
    return Limit(name, node.cluster.registry.stamp, float(facts["ratePerS"]), burst)


def _learn_depots(node):
    addresses = [member.address for member in node.peers.group.members]
    depot_choice.update(node.quotas.spending.depots, addresses)


def _advance(node, now_ms, crew_of):
    """Tell the tasks that are decided by now, and send the asks that are due."""
    _forget_gone(node)
    decisions, asks = spending.advance(node.quotas.spending, now_ms)
    effects = [Send(asking.to, asking.ask) for asking in asks]
    for decision in decisions:
        task = node.router.tasks[decision.token]
        effects += _decided(node, now_ms, crew_of(node, now_ms), task, decision.outcome)
    return effects


def _forget_gone(node):
    for token in _in_line(node):
        if token not in node.router.tasks:
            spending.forget(node.quotas.spending, token)


def _in_line(node):
    spends = node.quotas.spending
    return [one.token for name in sorted(spends.lined) for one in spends.tenants[name].line]


def _decided(node, now_ms, crew, task, outcome):
    if isinstance(outcome, spending.Granted):
        return router.admit(node.router, now_ms, node.cluster, crew, task)
    untold = node.quotas.untold
    untold[task.tenant] = untold.get(task.tenant, 0) + 1
    failure = failures.QuotaExceeded(task.tenant, int(outcome.retry_ms))
    return router.refuse(node.router, task, failure)


def on_ask(node, now_ms, sender, message):
    """Another node, or this one, asks for tokens."""
    if node.depot is None:
        return [Send(sender, QuotaGrant(message.number, False, ()))]
    _observe(node, now_ms)
    share = standings.share(node.quotas.standing, now_ms, follows.age(node.follower, now_ms))
    share = None if node.closing else share
    return [Send(sender, granting.on_ask(node.quotas.granting, now_ms, message, share))]


def _observe(node, now_ms):
    """The committed membership, of which this node's marks tell how current it is."""
    founders = {member.identity for member in node.depot.group.founders}
    standings.observe(node.quotas.standing, now_ms, node.follower.state.members, founders)


def on_grant(node, now_ms, sender, message, crew_of):
    """A depot has answered: those who waited for it go on."""
    spending.on_grant(node.quotas.spending, now_ms, sender, message)
    return _advance(node, now_ms, crew_of)


def tick(node, now_ms, crew_of):
    """Depots that are silent are passed over; tasks that no depot answered are refused."""
    if node.depot is not None:
        _observe(node, now_ms)
    _learn_depots(node)
    return _give_up(node, now_ms) + _advance(node, now_ms, crew_of) + _notes(node, now_ms)


def _give_up(node, now_ms):
    effects = []
    for token in _in_line(node):
        task = node.router.tasks.get(token)
        if task is not None and now_ms >= task.give_up_ms:
            spending.forget(node.quotas.spending, token)
            unanswered = failures.Overloaded(_UNANSWERED_RETRY_MS, "no-quota-answer")
            effects += router.refuse(node.router, task, unanswered)
    return effects


def _notes(node, now_ms):
    """Refusals since the last note, a line for all tenants."""
    quotas = node.quotas
    if not quotas.untold or now_ms - quotas.told_ms < _NOTE_MS:
        return []
    note = Note("quota-refusals", {"tenants": quotas.untold})
    quotas.untold, quotas.told_ms = {}, now_ms
    return [note]


def described(node):
    """By tenant: its limit, what this node got and did, and what it gave as a depot."""
    found = {}
    for name, facts in sorted(registries.tenants(node.cluster.registry).items()):
        found[name] = {"ratePerS": facts["ratePerS"], "burst": facts["burst"]}
        here = node.quotas.spending.tenants.get(name)
        if here is not None:
            counts = {"granted": here.granted, "spent": here.spent, "refused": here.refused}
            found[name] |= {**counts, "waiting": len(here.line)}
        held = node.quotas.granting.tenants.get(name)
        if held is not None:
            left = round(held.bucket.tokens, 2)
            found[name]["depot"] = {"given": held.given, "short": held.short, "left": left}
    return found
