"""A node whose state is stale doesn't answer that a route doesn't exist."""

from types import SimpleNamespace

from configuration import document_facts as written
from configuration.registry import Registry
from placement import cluster_state
from pulleyhitch import passages
from replication import follower
from routing import router
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

STALE_MS = 1000.0
NOW_MS = 50_000.0


def node_of(age_ms):
    """The part of a node that handling a caller's request needs."""
    services = {"s": {"kind": "plain"}}
    registry = Registry(sections={"floor": written.section({}, services)})
    terms = router.RoutingSettings(STALE_MS, 1000.0, 100.0, 0.1, 10_000.0, 1000.0)
    return SimpleNamespace(
        closing=False,
        config=SimpleNamespace(bounds=SimpleNamespace(layoutMs=10 * STALE_MS)),
        follower=follower.FeedFollower(current_ms=NOW_MS - age_ms),
        cluster=cluster_state.ClusterState(4, registry=registry),
        router=router.Router(terms),
        times=SimpleNamespace(election_ms=300.0),
    )


class StaleRoute(TestCase):
    def outcome(self, age_ms):
        request = {"host": "x.example", "path": "/added/lately/"}
        (reply,) = passages.begin(node_of(age_ms), NOW_MS, "t", request, None)
        return reply.outcome

    def test_only_an_up_to_date_node_says_not_found(self):
        self.assertThat(self.outcome(0.5 * STALE_MS), Equals(failures.NotFound("route")))

    def test_a_stale_node_says_when_to_retry(self):
        for age_ms in (1.1 * STALE_MS, 20 * STALE_MS):
            self.assertIsInstance(self.outcome(age_ms), failures.Stale)
