"""Any order of requests, failed attempts, loads and changes of keys, against a slow plain model: a
list of requests, and a scan of the tenants for each attempt."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from tenant_harness import CLOSED, OPEN, ROUTE_RANK, TRIES, TenantNode, outcome_in_short, tenant
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

NAMES = ("a", "b", "c")
KEYS = ("k1", "k2", "k3", "k4")
RANKS = (None, 0, 9)
UNKNOWN, EXHAUSTED, MAY_HAVE_RUN = ("refused", 401), ("refused", 503), ("refused", 502)


@dataclass
class PlainRequest:
    key: str
    public: bool
    state: str = "new"
    attempts: int = 0
    may_have_run: bool = False


class PlainModel:
    """The expected result of each step, as {token: outcome in short}."""

    def __init__(self):
        self.tenants, self.loaded, self.requests = {}, True, {}

    def _holder(self, key):
        held = [name for name, facts in self.tenants.items() if key in facts["keys"]]
        return held[0] if held else None

    def _attempt(self, request):
        """The outcome of a request's next attempt; None if it has to wait."""
        holder = self._holder(request.key)
        if holder is None and self.tenants and not request.public:
            return self._end(request, UNKNOWN)
        if request.attempts >= TRIES:
            return self._end(request, EXHAUSTED)
        if not self.loaded:
            request.state = "waits"
            return None
        request.state, request.attempts = "runs", request.attempts + 1
        rank = self.tenants[holder]["rank"] if holder else None
        return ("attempt", holder, ROUTE_RANK if rank is None else rank)

    def _end(self, request, outcome):
        request.state = "over"
        return MAY_HAVE_RUN if request.may_have_run else outcome

    def _retry_waiting(self):
        waiting = {t: r for t, r in self.requests.items() if r.state == "waits"}
        outcomes = {token: self._attempt(request) for token, request in waiting.items()}
        return {token: outcome for token, outcome in outcomes.items() if outcome}

    def configure(self, tenants):
        self.tenants = tenants
        return self._retry_waiting()

    def load(self, loaded):
        self.loaded = loaded
        return self._retry_waiting()

    def send(self, token, key, public):
        request = PlainRequest(key, public)
        self.requests[token] = request
        outcome = self._attempt(request)
        return {token: outcome} if outcome else {}

    def attempt_failed(self, token, proof):
        request = self.requests[token]
        request.may_have_run = request.may_have_run or proof == "unknown"
        outcome = self._attempt(request)
        return {token: outcome} if outcome else {}

    def running(self):
        return sorted(t for t, r in self.requests.items() if r.state == "runs")


def in_short(outcomes):
    return {
        token: outcome_in_short(o)
        if isinstance(o, failures.Failure)
        else ("attempt", o.tenant, o.rank)
        for token, o in outcomes.items()
    }


def configurations():
    """Some tenants, each key held by at most one of them."""
    holders = st.dictionaries(st.sampled_from(KEYS), st.sampled_from(NAMES))
    ranks = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(RANKS))
    return st.tuples(holders, ranks).map(_tenants)


def _tenants(drawn):
    """{name: tenant} of drawn holders of keys and classes of tenants."""
    holders, ranks = drawn
    return {
        name: tenant(*(k for k, holder in holders.items() if holder == name), rank=ranks.get(name))
        for name in NAMES
        if name in ranks or name in holders.values()
    }


STEPS = st.one_of(
    st.tuples(st.just("configure"), configurations()),
    st.tuples(st.just("send"), st.sampled_from((*KEYS, "never", "")), st.booleans()),
    st.tuples(st.just("send"), st.sampled_from(KEYS), st.just(False)),
    st.tuples(st.just("fails"), st.integers(0, 9), st.sampled_from(("not-run", "unknown"))),
    st.tuples(st.just("load"), st.booleans()),
)


class Sequences(TestCase):
    # Rules UNASKED and ROUTE: an attempt used another configuration than the one in force.
    @settings(max_examples=200, deadline=None)
    @given(st.lists(STEPS, min_size=3, max_size=25))
    def test_every_attempt_is_judged_by_the_configuration_in_force(self, steps):
        node, model = TenantNode(), PlainModel()
        for number, (verb, *what) in enumerate(steps):
            token = f"t{number:02d}"
            if verb == "configure":
                found, expected = node.configure(*what), model.configure(*what)
            elif verb == "load":
                found, expected = node.load(*what), model.load(*what)
            elif verb == "send":
                key, public = what
                found = node.send(token, key.encode(), OPEN if public else CLOSED)
                expected = model.send(token, key, public)
            else:
                turn, proof = what
                running = model.running()
                if not running:
                    continue
                token = running[turn % len(running)]
                found, expected = (
                    node.attempt_failed(token, proof),
                    model.attempt_failed(token, proof),
                )
            self.assertThat(in_short(found), Equals(expected), f"{number} of {steps}")
            over = {t for t, r in model.requests.items() if r.state == "over"}
            self.assertThat(over & node.node.router.tasks.keys(), Equals(set()))
