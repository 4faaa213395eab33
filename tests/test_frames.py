"""Frames and connections: messages arrive unchanged; an invalid frame is a typed failure and
closes only the connection that carried it."""

import queue
import random
import selectors
import socket
import struct
import typing
from dataclasses import fields, is_dataclass

from simulation.fleet import free_ports
from testtools import TestCase
from testtools.matchers import Equals
from transport import codec, frames, messages
from transport.connections import Connections
from transport.messages import LeaseRelease

NODE_INFO = messages.NodeInfo("n", "counter", "z", "127.0.0.1:1", "127.0.0.1:2", "i")
GREETING = messages.Gossip(NODE_INFO, False, (), messages.GroupCard("", 0, 0, "", ()))


def random_value(kind, rng):
    """A random value of any type that messages use."""
    if is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(*(random_value(hints[f.name], rng) for f in fields(kind)))
    if typing.get_origin(kind) is tuple:
        inner = typing.get_args(kind)[0]
        return tuple(random_value(inner, rng) for _ in range(rng.randrange(4)))
    return {
        int: lambda: rng.randrange(-(2**62), 2**62),
        bool: lambda: rng.random() < 0.5,
        float: lambda: rng.random() * 1e9,
        str: lambda: "žř" * rng.randrange(9),
        bytes: lambda: rng.randbytes(rng.randrange(300)),
    }[kind]()


class Frames(TestCase):
    def test_every_message_in_pieces_of_any_size(self):
        rng = random.Random(7)
        sent = [random_value(kind, rng) for kind in messages.KIND_OF for _ in range(5)]
        data = b"".join(frames.pack(m) for m in sent)
        buffer, got = frames.FrameBuffer(), []
        while data:
            size = rng.randrange(1, 900)
            found, broken = frames.receive(buffer, data[:size])
            self.assertThat(broken, Equals(None))
            got += found
            data = data[size:]
        self.assertThat(got, Equals(sent))

    def test_any_flipped_byte_is_a_typed_failure(self):
        rng = random.Random(8)
        whole = frames.pack(GREETING)
        causes = set()
        for at in range(len(whole)):
            bad = bytearray(whole)
            bad[at] ^= 1 << rng.randrange(8)
            found, broken = frames.receive(frames.FrameBuffer(), bytes(bad))
            self.assertThat(found, Equals([]))
            if broken:
                causes.add(broken.cause)
        self.assertTrue(causes >= {"magic", "kind", "checksum"}, causes)

    def test_oversized_frames_and_random_bodies(self):
        head = struct.pack(">4sHII", b"PHW1", 1, frames.LIMIT_BYTES + 1, 0)
        self.assertThat(
            frames.receive(frames.FrameBuffer(), head)[1], Equals(frames.BrokenFrame("oversized"))
        )
        for size in range(0, 40):
            body = random.Random(size).randbytes(size)
            try:
                codec.from_bytes(messages.AppendEntries, body)
            except codec.DecodeError:
                pass


class OnConnections(TestCase):
    def test_a_broken_frame_closes_only_its_connection(self):
        got, log_lines = queue.Queue(), queue.Queue()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = "127.0.0.1:%d" % free.getsockname()[1]
        connections = Connections(
            address,
            lambda: GREETING,
            lambda s, m: got.put((s, m)),
            lambda event, facts: log_lines.put((event, facts)),
            2000,
        )
        self.addCleanup(connections.close)
        host, port = address.split(":")
        good = socket.create_connection((host, int(port)))
        bad = socket.create_connection((host, int(port)))
        without_greeting = socket.create_connection((host, int(port)))
        for sock in (good, bad, without_greeting):
            self.addCleanup(sock.close)
            sock.settimeout(20)
        good.sendall(frames.pack(GREETING))
        bad.sendall(frames.pack(GREETING) + b"PHW1 this is no frame at all")
        without_greeting.sendall(frames.pack(messages.TransferLeadership(1)))
        self.assertThat(bad.recv(1), Equals(b""))
        self.assertThat(without_greeting.recv(1), Equals(b""))
        good.sendall(frames.pack(messages.TransferLeadership(9)))
        seen = [got.get(timeout=20) for _ in range(3)]
        self.assertIn((NODE_INFO.address, messages.TransferLeadership(9)), seen)
        self.assertThat(
            {log_lines.get(timeout=20)[0] for _ in range(2)},
            Equals({"connection-broken", "connection-without-greeting"}),
        )


class Redialled(TestCase):
    def test_readiness_of_an_old_socket_is_ignored(self):
        """A connection may break and be dialled again after the selector has reported its old
        socket and before that is handled: the watching thread goes on, and messages arrive."""
        got, log_lines = queue.Queue(), []
        addresses = [f"127.0.0.1:{p}" for p in free_ports(2)]
        here, there = (
            Connections(
                a, lambda: GREETING, lambda s, m: got.put(m), lambda *n: log_lines.append(n), 500
            )
            for a in addresses
        )
        self.addCleanup(here.close)
        self.addCleanup(there.close)
        for turn in range(200):
            here.send(addresses[1], LeaseRelease("n", turn, 1, ""))
            outgoing = here._outgoing[addresses[1]]
            old = outgoing.sock
            with here._lock:
                if old is not None:
                    here._disconnect(outgoing, "test")
                outgoing.redial_s = 0.0
                here._dial(outgoing)
                if old is not None:
                    here._on_outgoing(outgoing, old, selectors.EVENT_READ | selectors.EVENT_WRITE)
        here.send(addresses[1], LeaseRelease("n", 999, 1, ""))
        while got.get(timeout=10) != LeaseRelease("n", 999, 1, ""):
            pass
