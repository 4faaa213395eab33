"""News goes at once to nodes that may hold shards, and to hundreds of others in batches."""

from replication import depot as depots
from replication import feed, follower
from test_feed_snapshots import Feeding
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import messages as m

STEP_MS = 5.0
STEPS = 200


class Pace(TestCase):
    def fed(self, placers):
        """(messages pushed, the longest time that an entry stayed untold) while one is
        committed every few ms; the follower is a router."""
        feeding = Feeding(1000)
        group = feeding.depot.group
        group.times = type(group.times)(**{**vars(group.times), "placers": placers})
        feeding.follow.place = group.commit
        ask = follower.ask(feeding.follow, 0.0, feeding.card, "a")
        depots._receive(feeding.depot, 0.0, "f", ask.message, "g")
        node = feeding.depot.nodes.seen["f"]
        pushed, since_ms, longest_ms = 0, None, 0.0
        for turn in range(STEPS):
            feeding.now_ms += STEP_MS
            node.heard_ms = feeding.now_ms
            feeding.commit(1000 + turn, 10)
            since_ms = feeding.now_ms if since_ms is None else since_ms
            for effect in feed.push(group, feeding.depot.nodes, feeding.now_ms):
                self.assertIsInstance(effect.message, m.FeedItems)
                pushed, since_ms = pushed + 1, None
            if since_ms is not None:
                longest_ms = max(longest_ms, feeding.now_ms - since_ms)
        self.assertThat(node.sent_place >= group.commit - 20, Equals(True))
        return pushed, longest_ms, group.times.heartbeat_ms

    def test_a_node_that_may_hold_shards_is_told_at_once(self):
        self.assertThat(self.fed("counter")[:2], Equals((STEPS, 0.0)))

    def test_others_are_told_in_batches_and_soon(self):
        pushed, longest_ms, heartbeat_ms = self.fed("depot")
        self.assertThat(pushed, LessThan(2 + STEPS * STEP_MS / (heartbeat_ms / 4)))
        self.assertThat(longest_ms, LessThan(heartbeat_ms / 4 + STEP_MS))
