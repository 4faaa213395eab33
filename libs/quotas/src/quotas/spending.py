"""The spending side at a node that admits requests: tokens are requested, leased and spent.

A request takes a token that is already leased here, or waits in its tenant's queue while a depot
is asked.  It is refused once all granting depots are known to have no token.  The time of a lease
runs on this node's own clock from before its request was sent, so neither a late answer nor a pause
of this node extends it.  Only requests that had arrived before the lease was requested may use its
tokens after its end: the tokens were granted while those requests waited.
"""

from collections import deque

from transport.quota_messages import QuotaRequest, TokenDemand

from quotas import demand as demands
from quotas import depot_choice
from quotas import settings as quota_settings
from quotas.spending_state import (
    Decision,
    Granted,
    Lease,
    LeaseRequest,
    Pending,
    Refused,
    SentRequest,
    SpendingState,
    TenantQueue,
    WaitingRequest,
)

__all__ = ["Decision", "Granted", "Pending", "Refused", "TenantQueue", "advance", "cancel"]
__all__ += ["LeaseRequest", "SpendingState", "on_grant", "request_token"]

# Tokens are leased ahead of demand from this many expected requests per lease on.
_LEASE_AHEAD_MIN = 2.0


def request_token(state, now_ms, limit, token):
    """Decide on a new request of a tenant with a rate limit: Granted, Refused or Pending.  `token`
    identifies the request."""
    tenant = _tenant_queue(state, limit)
    tenant.demand = demands.count(tenant.demand, now_ms)
    if not tenant.queue and _spend(tenant, now_ms, now_ms):
        return Granted()
    if not tenant.queue and _exhausted(state, tenant, now_ms):
        return _refuse(state, tenant, now_ms)
    tenant.queue.append(WaitingRequest(token, now_ms))
    state.queued.add(limit.tenant)
    return Pending()


def cancel(state, token):
    """Remove a waiting request that has ended, so that no token is spent on it."""
    for name in list(state.queued):
        tenant = state.tenants[name]
        if any(waiting.token == token for waiting in tenant.queue):
            tenant.queue = deque(w for w in tenant.queue if w.token != token)
        if not tenant.queue:
            state.queued.discard(name)


def on_grant(state, now_ms, sender, grant):
    """Handle a depot's answer.  A second answer, or one to a request from before a restart of this
    node, adds no tokens; those of a late one are leased until the end that was set when they were
    requested."""
    depot_choice.note_answer(state.depots, sender, grant.granting, now_ms)
    sent = state.sent.pop(grant.number, None)
    if sent is None:
        return
    depot_choice.note_delay(state.depots, sender, now_ms - sent.sent_ms)
    _stop_counting(state, sent)
    for want, given in zip(sent.wants, grant.given):
        tenant = state.tenants[want.tenant]
        short = given.given < want.needed
        empty_until_ms = now_ms + given.wait_ms if short else 0.0
        if _has_same_rate(tenant.limit, want.ratePerS, want.burst):
            tenant.reports[sent.to] = depot_choice.DepotReport(now_ms, given.left, empty_until_ms)
        tenant.granted += given.given
        if given.given > 0:
            end_ms = _lease_end_ms(state, sent)
            tenant.leases.append(Lease(given.given, end_ms, sent.sent_ms))


def _lease_end_ms(state, sent):
    """When the tokens of a request's answer expire."""
    return sent.sent_ms + quota_settings.lease_ms(state.settings)


def advance(state, now_ms):
    """(decisions on waiting requests, requests to send to depots) as of now."""
    _time_out_requests(state, now_ms)
    decisions = _decide(state, now_ms)
    return decisions, _probe_requests(state, now_ms) + _requests_due(state, now_ms)


def _tenant_queue(state, limit):
    """The tenant's queue, with the newest version of its limit."""
    tenant = state.tenants.get(limit.tenant)
    if tenant is None:
        turn = depot_choice.start(state.node, limit.tenant, len(state.depots.addresses))
        tenant = state.tenants[limit.tenant] = TenantQueue(limit, turn)
    if limit.version >= tenant.limit.version:
        _update_limit(tenant, limit)
    return tenant


def _update_limit(tenant, limit):
    """Set the limit.  If the rate or burst changed, the depots' reports are dropped, since they are
    based on the old one."""
    if not _has_same_rate(tenant.limit, limit.rate_per_s, limit.burst):
        tenant.reports.clear()
    tenant.limit = limit


def _has_same_rate(limit, rate_per_s, burst):
    return (limit.rate_per_s, limit.burst) == (rate_per_s, burst)


def _spend(tenant, now_ms, arrived_ms):
    """Spend a token of the lease that ends first, if one may be used by this request."""
    tenant.leases = [
        candidate
        for candidate in tenant.leases
        if candidate.tokens > 0 and _is_usable(tenant, candidate, now_ms)
    ]
    usable = [
        candidate
        for candidate in tenant.leases
        if _is_valid(candidate, now_ms) or arrived_ms <= candidate.requested_ms
    ]
    if not usable:
        return False
    min(usable, key=lambda lease: lease.end_ms).tokens -= 1
    tenant.spent += 1
    return True


