"""Snapshots in chunks: whatever is lost, doubled or broken off, the whole arrives, what
arrived once is not sent again, and nothing is taken that is not whole."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from replication import snapshot_transfer as transfers
from replication.snapshot_transfer import CHUNK_BYTES, WINDOW_CHUNKS
from testtools import TestCase
from testtools.matchers import Equals

BODY = random.Random(5).randbytes(9 * CHUNK_BYTES + 77)
SNAPSHOT = transfers.make_snapshot(40, 3, BODY)


class Link:
    """A sender and a receiver, with a count of the bytes between them."""

    def __init__(self, snapshot=SNAPSHOT):
        self.outgoing = transfers.Outgoing(snapshot)
        self.incoming = transfers.Incoming()
        self.bytes_sent = 0
        self.whole = None
        self.done = False

    def take(self, chunk):
        """The receiver takes a chunk, and the sender its answer."""
        self.bytes_sent += len(chunk.body)
        ack, whole = transfers.on_chunk(self.incoming, chunk, 0.0)
        self.whole = whole or self.whole
        self.done = transfers.on_ack(self.outgoing, ack) or self.done

    def heartbeat(self, passes=lambda: True):
        """A probe, and what it makes due, until nothing more moves."""
        queue = [transfers.probe(self.outgoing)]
        while queue:
            chunk = queue.pop(0)
            if passes():
                self.take(chunk)
            queue += transfers.chunks_due(self.outgoing)


class Chunks(TestCase):
    def test_the_whole_arrives_once(self):
        link = Link()
        link.heartbeat()
        self.assertThat(link.whole, Equals(BODY))
        self.assertThat(link.bytes_sent, Equals(len(BODY)))
        self.assertTrue(link.done)

    def test_no_more_in_flight_than_the_window(self):
        link = Link()
        link.take(transfers.probe(link.outgoing))
        due = transfers.chunks_due(link.outgoing)
        self.assertThat([len(c.body) for c in due], Equals([CHUNK_BYTES] * WINDOW_CHUNKS))
        self.assertThat(transfers.chunks_due(link.outgoing), Equals([]))

    def test_a_new_sender_of_the_same_snapshot_goes_on(self):
        link = Link()
        left = [6]

        def passes():
            left[0] -= 1
            return left[0] >= 0

        link.heartbeat(passes)
        held = len(link.incoming.body)
        self.assertThat(held, Equals(5 * CHUNK_BYTES))
        link.outgoing = transfers.Outgoing(SNAPSHOT)
        link.heartbeat()
        self.assertThat(link.whole, Equals(BODY))
        self.assertThat(link.bytes_sent, Equals(len(BODY)))

    def test_another_snapshot_starts_over(self):
        link = Link()
        seen = []
        link.heartbeat(lambda: seen.append(1) or len(seen) < 5)
        other = transfers.make_snapshot(41, 3, BODY[::-1])
        link.outgoing = transfers.Outgoing(other)
        link.heartbeat()
        self.assertThat(link.whole, Equals(BODY[::-1]))

    def test_two_senders_do_not_throw_each_others_bytes_away(self):
        incoming = transfers.Incoming()
        ours = transfers.Outgoing(SNAPSHOT)
        other = transfers.Outgoing(transfers.make_snapshot(41, 3, BODY[::-1]))
        ack, _ = transfers.on_chunk(incoming, transfers.probe(ours), 0.0, 1000.0)
        transfers.on_ack(ours, ack)
        for chunk in transfers.chunks_due(ours):
            transfers.on_chunk(incoming, chunk, 10.0, 1000.0)
            answer = transfers.on_chunk(incoming, transfers.probe(other), 10.0, 1000.0)
            self.assertThat(answer, Equals((None, None)))
        self.assertThat(len(incoming.body), Equals(WINDOW_CHUNKS * CHUNK_BYTES))
        ack, _ = transfers.on_chunk(incoming, transfers.probe(other), 2000.0, 1000.0)
        self.assertThat(ack.held, Equals(0))

    def test_what_does_not_match_its_checksum_is_not_taken(self):
        link = Link()
        bad = transfers.Outgoing(transfers.Snapshot(SNAPSHOT.id, BODY[:-1] + b"x"))
        link.outgoing = bad
        link.take(transfers.probe(bad))
        for _ in range(3):
            for chunk in transfers.chunks_due(bad):
                link.take(chunk)
        self.assertThat(link.whole, Equals(None))
        link.outgoing = transfers.Outgoing(SNAPSHOT)
        link.heartbeat()
        self.assertThat(link.whole, Equals(BODY))

    def test_more_than_memory_bears_is_refused(self):
        huge = transfers.SnapshotId(1, 1, transfers.LIMIT_BYTES + 1, 0)
        chunk = transfers.Chunk(huge, 1, 0, b"x")
        answer = transfers.on_chunk(transfers.Incoming(), chunk, 0.0)
        self.assertThat(answer, Equals((None, None)))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.randoms(use_true_random=False), st.floats(0.0, 0.6))
    def test_any_loss_doubling_and_order(self, rng, loss):
        """Chunks and answers lost, doubled and out of order: it arrives whole, and a
        heartbeat with no loss ends it."""
        link = Link()
        air = []
        for _ in range(40):
            air.append(transfers.probe(link.outgoing))
            air += transfers.chunks_due(link.outgoing)
            rng.shuffle(air)
            for item in air[: rng.randrange(len(air) + 1)]:
                if rng.random() >= loss:
                    link.take(item)
            air = air[: rng.randrange(4)]
        link.heartbeat()
        assert link.whole == BODY
        assert link.done
