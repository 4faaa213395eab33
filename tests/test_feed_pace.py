"""Committed entries are pushed at once to nodes that may hold shards, in batches to others."""

from replication import depot as depots
from replication import feed, follower, log_replication
from replication import group as groups
from replication.group import PeerProgress
from test_feed_snapshots import FeedScene
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import messages as m

STEP_MS = 5.0
STEPS = 200


class PushPace(TestCase):
    def push_entries(self, placers):
        """Commit an entry every few ms, with a router as follower.

        Returns (messages pushed, longest time that an entry waited, heartbeat interval)."""
        scene = FeedScene(1000)
        group = scene.depot.group
        group.settings = type(group.settings)(**{**vars(group.settings), "placers": placers})
        scene.follow.position = group.commit
        request = follower.make_request(scene.follow, 0.0, scene.card, "a")
        depots._on_message(scene.depot, 0.0, "f", request.message, "g")
        node = scene.depot.nodes.contacts["f"]
        pushed, since_ms, longest_ms = 0, None, 0.0
        for turn in range(STEPS):
            scene.now_ms += STEP_MS
            node.last_contact_ms = scene.now_ms
            scene.commit(1000 + turn, 10)
            since_ms = scene.now_ms if since_ms is None else since_ms
            for effect in feed.push(group, scene.depot.nodes, scene.now_ms):
                self.assertIsInstance(effect.message, m.FeedEntries)
                pushed, since_ms = pushed + 1, None
            if since_ms is not None:
                longest_ms = max(longest_ms, scene.now_ms - since_ms)
        self.assertThat(node.sent_position >= group.commit - 20, Equals(True))
        return pushed, longest_ms, group.settings.heartbeat_ms

    def test_a_node_that_may_hold_shards_gets_entries_at_once(self):
        self.assertThat(self.push_entries("counter")[:2], Equals((STEPS, 0.0)))

    def test_other_nodes_get_entries_in_batches_and_soon(self):
        pushed, longest_ms, heartbeat_ms = self.push_entries("depot")
        self.assertThat(pushed, LessThan(2 + STEPS * STEP_MS / (heartbeat_ms / 4)))
        self.assertThat(longest_ms, LessThan(heartbeat_ms / 4 + STEP_MS))


class Rounds(TestCase):
    """Feed requests of hundreds of nodes are answered by few heartbeat rounds, and soon."""

    def answer_times(self, every_ms):
        """Send a feed request every few ms; the depots answer each round within 2 ms.

        Returns (rounds started, longest time that a request waited, heartbeat interval)."""
        scene = FeedScene(10)
        replica, requests = scene.depot.group, scene.depot.feed_requests
        peer = replica.progress.setdefault("x", PeerProgress("x", "x", 1, last_contact_ms=0.0))
        members = {**groups.members(replica), "x": m.Member("x", "x", "x")}
        self.patch(groups, "members", lambda _: members)
        self.patch(log_replication, "members", lambda _: members)
        before, longest_ms, pending = replica.round, 0.0, {}
        for turn in range(400):
            now_ms = 1000.0 + turn
            peer.last_contact_ms = now_ms
            if turn % 2 == 0:
                peer.round = replica.round
            effects = []
            if turn % every_ms == 0:
                request = follower.make_request(scene.follow, now_ms, scene.card, "a").message
                pending[request.sent_ms] = now_ms
                effects += depots._on_message(scene.depot, now_ms, "f", request, "g")
            effects += feed.answer_requests(replica, requests, now_ms)
            for effect in effects:
                if isinstance(getattr(effect, "message", None), m.FreshnessMark):
                    requested_ms = pending.pop(effect.message.sent_ms)
                    longest_ms = max(longest_ms, now_ms - requested_ms)
        return replica.round - before, longest_ms, replica.settings.heartbeat_ms

    def test_few_rounds_answer_many_requests(self):
        rounds, longest_ms, heartbeat_ms = self.answer_times(every_ms=1)
        self.assertThat(rounds, LessThan(2 + 400 / (heartbeat_ms / 4)))
        self.assertThat(longest_ms, LessThan(heartbeat_ms / 4 + 5))

    def test_a_single_request_is_answered_at_once(self):
        _, longest_ms, _ = self.answer_times(every_ms=100)
        self.assertThat(longest_ms, LessThan(5))
