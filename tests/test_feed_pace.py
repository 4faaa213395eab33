"""News goes at once to nodes that may hold shards, and to hundreds of others in batches."""

from replication import depot as depots
from replication import feed, follower, log_replication
from replication import group as groups
from replication.group import PeerProgress
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
                self.assertIsInstance(effect.message, m.FeedEntries)
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


class Rounds(TestCase):
    """Asks of hundreds of nodes are answered by few rounds, and soon."""

    def asked(self, every_ms):
        """(rounds begun, the longest that an ask waited) while one comes every few ms and
        the depots answer each round within 2 ms."""
        feeding = Feeding(10)
        replica, asks = feeding.depot.group, feeding.depot.asks
        peer = replica.progress.setdefault("x", PeerProgress("x", "x", 1, heard_ms=0.0))
        members = {**groups.members(replica), "x": m.Member("x", "x", "x")}
        self.patch(groups, "members", lambda _: members)
        self.patch(log_replication, "members", lambda _: members)
        before, longest_ms, since = replica.round, 0.0, {}
        for turn in range(400):
            now_ms = 1000.0 + turn
            peer.heard_ms = now_ms
            if turn % 2 == 0:
                peer.round = replica.round
            effects = []
            if turn % every_ms == 0:
                ask = follower.ask(feeding.follow, now_ms, feeding.card, "a").message
                since[ask.sent_ms] = now_ms
                effects += depots._receive(feeding.depot, now_ms, "f", ask, "g")
            effects += feed.answer(replica, asks, now_ms)
            for effect in effects:
                if isinstance(getattr(effect, "message", None), m.FreshnessMark):
                    asked_ms = since.pop(effect.message.sent_ms)
                    longest_ms = max(longest_ms, now_ms - asked_ms)
        return replica.round - before, longest_ms, replica.times.heartbeat_ms

    def test_few_rounds_however_many_ask(self):
        rounds, longest_ms, heartbeat_ms = self.asked(every_ms=1)
        self.assertThat(rounds, LessThan(2 + 400 / (heartbeat_ms / 4)))
        self.assertThat(longest_ms, LessThan(heartbeat_ms / 4 + 5))

    def test_one_that_asks_alone_is_answered_at_once(self):
        _, longest_ms, _ = self.asked(every_ms=100)
        self.assertThat(longest_ms, LessThan(5))
