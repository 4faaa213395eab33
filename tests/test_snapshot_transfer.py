"""Snapshot transfers: whatever chunks are lost, duplicated or reordered, the complete snapshot
arrives, received bytes aren't sent again, and an incomplete or damaged one isn't accepted."""

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
    """A sender and a receiver, with a count of the bytes sent."""

    def __init__(self, snapshot=SNAPSHOT):
        self.outgoing = transfers.Outgoing(snapshot)
        self.incoming = transfers.Incoming()
        self.bytes_sent = 0
        self.body = None
        self.done = False

    def deliver(self, chunk):
        """Deliver a chunk to the receiver, and the acknowledgement to the sender."""
        self.bytes_sent += len(chunk.body)
        ack, body = transfers.on_chunk(self.incoming, chunk, 0.0)
        self.body = body or self.body
        self.done = transfers.on_ack(self.outgoing, ack) or self.done

    def heartbeat(self, passes=lambda: True):
        """Send a probe and the chunks that become due, until none are left."""
        queue = [transfers.probe(self.outgoing)]
        while queue:
            chunk = queue.pop(0)
            if passes():
                self.deliver(chunk)
            queue += transfers.chunks_due(self.outgoing)


class Chunks(TestCase):
    def test_each_byte_is_sent_once(self):
        link = Link()
        link.heartbeat()
        self.assertThat(link.body, Equals(BODY))
        self.assertThat(link.bytes_sent, Equals(len(BODY)))
        self.assertTrue(link.done)

    def test_chunks_in_flight_are_limited_to_the_window(self):
        link = Link()
        link.deliver(transfers.probe(link.outgoing))
        due = transfers.chunks_due(link.outgoing)
        self.assertThat([len(c.body) for c in due], Equals([CHUNK_BYTES] * WINDOW_CHUNKS))
        self.assertThat(transfers.chunks_due(link.outgoing), Equals([]))

    def test_a_new_sender_of_the_same_snapshot_resumes(self):
        link = Link()
        budget = [6]

        def passes():
            budget[0] -= 1
            return budget[0] >= 0

        link.heartbeat(passes)
        held = len(link.incoming.body)
        self.assertThat(held, Equals(5 * CHUNK_BYTES))
        link.outgoing = transfers.Outgoing(SNAPSHOT)
        link.heartbeat()
        self.assertThat(link.body, Equals(BODY))
        self.assertThat(link.bytes_sent, Equals(len(BODY)))

    def test_a_different_snapshot_starts_from_the_beginning(self):
        link = Link()
        seen = []
        link.heartbeat(lambda: seen.append(1) or len(seen) < 5)
        other = transfers.make_snapshot(41, 3, BODY[::-1])
        link.outgoing = transfers.Outgoing(other)
        link.heartbeat()
        self.assertThat(link.body, Equals(BODY[::-1]))

    def test_two_senders_do_not_discard_each_others_bytes(self):
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

    def test_a_snapshot_with_a_wrong_checksum_is_discarded(self):
        link = Link()
        bad = transfers.Outgoing(transfers.Snapshot(SNAPSHOT.id, BODY[:-1] + b"x"))
        link.outgoing = bad
        link.deliver(transfers.probe(bad))
        for _ in range(3):
            for chunk in transfers.chunks_due(bad):
                link.deliver(chunk)
        self.assertThat(link.body, Equals(None))
        link.outgoing = transfers.Outgoing(SNAPSHOT)
        link.heartbeat()
        self.assertThat(link.body, Equals(BODY))

    def test_a_snapshot_over_the_size_limit_is_refused(self):
        huge = transfers.SnapshotId(1, 1, transfers.LIMIT_BYTES + 1, 0)
        chunk = transfers.Chunk(huge, 1, 0, b"x")
        answer = transfers.on_chunk(transfers.Incoming(), chunk, 0.0)
        self.assertThat(answer, Equals((None, None)))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.randoms(use_true_random=False), st.floats(0.0, 0.6))
    def test_any_loss_duplication_and_order(self, rng, loss):
        """Chunks and acknowledgements are lost, duplicated and reordered; a heartbeat without
        losses then completes the transfer."""
        link = Link()
        in_transit = []
        for _ in range(40):
            in_transit.append(transfers.probe(link.outgoing))
            in_transit += transfers.chunks_due(link.outgoing)
            rng.shuffle(in_transit)
            for item in in_transit[: rng.randrange(len(in_transit) + 1)]:
                if rng.random() >= loss:
                    link.deliver(item)
            in_transit = in_transit[: rng.randrange(4)]
        link.heartbeat()
        assert link.body == BODY
        assert link.done