def _is_valid(lease, now_ms):
    """Whether any request may use the lease."""
    return now_ms < lease.end_ms


def _is_usable(tenant, lease, now_ms):
    """Whether any request, or at least a queued one, may use the lease."""
    return _is_valid(lease, now_ms) or _has_request_before(tenant, lease.requested_ms)


def _has_request_before(tenant, requested_ms):
    """Whether a queued request had already arrived at `requested_ms`."""
    return bool(tenant.queue) and tenant.queue[0].arrived_ms <= requested_ms


def _exhausted(state, tenant, now_ms):
    """Whether there are granting depots, and all of them reported that they have no token."""
    if tenant.tokens_requested or depot_choice.none_grants(state.depots):
        return False
    return not depot_choice.candidates(state.depots, tenant.reports, tenant.turn, now_ms)


def _refuse(state, tenant, now_ms):
    """Refuse a request; it may be retried once the next token is due."""
    tenant.refused += 1
    next_ms = depot_choice.next_token_ms(state.depots, tenant.reports, now_ms)
    return Refused(max(1.0, next_ms - now_ms))


def _time_out_requests(state, now_ms):
    """Pass over depots whose answer is late; drop requests of which no answer could be used."""
    for number, sent in list(state.sent.items()):
        timeout_ms = depot_choice.answer_timeout_ms(
            state.depots, sent.to, state.settings.answer_timeout_ms
        )
        if not sent.timed_out and now_ms - sent.sent_ms >= timeout_ms:
            sent.timed_out = True
            _subtract_requested(state, sent)
            depot_choice.pass_over(state.depots, sent.to, now_ms)
        if sent.timed_out and _is_unusable(state, sent, now_ms):
            del state.sent[number]


def _is_unusable(state, sent, now_ms):
    """Whether no token of a late answer could be spent any more."""
    if now_ms < _lease_end_ms(state, sent):
        return False
    return not any(_has_request_before(state.tenants[w.tenant], sent.sent_ms) for w in sent.wants)


def _stop_counting(state, sent):
    """Stop counting the tokens expected from a request that was answered."""
    if not sent.timed_out:
        _subtract_requested(state, sent)


def _subtract_requested(state, sent):
    """Subtract a request's tokens from those in flight for queued requests."""
    for want in sent.wants:
        state.tenants[want.tenant].tokens_requested -= want.needed


def _decide(state, now_ms):
    """Admit or refuse queued requests as far as that can be decided now."""
    decisions = []
    for name in sorted(state.queued):
        tenant = state.tenants[name]
        while tenant.queue and _spend(tenant, now_ms, tenant.queue[0].arrived_ms):
            decisions.append(Decision(tenant.queue.popleft().token, Granted()))
        if tenant.queue and _exhausted(state, tenant, now_ms):
            while tenant.queue:
                refused = _refuse(state, tenant, now_ms)
                decisions.append(Decision(tenant.queue.popleft().token, refused))
        if not tenant.queue:
            state.queued.discard(name)
    return decisions


def _probe_requests(state, now_ms):
    """A request without demands to each depot that is to be probed now."""
    due = depot_choice.probes_due(state.depots, now_ms)
    return [LeaseRequest(to, QuotaRequest(_next_number(state), ())) for to in due]


def _requests_due(state, now_ms):
    """The requests for tokens to send now, one for each depot."""
    wants: dict[str, list[TokenDemand]] = {}
    for name in sorted(state.queued):
        tenant = state.tenants[name]
        needed = len(tenant.queue) - tenant.tokens_requested
        found = depot_choice.candidates(state.depots, tenant.reports, tenant.turn, now_ms)
        if needed <= 0 or not found or _must_pause(state, tenant, now_ms):
            continue
        to = depot_choice.pick(found, tenant.reports, needed, now_ms)
        tenant.turn += 1
        tenant.tokens_requested += needed
        tenant.last_request_ms = now_ms
        wants.setdefault(to, []).append(_token_demand(state, tenant, now_ms, needed))
    return [
        _lease_request(state, now_ms, to, tuple(tenant_wants))
        for to, tenant_wants in sorted(wants.items())
    ]


def _must_pause(state, tenant, now_ms):
    """Whether to wait before the next request: while no depot grants, they are tried one after
    another with a pause in between."""
    none_grants = depot_choice.none_grants(state.depots)
    return none_grants and now_ms - tenant.last_request_ms < state.settings.answer_timeout_ms


def _token_demand(state, tenant, now_ms, needed):
    """The TokenDemand for a tenant: the tokens needed now, and some ahead of demand."""
    limit = tenant.limit
    expected = demands.expected(tenant.demand, now_ms, quota_settings.lease_ms(state.settings))
    ahead = int(expected) if expected >= _LEASE_AHEAD_MIN else 0
    return TokenDemand(limit.tenant, limit.version, limit.rate_per_s, limit.burst, needed, ahead)


def _lease_request(state, now_ms, to, wants):
    """A new request for tokens, recorded as sent."""
    number = _next_number(state)
    state.sent[number] = SentRequest(to, now_ms, wants)
    return LeaseRequest(to, QuotaRequest(number, wants))


def _next_number(state):
    state.number += 1
    return state.number
