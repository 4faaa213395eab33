"""Frames and messages: whatever is said arrives the same; what is broken is
typed, and closes only the pipe it came on."""

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

CARD = messages.NodeInfo("n", "counter", "z", "127.0.0.1:1", "127.0.0.1:2", "i")
HELLO = messages.Gossip(CARD, False, (), messages.GroupInfo("", 0, 0, "", ()))


def made_up(kind, rng):
    """A random value of any type that messages use."""
    if is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(*(made_up(hints[f.name], rng) for f in fields(kind)))
    if typing.get_origin(kind) is tuple:
        inner = typing.get_args(kind)[0]
        return tuple(made_up(inner, rng) for _ in range(rng.randrange(4)))
    return {
        int: lambda: rng.randrange(-(2**62), 2**62),
        bool: lambda: rng.random() < 0.5,
        float: lambda: rng.random() * 1e9,
        str: lambda: "žř" * rng.randrange(9),
        bytes: lambda: rng.randbytes(rng.randrange(300)),
    }[kind]()


class Frames(TestCase):
    def test_every_message_in_any_cutting(self):
        rng = random.Random(7)
        sent = [made_up(kind, rng) for kind in messages.KIND_OF for _ in range(5)]
        data = b"".join(frames.pack(m) for m in sent)
        intake, got = frames.FrameBuffer(), []
        while data:
            size = rng.randrange(1, 900)
            found, broken = frames.feed(intake, data[:size])
            self.assertThat(broken, Equals(None))
            got += found
            data = data[size:]
        self.assertThat(got, Equals(sent))

    def test_any_flipped_byte_is_typed(self):
        rng = random.Random(8)
        whole = frames.pack(HELLO)
        causes = set()
        for at in range(len(whole)):
            bad = bytearray(whole)
            bad[at] ^= 1 << rng.randrange(8)
            found, broken = frames.feed(frames.FrameBuffer(), bytes(bad))
            self.assertThat(found, Equals([]))
            if broken:
                causes.add(broken.cause)
        self.assertTrue(causes >= {"magic", "kind", "checksum"}, causes)

    def test_oversized_and_nonsense(self):
        head = struct.pack(">4sHII", b"PHW1", 1, frames.LIMIT_BYTES + 1, 0)
        self.assertThat(
            frames.feed(frames.FrameBuffer(), head)[1], Equals(frames.BrokenFrame("oversized"))
        )
        for size in range(0, 40):
            body = random.Random(size).randbytes(size)
            try:
                codec.from_bytes(messages.AppendEntries, body)
            except codec.DecodeError:
                pass


class OnPipes(TestCase):
    def test_a_broken_frame_closes_only_its_pipe(self):
        got, notes = queue.Queue(), queue.Queue()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = "127.0.0.1:%d" % free.getsockname()[1]
        pipes = Connections(
            address,
            lambda: HELLO,
            lambda s, m: got.put((s, m)),
            lambda what, facts: notes.put((what, facts)),
            2000,
        )
        self.addCleanup(pipes.close)
        host, port = address.split(":")
        good = socket.create_connection((host, int(port)))
        bad = socket.create_connection((host, int(port)))
        rude = socket.create_connection((host, int(port)))
        for sock in (good, bad, rude):
            self.addCleanup(sock.close)
            sock.settimeout(20)
        good.sendall(frames.pack(HELLO))
        bad.sendall(frames.pack(HELLO) + b"PHW1 this is no frame at all")
        rude.sendall(frames.pack(messages.TransferLeadership(1)))
        self.assertThat(bad.recv(1), Equals(b""))
        self.assertThat(rude.recv(1), Equals(b""))
        good.sendall(frames.pack(messages.TransferLeadership(9)))
        seen = [got.get(timeout=20) for _ in range(3)]
        self.assertIn((CARD.address, messages.TransferLeadership(9)), seen)
        self.assertThat(
            {notes.get(timeout=20)[0] for _ in range(2)},
            Equals({"connection-broken", "connection-rude"}),
        )


class Redialled(TestCase):
    def test_what_was_seen_of_an_old_socket_says_nothing(self):
        """A line that broke and was dialled again between a look and its handling: the
        watching thread goes on, and what is sent arrives."""
        got, notes = queue.Queue(), []
        addresses = [f"127.0.0.1:{p}" for p in free_ports(2)]
        here, there = (
            Connections(a, lambda: HELLO, lambda s, m: got.put(m), lambda *n: notes.append(n), 500)
            for a in addresses
        )
        self.addCleanup(here.close)
        self.addCleanup(there.close)
        for turn in range(200):
            here.send(addresses[1], LeaseRelease("n", turn, 1, ""))
            line = here._lines[addresses[1]]
            old = line.sock
            with here._lock:
                if old is not None:
                    here._lost(line, "test")
                line.not_before_s = 0.0
                here._dial(line)
                if old is not None:
                    here._on_line(line, old, selectors.EVENT_READ | selectors.EVENT_WRITE)
        here.send(addresses[1], LeaseRelease("n", 999, 1, ""))
        while got.get(timeout=10) != LeaseRelease("n", 999, 1, ""):
            pass
