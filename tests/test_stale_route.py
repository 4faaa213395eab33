"""A node that nobody has confirmed anything to lately doesn't say that a route isn't there."""

from types import SimpleNamespace

from configuration import passages as written
from configuration.registry import Registry
from placement import floor as floors
from pulleyhitch import passages
from replication import follower
from routing import router
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

STALE_MS = 1000.0
NOW_MS = 50_000.0


def node_of(age_ms):
    """As much of a node as a caller's request looks at."""
    services = {"s": {"kind": "plain"}}
    registry = Registry(sections={"floor": written.section({}, services)})
    terms = router.Terms(STALE_MS, 1000.0, 100.0, 0.1, 10_000.0, 1000.0)
    return SimpleNamespace(
        closing=False,
        config=SimpleNamespace(bounds=SimpleNamespace(layoutMs=10 * STALE_MS)),
        follower=follower.Follow(current_ms=NOW_MS - age_ms),
        cluster=floors.Floor(4, registry=registry),
        router=router.Router(terms),
        times=SimpleNamespace(elect_ms=300.0),
    )


class StaleRoute(TestCase):
    def outcome(self, age_ms):
        told = {"host": "x.example", "path": "/added/lately/"}
        (reply,) = passages.begin(node_of(age_ms), NOW_MS, "t", told, None)
        return reply.outcome

    def test_not_there_is_told_only_by_who_knows(self):
        self.assertThat(self.outcome(0.5 * STALE_MS), Equals(failures.NotFound("route")))

    def test_who_has_heard_nothing_says_when_to_come_back(self):
        for age_ms in (1.1 * STALE_MS, 20 * STALE_MS):
            self.assertIsInstance(self.outcome(age_ms), failures.Stale)
