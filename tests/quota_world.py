"""Nodes that spend tenants' tokens and depots that grant them, on simulated time.

`delivery_pause`: (from, to); answers to nodes within it are delivered all at once at its end.
`asks_all_depots`: nodes ask every depot there ever was, as nodes do that learn late of a change of
the group.

What counts is, for each request over all nodes, when its client sent it and when an engine began
to run it.  Nothing sleeps; a seed decides everything.
"""

import heapq
import random
from dataclasses import dataclass, field

from quota_records import SETTINGS, Request, worst_window
from quotas import grant_shares, granting, spending

TICK_MS = 50.0
MARK_INTERVAL_MS = 300.0
PATIENCE_MS = 2000.0


@dataclass
class Counter:
    """A routing node, which spends tokens."""

    spending: spending.SpendingState
    waiting: dict = field(default_factory=dict)
    paused_until_ms: float = 0.0
    limits_held: bool = False


@dataclass
class Depot:
    """A log node, which grants tokens."""

    identity: str
    eligibility: grant_shares.GrantEligibility
    granting: granting.GrantingState
    members: frozenset = frozenset()
    last_mark_ms: float = -1e12
    paused_until_ms: float = 0.0
    alive: bool = True
    life: int = 0


class World:
    """All nodes, tenants and messages of one run."""

    def __init__(self, seed, tenants, counters=12, depots=5, settings=SETTINGS):
        self.random = random.Random(seed)
        self.settings, self.tenants = settings, tenants
        self.now_ms, self._heap, self._count = 0.0, [], 0
        self.cut = set()
        self.cut_off_group = set()
        self.late = self.duplicated = 0.0
        self.late_ms = 2000.0
        self.delivery_pause = (0.0, 0.0)
        self.asks_all_depots = False
        self.messages = 0
        self.requests = []
        self.depots_wanted = depots
        self.depots = {}
        self.members = self.founders = frozenset(f"d{n}" for n in range(depots))
        for name in sorted(self.members):
            self._start_depot(name)
        self.counters = {}
        for n in range(counters):
            name = f"c{n}"
            state = spending.SpendingState(name, settings, self.random.randrange(1 << 40))
            self.counters[name] = Counter(state)
            self._learn_members(name, self.members)
            self.at(self.random.uniform(0, TICK_MS), self._tick, name)

    # --- time

    def at(self, when_ms, action, *args):
        self._count += 1
        heapq.heappush(self._heap, (when_ms, self._count, action, args))

    def after(self, delay_ms, action, *args):
        self.at(self.now_ms + delay_ms, action, *args)

    def run(self, until_ms):
        self._until_ms = until_ms
        for name in self.tenants:
            self.at(2000.0, self._client, name)
        while self._heap and self._heap[0][0] <= until_ms + 2 * PATIENCE_MS:
            self.now_ms, _, action, args = heapq.heappop(self._heap)
            action(*args)
        return self

    # --- clients

    def callers_at(self, now_ms):
        return sorted(self.counters)

    def _client(self, tenant):
        if self.now_ms >= self._until_ms:
            return
        rate = self.tenants[tenant].rate(self.now_ms)
        self.after(1000 * self.random.expovariate(rate) if rate else 500.0, self._client, tenant)
        if rate:
            counter = self.random.choice(self.callers_at(self.now_ms))
            request = Request(tenant, self.now_ms, counter)
            self.requests.append(request)
            self.after(self.random.uniform(1, 3), self._arrive, request, len(self.requests))

    def _arrive(self, request, number):
        counter = self.counters[request.counter]
        if counter.paused_until_ms > self.now_ms:
            return self.at(counter.paused_until_ms, self._arrive, request, number)
        known_ms = self.now_ms - (1e12 if counter.limits_held else 800.0)
        limit = self.tenants[request.tenant].limit(max(0.0, known_ms))
        token = str(number)
        counter.waiting[token] = request
        outcome = spending.request_token(counter.spending, self.now_ms, limit, token)
        if isinstance(outcome, spending.Pending):
            self.after(PATIENCE_MS, self._leave, request.counter, token)
        else:
            self._end(counter, token, outcome)
        self._advance(request.counter)

    def _leave(self, name, token):
        counter = self.counters[name]
        request = counter.waiting.pop(token, None)
        if request is not None:
            spending.cancel(counter.spending, token)
            request.outcome, request.ended_ms = "left", self.now_ms

    def _end(self, counter, token, outcome):
        request = counter.waiting.pop(token)
        granted = isinstance(outcome, spending.Granted)
        request.outcome = "run" if granted else "refused"
        request.ended_ms = self.now_ms + (self.random.uniform(0.3, 2.0) if granted else 0.0)

    # --- routing nodes (counters)

    def _tick(self, name):
        counter = self.counters[name]
        if counter.paused_until_ms > self.now_ms:
            return self.at(counter.paused_until_ms, self._tick, name)
        self._advance(name)
        self.after(TICK_MS, self._tick, name)

    def _advance(self, name):
        counter = self.counters[name]
        decisions, lease_requests = spending.advance(counter.spending, self.now_ms)
        for decision in decisions:
            self._end(counter, decision.token, decision.outcome)
        for lease_request in lease_requests:
            self._send(name, lease_request.to, lease_request.message)

    def _learn_members(self, name, members):
        known = self.depots if self.asks_all_depots else members
        spending.depot_choice.update(self.counters[name].spending.depots, known)

    # --- the network

    def _send(self, sender, to, message):
        copies = 2 if self.random.random() < self.duplicated else 1
        for _ in range(copies):
            self.messages += 1
            delay_ms = self.random.uniform(0.3, 0.9)
            if self.random.random() < self.late:
                delay_ms += self.random.uniform(20.0, self.late_ms)
            if (
                to in self.counters
                and self.delivery_pause[0] <= self.now_ms < self.delivery_pause[1]
            ):
                delay_ms = self.delivery_pause[1] - self.now_ms
            self.after(delay_ms, self._deliver, sender, to, message)

    def _deliver(self, sender, to, message):
        if (sender, to) in self.cut:
            return
        node = self.counters.get(to) or self.depots.get(to)
        if node is None or not getattr(node, "alive", True):
            return
        if node.paused_until_ms > self.now_ms:
            return self.at(node.paused_until_ms, self._deliver, sender, to, message)
        if to in self.counters:
            spending.on_grant(node.spending, self.now_ms, sender, message)
            return self._advance(to)
        self._observe(node)
        share = grant_shares.current_share(
            node.eligibility, self.now_ms, self.now_ms - node.last_mark_ms
        )
        self._send(to, sender, granting.on_request(node.granting, self.now_ms, message, share))

    # --- log nodes (depots) and their group

    def _start_depot(self, name, restarted=False):
        life = self.depots[name].life + 1 if name in self.depots else 0
        eligibility = grant_shares.GrantEligibility(
            name, self.settings.quorum_timeout_ms, self.depots_wanted, restarted
        )
        self.depots[name] = Depot(
            name, eligibility, granting.GrantingState(self.settings), life=life
        )
        self.after(self.random.uniform(0, MARK_INTERVAL_MS), self._request_mark, name, life)

    def _request_mark(self, name, life):
        """Request a freshness mark from the group, and get it a little later."""
        depot = self.depots[name]
        if depot.life != life or not depot.alive:
            return
        if depot.paused_until_ms > self.now_ms:
            return self.at(depot.paused_until_ms, self._request_mark, name, life)
        if name not in self.cut_off_group:
            self.after(self.random.uniform(1, 4), self._confirm_mark, name, life, self.now_ms)
        self.after(MARK_INTERVAL_MS, self._request_mark, name, life)

    def _confirm_mark(self, name, life, sent_ms):
        self.after(
            self.random.uniform(1, 4), self._mark_confirmed, name, life, sent_ms, self.members
        )

    def _mark_confirmed(self, name, life, sent_ms, members):
        depot = self.depots[name]
        if depot.life != life:
            return
        if depot.paused_until_ms > self.now_ms:
            return self.at(
                depot.paused_until_ms, self._mark_confirmed, name, life, sent_ms, members
            )
        depot.members, depot.last_mark_ms = members, sent_ms
        self._observe(depot)

    def _observe(self, depot):
        grant_shares.observe(depot.eligibility, self.now_ms, depot.members, self.founders)

    def set_members(self, *names):
        """Commit a membership: new members start, and routing nodes learn of it after a while."""
        for name in names:
            if name not in self.depots:
                self._start_depot(name)
        self.members = frozenset(names)
        for counter in self.counters:
            self.after(self.random.uniform(5, 1500), self._learn_members, counter, self.members)

    def stop_depot(self, name):
        self.depots[name].alive = False

    def restart_depot(self, name):
        self._start_depot(name, restarted=True)

    def pause(self, name, span_ms):
        node = self.counters.get(name) or self.depots[name]
        node.paused_until_ms = self.now_ms + span_ms

    def cut_links(self, links, span_ms):
        self.cut |= set(links)
        self.after(span_ms, self.cut.difference_update, set(links))

    # --- checks

    def worst(self, tenant):
        """(excess over the bound, requests run, the bound) in the worst window."""
        runs = [r for r in self.requests if r.tenant == tenant and r.outcome == "run"]
        return worst_window(runs, self.tenants[tenant], self.settings)

    def broken(self):
        """The tenants that exceeded their bound in some window."""
        return {t: self.worst(t) for t in self.tenants if self.worst(t)[0] > 0}

    def share(self, outcome, tenants):
        """The fraction of these tenants' requests that ended so."""
        selected = [r for r in self.requests if r.tenant in tenants]
        return sum(r.outcome == outcome for r in selected) / max(1, len(selected))
