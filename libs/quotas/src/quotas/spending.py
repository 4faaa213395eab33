"""The side of the node that lets requests in: tokens asked for, leased and spent.

A request takes a token that is leased here already, or waits in its tenant's line while a
depot is asked.  It is refused once every depot that grants is known to have none.  A
lease ends on this node's own clock, counted from before its ask was sent, so neither a
late answer nor a node that was frozen makes it longer.  Only a request that had come in
before the ask was sent may have its tokens later: they were given while it waited.
"""

from collections import deque

from transport.quota_messages import QuotaRequest, TokenDemand

from quotas import demand as demands
from quotas import depot_choice
from quotas import terms as quota_terms
from quotas.spending_state import (
    Asking,
    Decision,
    Granted,
    Lease,
    Pending,
    Refused,
    SentAsk,
    Spending,
    TenantLine,
    Waiting,
)

__all__ = ["Asking", "Decision", "Granted", "Pending", "Refused", "Spending", "TenantLine"]
__all__ += ["advance", "forget", "on_grant", "take"]

# From so many requests a lease on, tokens are leased ahead.
_DENSE = 2.0


def take(state, now_ms, limit, token):
    """A request of a limited tenant has come in: Granted, Refused or Pending."""
    tenant = _tenant(state, limit)
    tenant.demand = demands.count(tenant.demand, now_ms)
    if not tenant.line and _spend(tenant, now_ms, now_ms):
        return Granted()
    if not tenant.line and _exhausted(state, tenant, now_ms):
        return _refuse(state, tenant, now_ms)
    tenant.line.append(Waiting(token, now_ms))
    state.lined.add(limit.tenant)
    return Pending()


def forget(state, token):
    """A request that waited is over: no token is spent on it."""
    for name in list(state.lined):
        tenant = state.tenants[name]
        if any(waiting.token == token for waiting in tenant.line):
            tenant.line = deque(w for w in tenant.line if w.token != token)
        if not tenant.line:
            state.lined.discard(name)


def on_grant(state, now_ms, sender, grant):
    """A depot has answered.  What was answered before, or is from before this life, adds
    nothing; what comes late is leased until the end that it had from the start."""
    depot_choice.answered(state.depots, sender, grant.granting, now_ms)
    sent = state.sent.pop(grant.number, None)
    if sent is None:
        return
    depot_choice.note_delay(state.depots, sender, now_ms - sent.sent_ms)
    _no_longer_asked(state, sent)
    for want, given in zip(sent.wants, grant.given):
        tenant = state.tenants[want.tenant]
        short = given.given < want.needed
        empty_until_ms = now_ms + given.wait_ms if short else 0.0
        if _is_like(tenant.limit, want.ratePerS, want.burst):
            tenant.told[sent.to] = depot_choice.Told(now_ms, given.left, empty_until_ms)
        tenant.granted += given.given
        if given.given > 0:
            end_ms = _lease_end_ms(state, sent)
            tenant.leases.append(Lease(given.given, end_ms, sent.sent_ms))


def _lease_end_ms(state, sent):
    return sent.sent_ms + quota_terms.lease_ms(state.terms)


def advance(state, now_ms):
    """What is decided by now of the requests in line, and the asks to be sent at once."""
    _give_up(state, now_ms)
    decisions = _decide(state, now_ms)
    return decisions, _probes(state, now_ms) + _asks(state, now_ms)


def _tenant(state, limit):
    tenant = state.tenants.get(limit.tenant)
    if tenant is None:
        turn = depot_choice.start(state.node, limit.tenant, len(state.depots.addresses))
        tenant = state.tenants[limit.tenant] = TenantLine(limit, turn)
    if limit.version >= tenant.limit.version:
        _follow(tenant, limit)
    return tenant


def _follow(tenant, limit):
    """What depots said of another rate or burst tells nothing of when tokens come now."""
    if not _is_like(tenant.limit, limit.rate_per_s, limit.burst):
        tenant.told.clear()
    tenant.limit = limit


def _is_like(limit, rate_per_s, burst):
    return (limit.rate_per_s, limit.burst) == (rate_per_s, burst)


def _spend(tenant, now_ms, came_ms):
    """Spend a token of the lease that ends first on a request that came in at `came_ms`, if
    there is one for it."""
    tenant.leases = [x for x in tenant.leases if x.tokens > 0 and _is_of_use(tenant, x, now_ms)]
    found = [x for x in tenant.leases if _lasts(x, now_ms) or came_ms <= x.asked_ms]
    if not found:
        return False
    min(found, key=lambda lease: lease.end_ms).tokens -= 1
    tenant.spent += 1
    return True


