"""Tenants' rate limits: token buckets for incoming requests, and, on a depot, grants of tokens
to other nodes.

A request of a limited tenant takes one token before its first attempt or before it joins the
wait queue; retries take none.  Grants come from the depots of the newest known membership.
"""

from dataclasses import dataclass, field

from configuration import registry as registries
from quotas import depot_choice, grant_shares, granting, spending
from quotas.settings import RateLimit
from replication import follower as follows
from routing import router, wait_queue
from transport import failures
from transport.effects import LogLine, Send
from transport.messages import QuotaReply

from pulleyhitch import config as configs

__all__ = ["Quotas", "begin", "describe", "make", "on_request", "on_grant", "tick"]

_UNANSWERED_RETRY_MS = 1000
_LINE_FULL_RETRY_MS = 3000
# Interval between log lines about refusals.
_REPORT_INTERVAL_MS = 5000.0
# Range of the random start of the numbers of a node's token requests.  The start is random so
# that replies to requests from before a restart don't match.
_FIRST_NUMBER_RANGE = 1 << 48


@dataclass
class Quotas:
    """State of rate limits.  `standing` tracks whether this depot may grant tokens, and is None on
    a counter; `unreported_refusals` counts refusals by tenant since the last log line."""

    spending: spending.SpendingState
    granting: granting.GrantingState
    standing: grant_shares.GrantEligibility | None = None
    unreported_refusals: dict = field(default_factory=dict)
    reported_ms: float = -1e12


def make(config, random, group):
    """State of a new node; `group` is a depot's opened replication group."""
    settings = configs.quota_settings(config)
    number = random.randrange(_FIRST_NUMBER_RANGE)
    standing = None
    if group is not None:
        restarted = bool(group.group)
        standing = grant_shares.GrantEligibility(
            group.identity, settings.quorum_timeout_ms, config.depots, restarted
        )
    spender = spending.SpendingState(config.name, settings, number)
    return Quotas(spender, granting.GrantingState(settings), standing)


def begin(node, now_ms, age_ms, peers, task):
    """Start a caller's request: route it, queue it for a token, or refuse it."""
    limit = _limit(node, task.tenant)
    task.awaiting_quota = limit is not None
    effects = router.begin(node.router, now_ms, node.cluster, age_ms, peers, task)
    if limit is None or task.token not in node.router.tasks:
        return effects
    _update_depots(node)
    outcome = spending.request_token(node.quotas.spending, now_ms, limit, task.token)
    if isinstance(outcome, spending.Pending):
        if not wait_queue.has_room(node.router, task):
            spending.cancel(node.quotas.spending, task.token)
            full = failures.Overloaded(_LINE_FULL_RETRY_MS, "line-full")
            return effects + router.refuse(node.router, task, full)
        wait_queue.await_quota(task, now_ms)
    else:
        effects += _apply_decision(node, now_ms, peers, task, outcome)
    return effects + _process_decisions(node, now_ms, lambda *_: peers)


def _limit(node, name):
    """The limit of the tenant of this name, None if it has no limit."""
    facts = registries.tenants(node.cluster.registry).get(name)
    if facts is None or not facts["ratePerS"] > 0:
        return None
    burst = max(0.0, float(facts["burst"]))
    return RateLimit(name, node.cluster.registry.stamp, float(facts["ratePerS"]), burst)


def _update_depots(node):
    addresses = [member.address for member in node.peers.group.members]
    depot_choice.update(node.quotas.spending.depots, addresses)


def _process_decisions(node, now_ms, peers_of):
    """Apply the decisions made by now, and send the token requests that are due."""
    _cancel_ended(node)
    decisions, requests = spending.advance(node.quotas.spending, now_ms)
    effects = [Send(request.to, request.message) for request in requests]
    for decision in decisions:
        task = node.router.tasks[decision.token]
        effects += _apply_decision(node, now_ms, peers_of(node, now_ms), task, decision.outcome)
    return effects