def _lasts(lease, now_ms):
    return now_ms < lease.end_ms


def _is_of_use(tenant, lease, now_ms):
    return _lasts(lease, now_ms) or _waits_since(tenant, lease.asked_ms)


def _waits_since(tenant, asked_ms):
    """Whether a request is in line that had come in when an ask was sent at `asked_ms`."""
    return bool(tenant.line) and tenant.line[0].came_ms <= asked_ms


def _exhausted(state, tenant, now_ms):
    """Whether there are depots that grant, and all of them said that they have no token."""
    if tenant.asked or depot_choice.is_away(state.depots):
        return False
    return not depot_choice.candidates(state.depots, tenant.told, tenant.turn, now_ms)


def _refuse(state, tenant, now_ms):
    tenant.refused += 1
    next_ms = depot_choice.next_ms(state.depots, tenant.told, now_ms)
    return Refused(max(1.0, next_ms - now_ms))


def _give_up(state, now_ms):
    """Asks that are unanswered for too long: their depots are passed over."""
    for number, sent in list(state.sent.items()):
        silent_ms = depot_choice.silent_ms(state.depots, sent.to, state.terms.silent_ms)
        if not sent.given_up and now_ms - sent.sent_ms >= silent_ms:
            sent.given_up = True
            _take_back(state, sent)
            depot_choice.set_away(state.depots, sent.to, now_ms)
        if sent.given_up and _is_too_late(state, sent, now_ms):
            del state.sent[number]


def _is_too_late(state, sent, now_ms):
    """Whether nothing can be spent any more of what an ask may still bring."""
    if now_ms < _lease_end_ms(state, sent):
        return False
    return not any(_waits_since(state.tenants[w.tenant], sent.sent_ms) for w in sent.wants)


def _no_longer_asked(state, sent):
    if not sent.given_up:
        _take_back(state, sent)


def _take_back(state, sent):
    for want in sent.wants:
        state.tenants[want.tenant].asked -= want.needed


def _decide(state, now_ms):
    decisions = []
    for name in sorted(state.lined):
        tenant = state.tenants[name]
        while tenant.line and _spend(tenant, now_ms, tenant.line[0].came_ms):
            decisions.append(Decision(tenant.line.popleft().token, Granted()))
        if tenant.line and _exhausted(state, tenant, now_ms):
            while tenant.line:
                refused = _refuse(state, tenant, now_ms)
                decisions.append(Decision(tenant.line.popleft().token, refused))
        if not tenant.line:
            state.lined.discard(name)
    return decisions


def _probes(state, now_ms):
    due = depot_choice.probes_due(state.depots, now_ms)
    return [Asking(to, QuotaRequest(_next(state), ())) for to in due]


def _asks(state, now_ms):
    """One ask for each depot that is asked for anything now."""
    wants: dict[str, list[TokenDemand]] = {}
    for name in sorted(state.lined):
        tenant = state.tenants[name]
        needed = len(tenant.line) - tenant.asked
        found = depot_choice.candidates(state.depots, tenant.told, tenant.turn, now_ms)
        if needed <= 0 or not found or _rests(state, tenant, now_ms):
            continue
        to = depot_choice.pick(found, tenant.told, needed, now_ms)
        tenant.turn += 1
        tenant.asked += needed
        tenant.asked_ms = now_ms
        wants.setdefault(to, []).append(_want(state, tenant, now_ms, needed))
    return [_send(state, now_ms, to, tuple(told)) for to, told in sorted(wants.items())]


def _rests(state, tenant, now_ms):
    """While no depot grants, they are tried one after another at some distance."""
    all_away = depot_choice.is_away(state.depots)
    return all_away and now_ms - tenant.asked_ms < state.terms.silent_ms


def _want(state, tenant, now_ms, needed):
    limit = tenant.limit
    coming = demands.expected(tenant.demand, now_ms, quota_terms.lease_ms(state.terms))
    ahead = int(coming) if coming >= _DENSE else 0
    return TokenDemand(limit.tenant, limit.version, limit.rate_per_s, limit.burst, needed, ahead)


def _send(state, now_ms, to, wants):
    number = _next(state)
    state.sent[number] = SentAsk(to, now_ms, wants)
    return Asking(to, QuotaRequest(number, wants))


def _next(state):
    state.number += 1
    return state.number