def _cancel_ended(node):
    for token in _waiting_tokens(node):
        if token not in node.router.tasks:
            spending.cancel(node.quotas.spending, token)


def _waiting_tokens(node):
    spender = node.quotas.spending
    return [
        waiting.token for name in sorted(spender.queued) for waiting in spender.tenants[name].queue
    ]


def _apply_decision(node, now_ms, peers, task, outcome):
    if isinstance(outcome, spending.Granted):
        return router.admit(node.router, now_ms, node.cluster, peers, task)
    unreported_refusals = node.quotas.unreported_refusals
    unreported_refusals[task.tenant] = unreported_refusals.get(task.tenant, 0) + 1
    failure = failures.QuotaExceeded(task.tenant, int(outcome.retry_ms))
    return router.refuse(node.router, task, failure)


def on_request(node, now_ms, sender, message):
    """Handle a node's request for tokens; it may be this node's own."""
    if node.depot is None:
        return [Send(sender, QuotaReply(message.number, False, ()))]
    _observe_membership(node, now_ms)
    share = grant_shares.current_share(
        node.quotas.standing, now_ms, follows.age(node.follower, now_ms)
    )
    share = None if node.closing else share
    return [Send(sender, granting.on_request(node.quotas.granting, now_ms, message, share))]


def _observe_membership(node, now_ms):
    """Update `standing` from the committed membership, as known from this node's feed."""
    founders = {member.identity for member in node.depot.group.founders}
    grant_shares.observe(node.quotas.standing, now_ms, node.follower.state.members, founders)


def on_grant(node, now_ms, sender, message, peers_of):
    """Handle a depot's reply: requests that waited for it are admitted or refused."""
    spending.on_grant(node.quotas.spending, now_ms, sender, message)
    return _process_decisions(node, now_ms, peers_of)


def tick(node, now_ms, peers_of):
    """Refuse requests that got no token in time, request tokens again from other depots if one
    is silent, and log refusals."""
    if node.depot is not None:
        _observe_membership(node, now_ms)
    _update_depots(node)
    return (
        _refuse_expired(node, now_ms)
        + _process_decisions(node, now_ms, peers_of)
        + _report_refusals(node, now_ms)
    )


def _refuse_expired(node, now_ms):
    effects = []
    for token in _waiting_tokens(node):
        task = node.router.tasks.get(token)
        if task is not None and now_ms >= task.give_up_ms:
            spending.cancel(node.quotas.spending, token)
            unanswered = failures.Overloaded(_UNANSWERED_RETRY_MS, "no-quota-answer")
            effects += router.refuse(node.router, task, unanswered)
    return effects


def _report_refusals(node, now_ms):
    """One log line with the refusals of all tenants since the last line."""
    quotas = node.quotas
    if not quotas.unreported_refusals or now_ms - quotas.reported_ms < _REPORT_INTERVAL_MS:
        return []
    log_line = LogLine("quota-refusals", {"tenants": quotas.unreported_refusals})
    quotas.unreported_refusals, quotas.reported_ms = {}, now_ms
    return [log_line]


def describe(node):
    """By tenant: its limit, this node's counts of its tokens and, on a depot, what it granted."""
    described = {}
    for name, facts in sorted(registries.tenants(node.cluster.registry).items()):
        described[name] = {"ratePerS": facts["ratePerS"], "burst": facts["burst"]}
        spent_here = node.quotas.spending.tenants.get(name)
        if spent_here is not None:
            counts = {
                "granted": spent_here.granted,
                "spent": spent_here.spent,
                "refused": spent_here.refused,
            }
            described[name] |= {**counts, "waiting": len(spent_here.queue)}
        granted_here = node.quotas.granting.tenants.get(name)
        if granted_here is not None:
            left = round(granted_here.bucket.tokens, 2)
            described[name]["depot"] = {
                "given": granted_here.given,
                "short": granted_here.short,
                "left": left,
            }
    return described
